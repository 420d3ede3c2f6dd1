package hysfront_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
)

// confirmTime is the time within which a daemon finds out that its announcement is not in
// the store: an interval of its renewals.
const confirmTime = 9 * time.Second

// Guards against a daemon that lives and stays out of the list, since a write of an earlier
// start or of another build was done late: review/3.
var _ = Describe("a daemon whose announcement is not the one in the store", func() {
	It("announces itself again at its first renewal", func() {
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, replaced: true}
		d := newDaemon("127.0.0.81")
		s.peers = hysmember.Instances{d.instance()}
		d.start(s)
		announced := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.announcements }
		Eventually(announced, "2s").Should(Equal(1))
		Eventually(announced, confirmTime+time.Second).Should(Equal(2))
		s.withLock(func() { s.replaced = false })
		Consistently(announced, confirmTime+2*time.Second).Should(Equal(2), "it is the one in the store")
	})

	It("announces itself again when a list lacks it", func() {
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}}
		d := newDaemon("127.0.0.82")
		s.peers = hysmember.Instances{d.instance()}
		d.start(s)
		announced := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.announcements }
		Eventually(announced, "2s").Should(Equal(1))
		lookups := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.lookups }
		Eventually(lookups, 2*confirmTime+time.Second).Should(Equal(2))
		Consistently(lookups, confirmTime+time.Second).Should(Equal(2), "it is confirmed")
		Expect(announced()).To(Equal(1))
		s.withLock(func() {
			s.replaced = true
			s.peers = hysmember.Instances{{ID: "other", Address: "127.0.0.1:1", Zone: "z"}}
		})
		Eventually(announced, 2*confirmTime+time.Second).Should(Equal(2))
	})
})
