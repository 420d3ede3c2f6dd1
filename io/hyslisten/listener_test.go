package hyslisten_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysintake"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyslisten"
)

func TestListen(t *testing.T) {
	hyssuite.Run(t, "Listen")
}

const testRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// fixture is a server whose handler reads the body and says whether the request may run.
type fixture struct {
	listener *hyslisten.Listener
	evicted  chan hysintake.Eviction
	// held holds up the requests that run until it is closed.
	held    chan struct{}
	running atomic.Int64
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	conn := hyslisten.FromContext(r.Context())
	if err != nil || !conn.Begin() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.running.Add(1)
	<-f.held
}

func newFixture(inner net.Listener, limits hysintake.Limits, options ...hyslisten.Option) *fixture {
	f := &fixture{evicted: make(chan hysintake.Eviction, 10), held: make(chan struct{})}
	f.listener = hyslisten.New(inner, limits, append(options,
		hyslisten.WithRefusal([]byte(testRefusal)), hyslisten.WithEvictedFunc(func(e hysintake.Eviction) { f.evicted <- e }))...)
	server := &http.Server{Handler: hyslisten.Handler(http.HandlerFunc(f.serve)), ConnContext: hyslisten.ConnContext}
	go func() { _ = server.Serve(f.listener) }()
	DeferCleanup(func() { _ = server.Close() })
	return f
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

// send opens a connection and sends a request whose body is announced with a length.
func (f *fixture) send(length string, body int) net.Conn {
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	if length != "" {
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "+length+"\r\n\r\n"+strings.Repeat("x", body))
		Expect(err).NotTo(HaveOccurred())
	}
	return conn
}

func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

var _ = Describe("a listener with limits", func() {
	It("ends a body that has stalled for another one that arrives, and lets it be answered", func() {
		f := newFixture(listen(), hysintake.Limits{Connections: 10, Bytes: 100_000})
		stalled := f.send("80000", 79_000)
		Eventually(f.listener.Bytes).Should(BeNumerically(">", 70_000))
		other := f.send("80000", 80_000)
		Expect(status(stalled)).To(Equal(http.StatusServiceUnavailable))
		Eventually(f.running.Load).Should(BeEquivalentTo(1))
		close(f.held)
		Expect(status(other)).To(Equal(http.StatusOK))
		e := <-f.evicted
		Expect(e.Reason).To(Equal(hysintake.ReasonMemory))
		Expect(e.Bytes).To(BeNumerically(">", 70_000))
	})

	It("does not end a request that runs", func() {
		f := newFixture(listen(), hysintake.Limits{Connections: 10, Bytes: 100_000})
		running := f.send("80000", 80_000)
		Eventually(f.running.Load).Should(BeEquivalentTo(1))
		Expect(status(f.send("80000", 80_000))).To(Equal(http.StatusServiceUnavailable))
		close(f.held)
		Expect(status(running)).To(Equal(http.StatusOK))
	})

	It("closes the connection that has sent nothing for longest, and refuses one if all run requests", func() {
		f := newFixture(listen(), hysintake.Limits{Connections: 2, Bytes: 100_000})
		silent, first, second := f.send("", 0), f.send("1", 1), f.send("1", 1)
		_, err := silent.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Eventually(f.running.Load).Should(BeEquivalentTo(2))
		Expect(status(f.send("", 0))).To(Equal(http.StatusServiceUnavailable))
		close(f.held)
		Expect(status(first)).To(Equal(http.StatusOK))
		Expect(status(second)).To(Equal(http.StatusOK))
		Expect((<-f.evicted).Reason).To(Equal(hysintake.ReasonConnections))
	})

	It("goes on accepting while descriptors are short", func() {
		var failures atomic.Int64
		inner := &shortListener{Listener: listen(), failures: 3}
		f := newFixture(inner, hysintake.Limits{Connections: 2, Bytes: 100_000}, hyslisten.WithFailedFunc(func(err error) {
			Expect(err).To(MatchError(syscall.EMFILE))
			failures.Add(1)
		}))
		close(f.held)
		Expect(status(f.send("1", 1))).To(Equal(http.StatusOK))
		Expect(failures.Load()).To(BeEquivalentTo(3))
	})

	It("ends when it is closed", func() {
		l := hyslisten.New(listen(), hysintake.Limits{Connections: 2, Bytes: 100})
		Expect(l.Close()).To(Succeed())
		_, err := l.Accept()
		Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
	})
})

// shortListener is a listener of a process that has no descriptors left for a while.
type shortListener struct {
	net.Listener
	failures int
}

// Accept fails as often as it was told to.
func (s *shortListener) Accept() (net.Conn, error) {
	if s.failures > 0 {
		s.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}
