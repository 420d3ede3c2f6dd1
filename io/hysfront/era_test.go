package hysfront_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
	"hyssopshore/io/hyspermit"
	"hyssopshore/io/hysrelay"
)

// eraStore returns a store that states an era.
func eraStore(era hysmember.Era, number int64, entries hysmember.Entries, peers ...hysmember.Instance) *store {
	s := &store{version: 1, entries: entries, peers: peers, eras: hysmember.NewEras()}
	s.beginEra(era, number)
	return s
}

// beginEra brings the store back from a copy.
func (s *store) beginEra(era hysmember.Era, number int64) {
	s.withLock(func() { s.revision = hysmember.Revision{Era: era, Number: number} })
	s.eras.Raise(era)
}

// serveFollowers answers a daemon's requests for updates as another daemon does, and returns
// that one.
func serveFollowers(ip string, answer func(hysrelay.FollowRequest) hysrelay.FollowReply) hysmember.Instance {
	return serveFollowersOver(ip, 0, answer)
}

// serveFollowersOver does so over a link on which each request takes some time.
func serveFollowersOver(ip string, transit time.Duration, answer func(hysrelay.FollowRequest) hysrelay.FollowReply) hysmember.Instance {
	address := hystest.FreeAddress(ip)
	listener, err := net.Listen("tcp", string(address))
	Expect(err).NotTo(HaveOccurred())
	follow := func(_ context.Context, r hysrelay.FollowRequest) hysrelay.FollowReply { return answer(r) }
	permits := func(hyspermit.Request) (hyslimit.Grants, error) { return hyslimit.Grants{}, nil }
	handler := hysrelay.NewHandler(follow, nil, nil, permits)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(transit)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return hysmember.Instance{ID: hysmember.InstanceID("peer-" + ip), Address: address, Zone: "z", Region: "r"}
}

// isReader reports whether an instance reads the store for another one.
func isReader(all hysmember.Instances, follower, reader hysmember.InstanceID) bool {
	r, ok := all.Reader(follower)
	return ok && r.ID == reader
}

var _ = Describe("a frontend daemon that can't read the list of instances at its start", func() {
	It("knows the others soon after the store serves it", func() {
		d := newDaemon("127.0.0.79")
		other := hysmember.Instance{ID: "other", Address: "127.0.0.1:1", Zone: "z"}
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, peers: hysmember.Instances{d.instance(), other}}
		source, served := s.source(), atomic.Bool{}
		read := source.ReadSharedState
		source.ReadSharedState = func(ctx context.Context) (hysfront.SharedState, error) {
			if !served.Load() {
				return hysfront.SharedState{}, errStoreUnavailable
			}
			return read(ctx)
		}
		d.startSource(source)
		time.Sleep(1200 * time.Millisecond)
		served.Store(true)
		Eventually(d.log.String, "1500ms").Should(ContainSubstring(`"msg":"instances counted"`))
	})
})

var _ = Describe("a frontend daemon whose announcement fails", func() {
	It("announces itself again after seconds, since the others do not count it", func() {
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, failsAnnouncements: true}
		start(s, "127.0.0.76")
		announcements := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.announcements }
		Eventually(announcements, "2s").Should(Equal(1))
		Eventually(announcements, "4500ms").Should(Equal(2))
		s.withLock(func() { s.failsAnnouncements = false })
		Eventually(announcements, "4500ms").Should(Equal(3))
		Consistently(announcements, "4s").Should(Equal(3))
	})
})

