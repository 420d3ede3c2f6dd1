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

// middle forwards connections until it is told to lose track of them: those
// that are open then stay open and carry nothing more, new ones work.
type middle struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   chan struct{}
}

func newMiddle(target string) *middle {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &middle{listener: l, target: target, silent: make(chan struct{})}
	DeferCleanup(l.Close)
	go m.accept()
	return m
}

func (m *middle) accept() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.target)
		if err != nil {
			near.Close()
			continue
		}
		m.mu.Lock()
		silent := m.silent
		m.mu.Unlock()
		go forward(near, far, silent)
		go forward(far, near, silent)
	}
}

func (m *middle) loseTrack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.silent)
	m.silent = make(chan struct{})
}

func forward(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			continueSilently(from)
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

func continueSilently(from net.Conn) { _, _ = io.Copy(io.Discard, from) }

var _ = Describe("a store whose connections go silent for good", func() {
	var m *middle
	var store *hysstore.Client
	ctx := context.Background()

	BeforeEach(func() {
		server := httptest.NewServer(hysstandin.NewPlatform().Handler())
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		m = newMiddle(server.Listener.Addr().String())
		store = hysstore.New(hysmember.Address(m.listener.Addr().String()))
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
		m.loseTrack()
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := store.Get(short, "key")
		Expect(err).To(MatchError(hysstore.ErrUnavailable))
		start := time.Now()
		_, err = store.Get(ctx, "key")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("keeps no ticket from a daemon for 2 s", func() {
		writer := hysconfig.New(store)
		reader := hysconfig.New(hysstore.New(hysmember.Address(m.listener.Addr().String())))
		background, stop := context.WithCancel(ctx)
		var wait sync.WaitGroup
		wait.Go(func() { reader.Run(background) })
		DeferCleanup(func() {
			stop()
			wait.Wait()
		})
		Expect(writer.Apply(ctx, ticket(1))).To(BeZero())
		Eventually(func() int { return int(reader.State().HighestNumber()) }, 2*time.Second).Should(Equal(1))
		m.loseTrack()
		fresh := hysstore.New(hysmember.Address(m.listener.Addr().String()))
		Expect(hysconfig.New(fresh).Apply(ctx, ticket(2))).To(BeZero())
		Eventually(func() int { return int(reader.State().HighestNumber()) }, 2*time.Second, 10*time.Millisecond).Should(Equal(2))
	})
})

func ticket(number hysticket.Number) hysticket.Ticket {
	return hysticket.Ticket{Number: number, Author: "test", Groups: hysgroup.Groups{{Name: "g", Weight: uint32(number)}}}
}
