package hysfront_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
	"hyssopshore/io/hysrelay"
)

var _ = Describe("a frontend daemon with another one in its zone", func() {
	var entries hysmember.Entries
	var reader, follower *daemon
	var readerStore, followerStore *store
	// proxy is between the follower and its reader.
	var proxy *hystest.Proxy

	// watchCount returns a function that counts a daemon's watches of the store.
	watchCount := func(s *store) func() int {
		return func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.watches
		}
	}

	// proxyTo lists a daemon with the address of a proxy before it.
	proxyTo := func(d *daemon, all hysmember.Instances) {
		proxy = hystest.NewProxy(d.settings.PeerAddress)
		DeferCleanup(proxy.Close)
		for i := range all {
			if all[i].ID == d.settings.Instance {
				all[i].Address = proxy.Address()
			}
		}
	}

	// startBoth starts two daemons that know each other, each with its own store.
	startBoth := func(one, other string) {
		entries = hysmember.Entries{searcher("s-1", 0)}
		reader, follower = newDaemon(one), newDaemon(other)
		all := hysmember.Instances{reader.instance(), follower.instance()}
		if _, ok := all.Reader(reader.settings.Instance); ok {
			reader, follower = follower, reader
		}
		proxyTo(reader, all)
		readerStore = &store{version: 1, revision: hystest.Revision(5), entries: entries, peers: all}
		followerStore = &store{version: 1, revision: hystest.Revision(5), entries: entries, peers: all}
		reader.start(readerStore)
		Eventually(reader.ready, "3s").Should(Equal(http.StatusOK))
		follower.start(followerStore)
		Eventually(follower.log.String, "4s").Should(ContainSubstring("following reader"))
	}

	It("applies the changes that it sends, and does not read the store", func() {
		startBoth("127.0.0.11", "127.0.0.12")
		before := watchCount(followerStore)()
		next := &store{version: 4, revision: hystest.Revision(30)}
		second := searcher("s-2", 0)
		second.Revision = hystest.Revision(31)
		readerStore.withLock(func() {
			readerStore.changes = []hysfront.Changes{{
				Configuration: next.configuration(), Revision: hystest.Revision(31), Events: 3,
				Updates: []hysfront.Update{{ID: "s-2", Entry: second, Revision: hystest.Revision(31)}, {ID: "s-1", Removed: true, Revision: hystest.Revision(29)}},
			}}
		})
		Eventually(func() string { _, body := follower.request(); return body }, "2s").Should(Equal("s-2"))
		Eventually(follower.log.String, "1s").Should(ContainSubstring(`"msg":"configuration in force","instance":"` + string(follower.settings.Instance) + `","version":4`))
		Consistently(watchCount(followerStore), "1s").Should(BeNumerically("<=", before+1))
		Expect(reader.log.String()).NotTo(ContainSubstring("following reader"))
	})

	It("starts with the state of the other one, and does not read the store", func() {
		startBoth("127.0.0.29", "127.0.0.30")
		Expect(follower.ready()).To(Equal(http.StatusOK))
		followerStore.mu.Lock()
		defer followerStore.mu.Unlock()
		Expect(followerStore.reads).To(BeZero())
	})

	It("reads the store itself when requests wait and the other one does not respond", func() {
		one, other := newDaemon("127.0.0.56"), newDaemon("127.0.0.57")
		all := hysmember.Instances{one.instance(), other.instance()}
		if _, ok := all.Reader(one.settings.Instance); !ok {
			one, other = other, one
		}
		silent, err := net.Listen("tcp", string(other.settings.PeerAddress))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		one.start(&store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, peers: all})
		var status int
		var answered time.Duration
		Eventually(func() int {
			started := time.Now()
			status, _ = one.request()
			answered = time.Since(started)
			return status
		}, "2s", "1ms").ShouldNot(BeZero(), "the port is open")
		Expect(status).To(Equal(http.StatusOK))
		Expect(answered).To(BeNumerically("<", 250*time.Millisecond))
	})

	It("waits for the other one when the whole system starts for the first time", func() {
		one, other := newDaemon("127.0.0.31"), newDaemon("127.0.0.32")
		one.settings.FirstStart, other.settings.FirstStart = true, true
		all := hysmember.Instances{one.instance(), other.instance()}
		reads := 0
		stores := []*store{}
		for _, d := range []*daemon{one, other} {
			s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, peers: all}
			stores = append(stores, s)
			d.start(s)
		}
		for _, d := range []*daemon{one, other} {
			Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		}
		for _, s := range stores {
			s.mu.Lock()
			reads += s.reads
			s.mu.Unlock()
		}
		Expect(reads).To(Equal(1), "only the reader reads")
	})

	It("waits for the other one at the first start though that has just told it its state in another call", func() {
		entries = hysmember.Entries{searcher("s-1", 0)}
		d := newDaemon("127.0.0.68")
		d.settings.FirstStart = true
		state := hysrelay.FollowReply{
			Cursor: hysrelay.Cursor{Incarnation: "other", Version: 3}, Revision: hystest.Revision(5), ConfigurationRevision: hystest.Revision(5),
			Configuration: []byte("1"), Searchers: hysmember.Delta{Version: 3, Full: true, Entries: entries},
		}
		told, once := make(chan struct{}), sync.Once{}
		var followed atomic.Int64
		other := serveFollowers("127.0.0.69", func(r hysrelay.FollowRequest) hysrelay.FollowReply {
			if r.Wait == 0 {
				once.Do(func() { time.AfterFunc(20*time.Millisecond, func() { close(told) }) })
				return state
			}
			<-told
			if followed.Add(1) == 1 {
				return hysrelay.FollowReply{}
			}
			time.Sleep(min(r.Wait, 100*time.Millisecond))
			return state
		})
		followerStore = &store{version: 1, revision: hystest.Revision(5), entries: entries, peers: hysmember.Instances{other, d.instance()}}
		for i := 0; !isReader(followerStore.peers, d.settings.Instance, other.ID); i++ {
			other.ID = hysmember.InstanceID(fmt.Sprint("other-", i))
			followerStore.peers[0] = other
		}
		d.start(followerStore)
		Eventually(d.log.String, "2s").Should(ContainSubstring("following reader"))
		followerStore.mu.Lock()
		defer followerStore.mu.Unlock()
		Expect(followerStore.reads).To(BeZero())
	})

	It("reads the store itself once it has lost the other one just after the first start", func() {
		one, other := newDaemon("127.0.0.58"), newDaemon("127.0.0.59")
		one.settings.FirstStart, other.settings.FirstStart = true, true
		all := hysmember.Instances{one.instance(), other.instance()}
		if _, ok := all.Reader(one.settings.Instance); !ok {
			one, other = other, one
		}
		proxyTo(other, all)
		followerStore = &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, peers: all}
		other.start(&store{version: 1, revision: hystest.Revision(5), entries: followerStore.entries, peers: all})
		one.start(followerStore)
		Eventually(one.log.String, "4s", "5ms").Should(ContainSubstring("following reader"))
		before := watchCount(followerStore)()
		proxy.Close()
		Eventually(watchCount(followerStore), "900ms", "5ms").Should(BeNumerically(">", before))
	})

	It("reads the store itself once the other one has stopped", func() {
		startBoth("127.0.0.13", "127.0.0.14")
		reader.stop()
		next := &store{version: 6, revision: hystest.Revision(40)}
		followerStore.withLock(func() {
			followerStore.changes = []hysfront.Changes{{Configuration: next.configuration(), Revision: hystest.Revision(40), Events: 1}}
		})
		Eventually(follower.log.String, "4s").Should(And(
			ContainSubstring("reader lost"), ContainSubstring(`"msg":"configuration in force","instance":"`+string(follower.settings.Instance)+`","version":6`),
		))
		Expect(follower.ready()).To(Equal(http.StatusOK))
	})

	It("continues from before a removal that the other one has not confirmed yet, once that one has stopped", func() {
		startBoth("127.0.0.35", "127.0.0.36")
		readerStore.withLock(func() { readerStore.unavailable = true })
		Eventually(reader.log.String, "2s").Should(ContainSubstring("store unavailable"))
		readerStore.withLock(func() {
			readerStore.unavailable = false
			// The removal may be a short lapse, so that it takes effect only after
			// 2.2 s.
			readerStore.changes = []hysfront.Changes{{Revision: hystest.Revision(40), Events: 1, Updates: []hysfront.Update{{ID: "s-1", Removed: true, Revision: hystest.Revision(30)}}}}
		})
		Eventually(func() bool {
			readerStore.mu.Lock()
			defer readerStore.mu.Unlock()
			return len(readerStore.changes) == 0 && readerStore.after.Number >= 40
		}, "3s").Should(BeTrue())
		// The follower gets one more reply, then it loses the reader.
		time.Sleep(700 * time.Millisecond)
		before := watchCount(followerStore)()
		proxy.Close()
		Eventually(watchCount(followerStore), "2s").Should(BeNumerically(">", before))
		followerStore.mu.Lock()
		defer followerStore.mu.Unlock()
		Expect(followerStore.after.Number).To(BeNumerically("<", 30), "the removal is read again")
	})

	It("is followed while hardly any key changes", func() {
		startBoth("127.0.0.17", "127.0.0.18")
		readerStore.withLock(func() {
			readerStore.holdsWatches = true
			// A key changes that no daemon needs.
			readerStore.changes = []hysfront.Changes{{Revision: hystest.Revision(40), Events: 1}}
		})
		Consistently(follower.log.String, "5s").ShouldNot(ContainSubstring("reader lost"))
	})

	It("reads the store itself while the other one lags behind it", func() {
		startBoth("127.0.0.27", "127.0.0.28")
		readerStore.withLock(func() { readerStore.backlog = true })
		next := &store{version: 9, revision: hystest.Revision(5000)}
		followerStore.withLock(func() {
			followerStore.changes = []hysfront.Changes{{Configuration: next.configuration(), Revision: hystest.Revision(5000), Events: 1}}
		})
		Eventually(follower.log.String, "3s").Should(ContainSubstring(`"version":9`))
		Eventually(reader.log.String, "3s").Should(ContainSubstring(`"version":9`), "the reader gets it from the follower")
	})

	It("reads the store itself while the store does not serve the other one", func() {
		startBoth("127.0.0.15", "127.0.0.16")
		readerStore.withLock(func() { readerStore.unavailable = true })
		next := &store{version: 7, revision: hystest.Revision(50)}
		followerStore.withLock(func() {
			followerStore.changes = []hysfront.Changes{{Configuration: next.configuration(), Revision: hystest.Revision(50), Events: 1}}
		})
		within := hysfront.Settings{}
		within.Defaults()
		Eventually(follower.log.String, within.ApplyWithin).Should(ContainSubstring(`"version":7`))
		Eventually(reader.log.String, "3s").Should(ContainSubstring(`"version":7`), "the reader gets it from the follower")
	})
})
