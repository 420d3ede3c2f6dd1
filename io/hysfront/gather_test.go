package hysfront_test

import (
	"context"
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

// countedSearcher is a searcher of a shard that counts its requests, and those that
// were cancelled.
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
		Searcher: hysmember.Searcher{ID: id, Service: service, Address: address, Zone: "z"}, Slots: 4, StartTime: 10, Revision: hystest.Revision(1),
	}
	return s
}

// silentAddress returns the address of a listener that accepts connections and
// never answers.
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

// delayed returns a function that puts a proxy before a daemon, which delays
// everything.
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
	// generousTimeout is enough for a gatherer on a busy machine too.
	const generousTimeout = time.Second
	var entry, gatherer *daemon
	var desk, ledger *countedSearcher
	var sharedStore *store
	// gathererAddress returns the address at which the others reach the gatherer.
	var gathererAddress func(hysmember.Address) hysmember.Address
	// acceptTimeout is how long a gatherer may take to accept a query.
	var acceptTimeout time.Duration
	// entryZone is the availability zone of the daemon, and entryWatch its watch of the
	// store, nil for the usual one.
	var entryZone hysmember.Zone
	var entryWatch func(context.Context, hysmember.Revision, time.Duration) (hysfront.Changes, error)

	BeforeEach(func() {
		gathererAddress = func(address hysmember.Address) hysmember.Address { return address }
		acceptTimeout = generousTimeout
		entryZone, entryWatch = "z", nil
	})

	// startAll starts a daemon and a gatherer. Another gatherer at an address and
	// weak daemons are only listed.
	startAll := func(first byte, second hysmember.Address) {
		ip := func(n byte) string { return fmt.Sprintf("127.0.1.%d", first+n) }
		entry, gatherer = newDaemon(ip(0)), newDaemon(ip(1))
		entry.settings.Zone = entryZone
		entry.options = []hysfront.Option{hysfront.WithGathererAcceptTimeout(acceptTimeout)}
		entry.settings.ProcessorShare, gatherer.settings.ProcessorShare = weak, strong
		all := hysmember.Instances{entry.instance(), gatherer.instance()}
		all[0].ProcessorShare, all[1].ProcessorShare = weak, strong
		all[1].Address = gathererAddress(all[1].Address)
		all = append(all, hysmember.Instance{ID: "second", Address: second, Zone: "z", Region: "r", ProcessorShare: strong})
		for n := range 9 {
			all = append(all, hysmember.Instance{
				ID: hysmember.InstanceID(fmt.Sprint("weak-", n)), Address: "127.0.0.1:1", Zone: "other", Region: "r", ProcessorShare: weak,
			})
		}
		desk, ledger = newCountedSearcher("s-1", "desk"), newCountedSearcher("s-2", "ledger")
		sharedStore = &store{
			version: 1, revision: hystest.Revision(5), shards: []hysservice.Name{"desk", "ledger"}, peers: all,
			entries: hysmember.Entries{desk.entry, ledger.entry},
		}
		for _, d := range []*daemon{gatherer, entry} {
			source := sharedStore.source()
			if d == entry && entryWatch != nil {
				source.Watch = entryWatch
			}
			d.startSource(source)
			Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
			Eventually(d.log.String, "3s").Should(ContainSubstring(`"gatherers":2`))
		}
	}

	delegatedCount := func() int { return strings.Count(entry.log.String(), `"gathered-by":"entry-`) }

	It("is answered by a gatherer, with one result of each shard", func() {
		startAll(10, "127.0.0.1:1")
		for range 20 {
			status, body := entry.requestPath("/query/1")
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(HaveLen(16))
		}
		Expect(delegatedCount()).To(BeNumerically(">", 15))
		Expect(desk.requests.Load()).To(BeNumerically("<=", 22))
		Eventually(gatherer.log.String).Should(ContainSubstring(`"for-another":true`))
	})

	It("is answered in time though the other gatherer is silent", func() {
		acceptTimeout = 100 * time.Millisecond
		startAll(20, silentAddress("127.0.1.29"))
		for range 10 {
			began := time.Now()
			status, _ := entry.requestPath("/query/1")
			Expect(status).To(Equal(http.StatusOK))
			Expect(time.Since(began)).To(BeNumerically("<", 3*acceptTimeout))
		}
		silences := strings.Count(entry.log.String(), `"gatherer":"second"`)
		Expect(silences).To(BeNumerically("<=", 1), "a silent gatherer is not tried again for a while")
	})

	It("is gathered by the daemon itself at once if all gatherers are silent", func() {
		gathererAddress = func(hysmember.Address) hysmember.Address { return silentAddress("127.0.1.108") }
		acceptTimeout = 100 * time.Millisecond
		startAll(100, silentAddress("127.0.1.109"))
		for range 3 {
			status, _ := entry.requestPath("/query/1")
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(desk.requests.Load()).To(BeNumerically("<=", 3+1))
	})

	It("is gathered by the daemon itself if no gatherer answers", func() {
		acceptTimeout = 100 * time.Millisecond
		startAll(30, silentAddress("127.0.1.39"))
		gatherer.stop()
		Eventually(gatherer.stopped, "10s").Should(Receive(BeNil()))
		gatherer.stopped <- nil
		status, _ := entry.requestPath("/query/1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(entry.log.String()).To(ContainSubstring(`"gathered-by":"","for-another":false`))
	})

	It("is answered elsewhere while a gatherer stops, which finishes the queries that it has accepted", func() {
		startAll(40, "127.0.0.1:1")
		// The first query opens the connections.
		entry.requestPath("/query/1")
		desk.slow.Store(int64(400 * time.Millisecond))
		answers := make(chan int, 1)
		go func() { status, _ := entry.requestPath("/query/2"); answers <- status }()
		Eventually(desk.requests.Load).Should(BeNumerically(">=", 2))
		gatherer.stop()
		Expect(<-answers).To(Equal(http.StatusOK))
		desk.slow.Store(0)
		status, _ := entry.requestPath("/query/3")
		Expect(status).To(Equal(http.StatusOK))
		Expect(entry.log.String()).To(ContainSubstring("the daemon is stopping"))
	})

	expectStaysWithGatherer := func() {
		entry.requestPath("/query/1")
		before, delegated := desk.requests.Load(), delegatedCount()
		// Longer than the share of the goal after which the gatherer is probed.
		desk.slow.Store(int64(750 * time.Millisecond))
		status, _ := entry.requestPath("/query/2")
		Expect(status).To(Equal(http.StatusOK))
		Expect(delegatedCount()).To(Equal(delegated + 1))
		Expect(desk.requests.Load()-before).To(BeNumerically("<=", 2), "the attempts of the route")
	}

	It("stays with a gatherer that is only slow", func() {
		startAll(70, "127.0.0.1:1")
		expectStaysWithGatherer()
	})

	It("stays with a gatherer that is only slow, over a slow network", func() {
		gathererAddress = delayed(30 * time.Millisecond)
		startAll(110, "127.0.0.1:1")
		expectStaysWithGatherer()
	})

	It("is run by no more searchers than its route allows even if a gatherer receives it late", func() {
		gathererAddress = delayed(60 * time.Millisecond)
		acceptTimeout = 20 * time.Millisecond
		startAll(80, "127.0.0.1:1")
		before := desk.requests.Load()
		desk.slow.Store(int64(300 * time.Millisecond))
		status, _ := entry.requestPath("/query/2")
		Expect(entry.log.String()).To(ContainSubstring("the gatherer is silent"))
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
		Consistently(func() int64 { return desk.requests.Load() - before }, "500ms").Should(BeNumerically("<=", 2))
	})

	It("is answered while unknown clients send malformed data to the daemons' ports", func() {
		startAll(90, "127.0.0.1:1")
		for _, bytes := range []string{"\x00\x01\x02", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 1<<20),
			"POST /hyssopshore.front.v1.FrontService/Gather HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+proto\r\nContent-Length: 9\r\n\r\n\x00\xff\xff\xff\xffrest"} {
			for _, d := range []*daemon{entry, gatherer} {
				for _, address := range []hysmember.Address{d.settings.PeerAddress, d.settings.CallerAddress, d.settings.ReadinessAddress} {
					conn, err := net.Dial("tcp", string(address))
					Expect(err).NotTo(HaveOccurred())
					_, _ = io.WriteString(conn, bytes)
					_ = conn.Close()
				}
			}
		}
		status, _ := entry.requestPath("/query/1")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("is cancelled at the searchers when its caller leaves", func() {
		startAll(50, "127.0.0.1:1")
		entry.requestPath("/query/1")
		desk.slow.Store(int64(900 * time.Millisecond))
		r, err := http.NewRequest(http.MethodGet, "http://"+string(entry.settings.CallerAddress)+"/query/2", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "rota.example"
		r.Header.Set("X-Id", "r-2")
		client := &http.Client{Timeout: 100 * time.Millisecond}
		_, err = client.Do(r)
		Expect(err).To(HaveOccurred())
		Eventually(desk.cancelled.Load, "400ms").Should(BeNumerically(">=", 1))
		Eventually(entry.log.String).Should(ContainSubstring("request abandoned"))
	})

	It("brings the newer configuration of its gatherer to a daemon whose store seems unchanged", func() {
		entryZone = "entry"
		var watches atomic.Int64
		entryWatch = func(_ context.Context, after hysmember.Revision, wait time.Duration) (hysfront.Changes, error) {
			watches.Add(1)
			time.Sleep(wait)
			return hysfront.Changes{Revision: after}, nil
		}
		startAll(130, "127.0.0.1:1")
		// A daemon that starts asks others until the store has served it.
		Eventually(watches.Load, "5s").Should(BeNumerically(">=", 3))
		newer := &store{version: 9, revision: hystest.Revision(90), shards: sharedStore.shards}
		sharedStore.withLock(func() {
			sharedStore.changes = []hysfront.Changes{{Configuration: newer.configuration(), Revision: hystest.Revision(90), Events: 1}}
		})
		Eventually(gatherer.version, "2s").Should(BeEquivalentTo(9))
		Expect(entry.version()).To(BeEquivalentTo(1))
		Eventually(func() int {
			entry.requestPath("/query/1")
			return strings.Count(entry.log.String(), `"configuration":9`)
		}, "2s").Should(BeNumerically(">", 0))
		// Callers may see the older one again for so long.
		const seenAgainWithin = 250 * time.Millisecond
		Eventually(entry.version, seenAgainWithin, "5ms").Should(BeEquivalentTo(9))
	})

	It("is not gathered with an older configuration than that of the entry instance", func() {
		startAll(60, "127.0.0.1:1")
		newer := &store{version: 9, revision: hystest.Revision(90), shards: sharedStore.shards}
		sharedStore.withLock(func() {
			// Only one of the two watches returns the change.
			sharedStore.changes = []hysfront.Changes{{Configuration: newer.configuration(), Revision: hystest.Revision(90), Events: 1}}
		})
		updatedInstance := func() string {
			for _, d := range []*daemon{entry, gatherer} {
				if strings.Contains(d.log.String(), `"msg":"configuration in force","instance":"`+string(d.settings.Instance)+`","version":9`) {
					return string(d.settings.Instance)
				}
			}
			return ""
		}
		Eventually(updatedInstance, "4s").ShouldNot(BeEmpty())
		status, _ := entry.requestPath("/query/1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(entry.log.String()).To(ContainSubstring(`"route":"query","service":"","configuration":9`))
	})
})