var _ = Describe("a frontend daemon whose store begins an era", func() {
	It("reads all of it again, keeps what it lacks for a while, and announces itself", func() {
		s := eraStore(1, 50, hysmember.Entries{searcher("s-1", 0)})
		d := start(s, "127.0.0.61")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		second := searcher("s-2", 0)
		second.Revision = hysmember.Revision{Era: 2, Number: 7}
		before := s.announcements
		s.withLock(func() { s.entries = hysmember.Entries{second} })
		s.beginEra(2, 8)
		Eventually(d.log.String, "1s").Should(And(ContainSubstring("store came back from a copy"), ContainSubstring(`"searcher":"s-2"`)))
		Consistently(d.log.String, "1500ms").ShouldNot(ContainSubstring("searcher gone"), "s-1 may be written again")
		Eventually(func() string { _, body := d.request(); return body }, "4s").Should(Equal("s-2"))
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.announcements }, "2s").Should(BeNumerically(">", before))
		Eventually(d.scrape, "4s").Should(ContainSubstring("hyssopshore_store_era 2"))
	})

	It("counts the instances that have not announced themselves again yet", func() {
		peers := hysmember.Instances{{ID: "p-1", Zone: "y", Region: "r"}, {ID: "p-2", Zone: "y", Region: "r"}, {ID: "p-3", Zone: "y", Region: "r"}}
		s := eraStore(1, 50, hysmember.Entries{searcher("s-1", 0)}, peers...)
		d := start(s, "127.0.0.62")
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"msg":"instances counted","instance":"entry-127.0.0.62","count":3`))
		s.withLock(func() { s.peers = peers[:1] })
		s.beginEra(2, 8)
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.announcements }, "2s").Should(BeNumerically(">", 1))
		// The list is read right after that.
		Consistently(d.log.String, "1s").ShouldNot(ContainSubstring(`"count":1`))
	})

	It("counts them too when the list itself is the first answer of the era", func() {
		peers := hysmember.Instances{{ID: "p-1", Zone: "y", Region: "r"}, {ID: "p-2", Zone: "y", Region: "r"}, {ID: "p-3", Zone: "y", Region: "r"}}
		s := eraStore(1, 50, hysmember.Entries{searcher("s-1", 0)}, peers...)
		reads := 0
		s.onShared = func() {
			if reads++; reads == 2 {
				s.peers, s.revision = peers[:1], hysmember.Revision{Era: 2, Number: 8}
				s.eras.Raise(2)
			}
		}
		d := start(s, "127.0.0.70")
		Eventually(d.log.String, "2s").Should(ContainSubstring("store came back from a copy"))
		Consistently(d.log.String, "500ms").ShouldNot(ContainSubstring(`"count":1`))
	})

	It("applies the newer configuration of another instance when it starts", func() {
		served := &store{version: 7, revision: hysmember.Revision{Era: 2, Number: 9}, entries: hysmember.Entries{searcher("s-1", 0)}, eras: hysmember.NewEras()}
		served.eras.Raise(2)
		first := start(served, "127.0.0.63")
		Eventually(first.ready, "2s").Should(Equal(http.StatusOK))
		other := first.instance()
		other.Zone = "y"
		restored := eraStore(2, 8, served.entries, other)
		restored.version = 4
		d := start(restored, "127.0.0.64")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		Eventually(d.log.String, "1s").Should(ContainSubstring(`"version":7`))
	})

	It("uses the searchers that an instance of an older release knows, and does not follow it", func() {
		known := searcher("s-1", 0)
		known.Revision = hystest.Revision(900)
		old := serveFollowers("127.0.0.65", func(r hysrelay.FollowRequest) hysrelay.FollowReply {
			time.Sleep(min(r.Wait, 100*time.Millisecond))
			return hysrelay.FollowReply{
				Cursor: hysrelay.Cursor{Incarnation: "old", Version: 3}, Revision: hystest.Revision(900), ConfigurationRevision: hystest.Revision(10),
				Configuration: []byte("6"), Searchers: hysmember.Delta{Version: 3, Full: true, Entries: hysmember.Entries{known}},
			}
		})
		s := eraStore(3, 40, hysmember.Entries{searcher("s-2", 0)}, old)
		d := newDaemon("127.0.0.66")
		s.peers = append(s.peers, d.instance())
		for i := 0; !isReader(s.peers, d.settings.Instance, old.ID); i++ {
			old.ID = hysmember.InstanceID(fmt.Sprint("peer-", i))
			s.peers[0] = old
		}
		d.start(s)
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"version":6`))
		second := searcher("s-3", 0)
		second.Revision = hysmember.Revision{Era: 3, Number: 41}
		s.withLock(func() {
			s.changes = []hysfront.Changes{{Revision: second.Revision, Events: 1, Updates: []hysfront.Update{{ID: "s-3", Entry: second, Revision: second.Revision}}}}
		})
		Eventually(d.log.String, "3s").Should(ContainSubstring(`"searcher":"s-3"`))
		Expect(d.log.String()).NotTo(ContainSubstring("following reader"))
		Expect(d.log.String()).To(ContainSubstring(`"searcher":"s-1"`))
	})
})
