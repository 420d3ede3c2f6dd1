package hystest_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
)

// echo starts a server that returns what it receives.
func echo(t *testing.T) hysmember.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return hysmember.Address(l.Addr().String())
}

// works reports whether bytes come back on a connection.
func works(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestCut(t *testing.T) {
	for name, c := range map[string]struct {
		cut       hystest.Cut
		openWorks bool
		newFails  string
	}{
		"hang":     {cut: hystest.CutHang, newFails: "timeout"},
		"requests": {cut: hystest.CutRequests, newFails: "timeout"},
		"replies":  {cut: hystest.CutReplies, newFails: "timeout"},
		"reset":    {cut: hystest.CutReset, newFails: "refused"},
		"refuse":   {cut: hystest.CutRefuse, openWorks: true, newFails: "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := hystest.NewProxy(echo(t))
			defer p.Close()
			open, err := net.Dial("tcp", string(p.Address()))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer open.Close()
			g.Expect(works(open)).To(gomega.BeTrue())
			for range 2 {
				p.Cut(c.cut)
				g.Expect(works(open)).To(gomega.Equal(c.openWorks))
				for range 3 {
					_, err = net.DialTimeout("tcp", string(p.Address()), 100*time.Millisecond)
					g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.newFails)))
				}
				p.Heal()
				again, err := net.DialTimeout("tcp", string(p.Address()), 2*time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(works(again)).To(gomega.BeTrue())
				_ = again.Close()
			}
		})
	}
}

// TestRefusedPortIsKept lets another program try to take the port of a proxy that refuses
// connections: the proxy must get it back.
func TestRefusedPortIsKept(t *testing.T) {
	for _, how := range []hystest.Cut{hystest.CutReset, hystest.CutRefuse} {
		g := gomega.NewWithT(t)
		p := hystest.NewProxy(echo(t))
		p.Cut(how)
		// Like a program that lets the system choose the port, without an address that may
		// be used twice.
		config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
		}}
		other, err := config.Listen(context.Background(), "tcp", string(p.Address()))
		g.Expect(err).To(gomega.MatchError(syscall.EADDRINUSE))
		if err == nil {
			_ = other.Close()
		}
		p.Heal()
		c, err := net.Dial("tcp", string(p.Address()))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(works(c)).To(gomega.BeTrue())
		_ = c.Close()
		p.Close()
	}
}
