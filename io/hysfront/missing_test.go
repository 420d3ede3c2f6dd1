package hysfront_test

import (
	"hyssopshore/internal/hystest"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysfront"
)

var _ = Describe("a searcher that was removed while the store was unavailable", func() {
	// The entry may come back within two seconds; a leaving searcher may get requests
	// for three.
	const longestUse = 2600 * time.Millisecond

	It("is not used until a long watch returns", func() {
		searcher := newCountedSearcher("s-1", "roll")
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher.entry}}
		d := start(s, "127.0.0.96")
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		s.withLock(func() { s.unavailable = true })
		Eventually(d.log.String, "3s").Should(ContainSubstring("store unavailable"))
		s.withLock(func() {
			s.unavailable, s.watchWait = false, 1900*time.Millisecond
			s.changes = []hysfront.Changes{{Revision: hystest.Revision(7), Events: 1, Updates: []hysfront.Update{{ID: "s-1", Revision: hystest.Revision(7), Removed: true}}}}
		})
		Eventually(d.log.String, "3s").Should(ContainSubstring("store available again"))
		Eventually(d.log.String, longestUse).Should(ContainSubstring("searcher gone"))
	})
})
