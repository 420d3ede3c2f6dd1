package hysstore_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysconfig"
	"hyssopshore/io/hysstore"
)

func TestStore(t *testing.T) {
	hyssuite.Run(t, "Store")
}

// proxy is a TCP proxy. After silenceOpenConnections, the connections that are
// open stay open but carry no more data; new ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   chan struct{}
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	DeferCleanup(l.Close)
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		go forward(client, server, silent)
		go forward(server, client, silent)
	}
}

func (p *proxy) silenceOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func forward(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			discard(from)
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func discard(from net.Conn) { _, _ = io.Copy(io.Discard, from) }

var _ = Describe("a store whose open connections stop responding", func() {
	var p *proxy
	var store *hysstore.Client
	ctx := context.Background()

	BeforeEach(func() {
		server := httptest.NewServer(hysstandin.NewPlatform().Handler())
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		p = newProxy(server.Listener.Addr().String())
		store = hysstore.New(hysmember.Address(p.listener.Addr().String()))
		_, err := store.Put(ctx, "key", []byte("value"), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("costs one timeout, however many idle connections there are", func() {
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := store.Watch(ctx, "key", 1, 50*time.Millisecond)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wait.Wait()
		p.silenceOpenConnections()
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := store.Get(short, "key")
		Expect(err).To(MatchError(hysstore.ErrUnavailable))
		start := time.Now()
		_, err = store.Get(ctx, "key")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("delays a ticket at a daemon by less than 2 s", func() {
		writer := hysconfig.New(store)
		reader := hysconfig.New(hysstore.New(hysmember.Address(p.listener.Addr().String())))
		background, stop := context.WithCancel(ctx)
		var wait sync.WaitGroup
		wait.Go(func() { reader.Run(background) })
		DeferCleanup(func() {
			stop()
			wait.Wait()
		})
		Expect(writer.Apply(ctx, ticket(1))).To(BeZero())
		Eventually(func() int { return int(reader.State().HighestNumber()) }, 2*time.Second).Should(Equal(1))
		p.silenceOpenConnections()
		fresh := hysstore.New(hysmember.Address(p.listener.Addr().String()))
		Expect(hysconfig.New(fresh).Apply(ctx, ticket(2))).To(BeZero())
		Eventually(func() int { return int(reader.State().HighestNumber()) }, 2*time.Second, 10*time.Millisecond).Should(Equal(2))
	})
})

func ticket(number hysticket.Number) hysticket.Ticket {
	return hysticket.Ticket{Number: number, Author: "test", Groups: hysgroup.Groups{{Name: "g", Weight: uint32(number)}}}
}
