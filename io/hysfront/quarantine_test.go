package hysfront_test

import (
	"fmt"
	"hyssopshore/internal/hystest"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/io/hysfront"
)

// crashingSearcher starts a searcher that stops and closes all its connections when
// it gets a request to /poison, and reports that on crashes.
func crashingSearcher(id hysmember.SearcherID, crashes chan<- hysmember.SearcherID) hysmember.Entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poison" {
			crashes <- id
			go server.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sig", "s")
	})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { _ = server.Close() })
	return hysmember.Entry{Slots: 2, Revision: hystest.Revision(1), StartTime: 7, Searcher: hysmember.Searcher{
		ID: id, Service: "roll", Address: hysmember.Address(listener.Addr().String()), Zone: "z",
	}}
}

var _ = Describe("a request that crashes each searcher that runs it", func() {
	const searchers, limit = 8, 3
	var crashes chan hysmember.SearcherID
	var s *store

	BeforeEach(func() {
		crashes = make(chan hysmember.SearcherID, searchers)
		s = &store{version: 1, revision: hystest.Revision(5)}
		for i := range searchers {
			s.entries = append(s.entries, crashingSearcher(hysmember.SearcherID(fmt.Sprint("s-", i)), crashes))
		}
	})

	// attributedCrashes returns the most crashes of any record that the daemon has
	// written to the store.
	attributedCrashes := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		most := 0
		for _, r := range s.evidence {
			most = max(most, len(r.CountedCrashes()))
		}
		return most
	}

	It("is told to the store again once that has come back from a copy", func() {
		s.eras, s.revision = hysmember.NewEras(), hysmember.Revision{Era: 1, Number: 5}
		s.eras.Raise(1)
		d := start(s, "127.0.0.67")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		d.requestPath("/poison")
		var crashed hysmember.SearcherID
		Expect(crashes).To(Receive(&crashed))
		revision := hysmember.Revision{Era: 1, Number: 10}
		s.withLock(func() {
			s.changes = []hysfront.Changes{{Revision: revision, Events: 1, Updates: []hysfront.Update{{ID: crashed, Removed: true, Revision: revision}}}}
		})
		Eventually(attributedCrashes, "4s").Should(Equal(1))
		s.withLock(func() { s.evidence = nil })
		s.beginEra(2, 6)
		Eventually(attributedCrashes, "2s").Should(Equal(1))
	})

	It("is refused after the third crash, at the other daemons too", func() {
		d := start(s, "127.0.0.20")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		for i := range limit {
			status, _ := d.requestPath("/poison")
			Expect(status).To(Equal(http.StatusBadGateway), "try %d", i)
			var crashed hysmember.SearcherID
			Expect(crashes).To(Receive(&crashed))
			revision := hystest.Revision(int64(10 + i))
			s.withLock(func() {
				s.changes = []hysfront.Changes{{Revision: revision, Events: 1, Updates: []hysfront.Update{{ID: crashed, Removed: true, Revision: revision}}}}
			})
			Eventually(attributedCrashes, "4s").Should(Equal(i + 1))
		}
		status, body := d.requestPath("/poison")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("quarantined"))
		Expect(crashes).To(BeEmpty())
		status, _ = d.request()
		Expect(status).To(Equal(http.StatusOK), "other requests are served")

		var records hysquarantine.Records
		s.withLock(func() { records = s.evidence })
		other := &store{version: 1, revision: hystest.Revision(5), entries: s.entries}
		second := start(other, "127.0.0.21")
		Eventually(second.ready, "2s").Should(Equal(http.StatusOK))
		other.withLock(func() {
			other.changes = []hysfront.Changes{{Evidence: hysfront.CrashEvidence{Records: records}, Revision: hystest.Revision(9), Events: 1}}
		})
		Eventually(second.log.String, 2*time.Second).Should(ContainSubstring("crash evidence received"))
		status, _ = second.requestPath("/poison")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(crashes).To(BeEmpty())
		Expect(strings.Count(d.log.String(), "request suspected of a crash")).To(Equal(limit))
	})
})
