package hysfront_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
)

// countedSearcher is a searcher of a shard that counts its requests, and those
// that were cancelled.
type countedSearcher struct {
	entry     hysmember.Entry
	requests  atomic.Int64
	cancelled atomic.Int64
	slow      atomic.Int64
}

func newCountedSearcher(id hysmember.SearcherID, service hysservice.Name) *countedSearcher {
	s := &countedSearcher{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		select {
		case <-time.After(time.Duration(s.slow.Load())):
		case <-r.Context().Done():
			s.cancelled.Add(1)
			return
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sig", "s-"+string(id))
		_, _ = io.WriteString(w, "0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	s.entry = hysmember.Entry{
		Searcher: hysmember.Searcher{ID: id, Service: service, Address: address, Zone: "z"}, Slots: 4, StartTime: 10, Revision: 1,
	}
	return s
}

// silentAddress accepts connections and never answers.
func silentAddress(ip string) hysmember.Address {
	listener, err := net.Listen("tcp", string(hystest.FreeAddress(ip)))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	return hysmember.Address(listener.Addr().String())
}

// delayed reaches a daemon by a way that delays what goes over it.
func delayed(delay time.Duration) func(hysmember.Address) hysmember.Address {
	return func(address hysmember.Address) hysmember.Address {
		proxy := hystest.NewProxy(address)
		DeferCleanup(proxy.Close)
		proxy.SetDelay(delay)
		return proxy.Address()
	}
}

var _ = Describe("a query at a daemon that does not gather", func() {
	const strong, weak = 1.0, 0.1
	// patient gatherers are waited for on a busy machine too.
	const patient = time.Second
	var taker, gatherer *daemon
	var one, other *countedSearcher
	var shared *store
	// reach is where the others reach the gatherer.
	var reach func(hysmember.Address) hysmember.Address
	// timeout is how long a gatherer may take to accept.
	var timeout time.Duration

	BeforeEach(func() {
		reach = func(address hysmember.Address) hysmember.Address { return address }
		timeout = patient
	})

	// startAll starts a daemon and a gatherer, beside another gatherer at an
	// address and weak daemons that are only listed.
	startAll := func(first byte, second hysmember.Address) {
		ip := func(n byte) string { return fmt.Sprintf("127.0.1.%d", first+n) }
		taker, gatherer = newDaemon(ip(0)), newDaemon(ip(1))
		taker.options = []hysfront.Option{hysfront.WithGathererAcceptTimeout(timeout)}
		taker.settings.ProcessorShare, gatherer.settings.ProcessorShare = weak, strong
		all := hysmember.Instances{taker.instance(), gatherer.instance()}
		all[0].ProcessorShare, all[1].ProcessorShare = weak, strong
		all[1].Address = reach(all[1].Address)
		all = append(all, hysmember.Instance{ID: "second", Address: second, Zone: "z", Region: "r", ProcessorShare: strong})
		for n := range 9 {
			all = append(all, hysmember.Instance{
				ID: hysmember.InstanceID(fmt.Sprint("weak-", n)), Address: "127.0.0.1:1", Zone: "other", Region: "r", ProcessorShare: weak,
			})
		}
		one, other = newCountedSearcher("s-1", "desk"), newCountedSearcher("s-2", "ledger")
		shared = &store{
			version: 1, revision: 5, shards: []hysservice.Name{"desk", "ledger"}, peers: all,
			entries: hysmember.Entries{one.entry, other.entry},
		}
		for _, d := range []*daemon{gatherer, taker} {
			d.start(shared)
			Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
			Eventually(d.log.String, "3s").Should(ContainSubstring(`"gatherers":2`))
		}
	}

	handedOver := func() int { return strings.Count(taker.log.String(), `"gathered-by":"entry-`) }

	It("is answered by a gatherer, with one part of each shard", func() {
		startAll(10, "127.0.0.1:1")
		for range 20 {
			status, body := taker.askFor("/query/1")
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(HaveLen(16))
		}
		Expect(handedOver()).To(BeNumerically(">", 15))
		Expect(one.requests.Load()).To(BeNumerically("<=", 22))
		Eventually(gatherer.log.String).Should(ContainSubstring(`"for-another":true`))
	})

	It("is answered in time though the other gatherer is silent", func() {
		timeout = 100 * time.Millisecond
		startAll(20, silentAddress("127.0.1.29"))
		for range 10 {
			began := time.Now()
			status, _ := taker.askFor("/query/1")
			Expect(status).To(Equal(http.StatusOK))
			Expect(time.Since(began)).To(BeNumerically("<", 3*timeout))
		}
		silences := strings.Count(taker.log.String(), `"gatherer":"second"`)
		Expect(silences).To(BeNumerically("<=", 1), "a silent one is left out for a while")
	})

	It("is gathered by the daemon itself at once if all gatherers are silent", func() {
		reach = func(hysmember.Address) hysmember.Address { return silentAddress("127.0.1.108") }
		timeout = 100 * time.Millisecond
		startAll(100, silentAddress("127.0.1.109"))
		for range 3 {
			status, _ := taker.askFor("/query/1")
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(one.requests.Load()).To(BeNumerically("<=", 3+1))
	})

	It("is gathered by the daemon itself if no gatherer answers", func() {
		timeout = 100 * time.Millisecond
		startAll(30, silentAddress("127.0.1.39"))
		gatherer.stop()
		Eventually(gatherer.stopped, "10s").Should(Receive(BeNil()))
		gatherer.stopped <- nil
		status, _ := taker.askFor("/query/1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(taker.log.String()).To(ContainSubstring(`"gathered-by":"","for-another":false`))
	})

	It("goes elsewhere while a gatherer stops, which finishes what it has taken", func() {
		startAll(40, "127.0.0.1:1")
		// The first query warms the connections.
		taker.askFor("/query/1")
		one.slow.Store(int64(400 * time.Millisecond))
		answers := make(chan int, 1)
		go func() { status, _ := taker.askFor("/query/2"); answers <- status }()
		Eventually(one.requests.Load).Should(BeNumerically(">=", 2))
		gatherer.stop()
		Expect(<-answers).To(Equal(http.StatusOK))
		one.slow.Store(0)
		status, _ := taker.askFor("/query/3")
		Expect(status).To(Equal(http.StatusOK))
		Expect(taker.log.String()).To(ContainSubstring("the daemon is stopping"))
	})

	leftToGatherer := func() {
		taker.askFor("/query/1")
		before, handed := one.requests.Load(), handedOver()
		// Longer than the part of the goal after which the gatherer is probed.
		one.slow.Store(int64(750 * time.Millisecond))
		status, _ := taker.askFor("/query/2")
		Expect(status).To(Equal(http.StatusOK))
		Expect(handedOver()).To(Equal(handed + 1))
		Expect(one.requests.Load()-before).To(BeNumerically("<=", 2), "the attempts of the route")
	}

	It("is left to a gatherer that is only slow", func() {
		startAll(70, "127.0.0.1:1")
		leftToGatherer()
	})

	It("is left to a gatherer that is only slow, on a slow way", func() {
		reach = delayed(30 * time.Millisecond)
		startAll(110, "127.0.0.1:1")
		leftToGatherer()
	})

	It("is run by no more searchers than its route allows though a gatherer wakes late", func() {
		reach = delayed(60 * time.Millisecond)
		timeout = 20 * time.Millisecond
		startAll(80, "127.0.0.1:1")
		before := one.requests.Load()
		one.slow.Store(int64(300 * time.Millisecond))
		status, _ := taker.askFor("/query/2")
		Expect(taker.log.String()).To(ContainSubstring("the gatherer is silent"))
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
		Consistently(func() int64 { return one.requests.Load() - before }, "500ms").Should(BeNumerically("<=", 2))
	})

	It("is answered though strangers send anything to the daemons' ports", func() {
		startAll(90, "127.0.0.1:1")
		for _, bytes := range []string{"\x00\x01\x02", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 1<<20),
			"POST /hyssopshore.front.v1.FrontService/Gather HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+proto\r\nContent-Length: 9\r\n\r\n\x00\xff\xff\xff\xffrest"} {
			for _, d := range []*daemon{taker, gatherer} {
				for _, address := range []hysmember.Address{d.settings.PeerAddress, d.settings.CallerAddress, d.settings.ReadinessAddress} {
					conn, err := net.Dial("tcp", string(address))
					Expect(err).NotTo(HaveOccurred())
					_, _ = io.WriteString(conn, bytes)
					_ = conn.Close()
				}
			}
		}
		status, _ := taker.askFor("/query/1")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("is cancelled at the searchers when its caller leaves", func() {
		startAll(50, "127.0.0.1:1")
		taker.askFor("/query/1")
		one.slow.Store(int64(900 * time.Millisecond))
		r, err := http.NewRequest(http.MethodGet, "http://"+string(taker.settings.CallerAddress)+"/query/2", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "rota.example"
		r.Header.Set("X-Id", "r-2")
		client := &http.Client{Timeout: 100 * time.Millisecond}
		_, err = client.Do(r)
		Expect(err).To(HaveOccurred())
		Eventually(one.cancelled.Load, "400ms").Should(BeNumerically(">=", 1))
		Eventually(taker.log.String).Should(ContainSubstring("request abandoned"))
	})

	It("is not gathered by a configuration that is older than the daemon's", func() {
		startAll(60, "127.0.0.1:1")
		newer := &store{version: 9, revision: 90, shards: shared.shards}
		shared.set(func() {
			// Only one of the two watches hears of it.
			shared.changes = []hysfront.Changes{{Configuration: newer.configuration(), Revision: 90, Events: 1}}
		})
		knows := func() string {
			for _, d := range []*daemon{taker, gatherer} {
				if strings.Contains(d.log.String(), `"msg":"configuration in force","instance":"`+string(d.settings.Instance)+`","version":9`) {
					return string(d.settings.Instance)
				}
			}
			return ""
		}
		Eventually(knows, "4s").ShouldNot(BeEmpty())
		status, _ := taker.askFor("/query/1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(taker.log.String()).To(ContainSubstring(`"route":"query","service":"","configuration":9`))
	})
})
