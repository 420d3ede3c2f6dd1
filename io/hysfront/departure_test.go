package hysfront_test

import (
	"hyssopshore/internal/hystest"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysfront"
)

// leavingSearcher is a searcher that announces in its responses that it is leaving.
type leavingSearcher struct {
	entry    hysmember.Entry
	requests atomic.Int64
	// status is the status of its responses, slow is how long they take.
	status int
	slow   time.Duration
}

func newLeavingSearcher(id hysmember.SearcherID, service hysservice.Name) *leavingSearcher {
	s := &leavingSearcher{status: http.StatusOK}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		time.Sleep(s.slow)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sig", "s")
		w.Header().Set("X-Leaving", "1")
		w.WriteHeader(s.status)
		_, _ = io.WriteString(w, string(id)+"0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	s.entry = hysmember.Entry{
		Searcher: hysmember.Searcher{ID: id, Service: service, Address: address, Zone: "z"}, Slots: 2, StartTime: 10, Revision: hystest.Revision(1),
	}
	return s
}

// relist lists a searcher as ready a number of times, each time with a newer
// report.
func relist(s *store, e hysmember.Entry, count int) {
	s.withLock(func() {
		var updates []hysfront.Update
		for range count {
			s.revision.Number++
			e.Revision, e.Sequence = s.revision, s.revision.Number
			updates = append(updates, hysfront.Update{ID: e.Searcher.ID, Entry: e, Revision: e.Revision})
		}
		s.changes = append(s.changes, hysfront.Changes{Revision: s.revision, Events: count, Updates: updates})
	})
}

var _ = Describe("a searcher that announces in its responses that it is leaving", func() {
	It("gets no new requests even if it is listed as ready, until it has restarted", func() {
		leaving := newLeavingSearcher("s-1", "roll")
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{leaving.entry}}
		d := start(s, "127.0.0.21")
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		status, _ := d.request()
		Expect(status).To(Equal(http.StatusOK), "the response is forwarded")
		Eventually(d.log.String, "1s").Should(ContainSubstring("searcher announced that it is leaving"))
		relist(s, leaving.entry, 3)
		for range 10 {
			status, _ := d.request()
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(leaving.requests.Load()).To(BeEquivalentTo(1))
		restarted := leaving.entry
		restarted.StartTime = 20
		relist(s, restarted, 1)
		Eventually(func() int { status, _ := d.request(); return status }, "3s").Should(Equal(http.StatusOK))
	})

	It("is known as leaving by a failure, by a shard result and by a response that comes after that of a hedge", func() {
		failed, queried, late := newLeavingSearcher("s-1", "roll"), newLeavingSearcher("s-2", "desk"), newLeavingSearcher("s-3", "ledger")
		failed.status, late.slow = http.StatusInternalServerError, 200*time.Millisecond
		healthy, other := searcher("s-4", 0), searcher("s-5", 0)
		healthy.Searcher.Service, other.Searcher.Service = "ledger", "desk"
		// The others are far, so that the leaving ones are tried first.
		healthy.Searcher.Zone, other.Searcher.Zone = "far", "far"
		s := &store{
			version: 1, revision: hystest.Revision(5), shards: []hysservice.Name{"desk", "ledger"},
			entries: hysmember.Entries{failed.entry, queried.entry, late.entry, healthy, other},
		}
		d := start(s, "127.0.0.22")
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		d.request()
		asked := func() string {
			d.requestPath("/query/1")
			return d.log.String()
		}
		for _, id := range []string{"s-1", "s-2", "s-3"} {
			Eventually(asked, "3s").Should(ContainSubstring(`"msg":"searcher announced that it is leaving","instance":"entry-127.0.0.22","searcher":"` + id))
		}
	})

	It("is not used again by a daemon that is restarted while the store is unavailable", func() {
		leaving := newLeavingSearcher("s-1", "roll")
		informed := start(&store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{leaving.entry}}, "127.0.0.33")
		Eventually(informed.ready, "3s").Should(Equal(http.StatusOK))
		informed.request()
		Eventually(informed.log.String, "1s").Should(ContainSubstring("searcher announced that it is leaving"))
		restarted := start(&store{unavailable: true, peers: hysmember.Instances{informed.instance()}}, "127.0.0.34")
		Eventually(restarted.ready, "4s").Should(Equal(http.StatusOK))
		before := leaving.requests.Load()
		status, _ := restarted.request()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(leaving.requests.Load()).To(Equal(before))
	})

	It("is reported as leaving to all daemons of the zone, by a follower to the reader and by that to the others", func() {
		leaving := newLeavingSearcher("s-1", "roll")
		one, other, third := newDaemon("127.0.0.23"), newDaemon("127.0.0.24"), newDaemon("127.0.0.25")
		all := hysmember.Instances{one.instance(), other.instance(), third.instance()}
		var readers, followers []*daemon
		for _, d := range []*daemon{one, other, third} {
			if _, follows := all.Reader(d.settings.Instance); follows {
				followers = append(followers, d)
				continue
			}
			readers = append(readers, d)
		}
		for _, d := range append(readers, followers...) {
			d.start(&store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{leaving.entry}, peers: all})
			Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		}
		for _, d := range followers {
			Eventually(d.log.String, "4s").Should(ContainSubstring("following reader"))
		}
		status, _ := followers[0].request()
		Expect(status).To(Equal(http.StatusOK))
		for _, d := range []*daemon{one, other, third} {
			Eventually(func() int { status, _ := d.request(); return status }, "3s").Should(Equal(http.StatusServiceUnavailable))
		}
		Expect(leaving.requests.Load()).To(BeNumerically("<", 40))
	})
})
