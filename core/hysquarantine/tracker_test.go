package hysquarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
)

var _ = Describe("a tracker", func() {
	poison, harmless := hysquarantine.Key{Fingerprint: "poison"}, hysquarantine.Key{Fingerprint: "harmless"}
	var now time.Time
	var tracker *hysquarantine.Tracker

	// crash records lost sends of the requests and then the crash of the searcher.
	crash := func(tracker *hysquarantine.Tracker, searcher hysmember.SearcherID, keys ...hysquarantine.Key) hysquarantine.Records {
		for _, key := range keys {
			tracker.RecordLoss(key, searcher, "1")
		}
		now = now.Add(time.Second)
		return tracker.RecordCrash(searcher)
	}
	refused := func(tracker *hysquarantine.Tracker, key hysquarantine.Key) bool {
		_, ok := tracker.RefusedUntil(key)
		return ok
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		tracker = hysquarantine.NewTracker(func() time.Time { return now })
	})

	It("refuses a request after the third crash", func() {
		for i := range 3 {
			Expect(refused(tracker, poison)).To(BeFalse(), "after %d crashes", i)
			crash(tracker, hysmember.SearcherID(fmt.Sprint("s-", i)), poison)
		}
		until, ok := tracker.RefusedUntil(poison)
		Expect(ok).To(BeTrue())
		Expect(until).To(BeTemporally(">", now))
		now = until.Add(time.Second)
		Expect(refused(tracker, poison)).To(BeFalse(), "the record has expired")
	})

	It("counts a crash once that several instances have seen", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		Expect(other.Merge(crash(tracker, "s-1", poison))).To(BeTrue())
		crash(other, "s-1", poison)
		Expect(other.Records()[0].CountedCrashes()).To(HaveLen(1))
		Expect(other.Merge(tracker.Records())).To(BeFalse(), "nothing new")
	})

	It("counts the crashes that other instances have seen", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		other.Merge(crash(tracker, "s-1", poison))
		other.Merge(crash(tracker, "s-2", poison))
		Expect(refused(other, poison)).To(BeFalse())
		crash(other, "s-3", poison)
		Expect(refused(other, poison)).To(BeTrue())
		Expect(refused(tracker, poison)).To(BeFalse())
		Expect(tracker.Merge(other.Records())).To(BeTrue())
		Expect(refused(tracker, poison)).To(BeTrue())
	})

	It("attributes no crash to a request that a searcher has answered", func() {
		tracker.RecordAnswer(harmless)
		for i := range 9 {
			crash(tracker, hysmember.SearcherID(fmt.Sprint("s-", i)), poison, harmless)
		}
		Expect(refused(tracker, poison)).To(BeTrue())
		Expect(refused(tracker, harmless)).To(BeFalse())
	})

	It("clears an answered request, here and at the other instances", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		for i := range 2 {
			other.Merge(crash(tracker, hysmember.SearcherID(fmt.Sprint("s-", i)), harmless))
		}
		cleared, ok := other.RecordAnswer(harmless)
		Expect(ok).To(BeTrue())
		tracker.Merge(hysquarantine.Records{cleared})
		crash(tracker, "s-8", harmless)
		crash(tracker, "s-9", harmless)
		Expect(refused(tracker, harmless)).To(BeFalse(), "two crashes since")
		_, ok = other.RecordAnswer(harmless)
		Expect(ok).To(BeFalse(), "nothing is left to clear")
	})

	It("attributes no crash to a request that was lost long before it", func() {
		tracker.RecordLoss(poison, "s-1", "1")
		now = now.Add(time.Minute)
		Expect(tracker.RecordCrash("s-1")).To(BeEmpty())
	})

	It("attributes no crash of a searcher without lost sends", func() {
		Expect(tracker.RecordCrash("s-1")).To(BeEmpty())
	})

	It("keeps a bounded number of lost sends", func() {
		for i := range 10_000 {
			tracker.RecordLoss(hysquarantine.Key{}, hysmember.SearcherID(fmt.Sprint("s-", i)), "1")
		}
		tracker.RecordLoss(poison, "s-new", "1")
		Expect(tracker.RecordCrash("s-new")).To(HaveLen(1))
		for range 10_000 {
			tracker.RecordLoss(poison, "s-1", "1")
		}
		Expect(len(tracker.RecordCrash("s-1"))).To(BeNumerically("<", 100))
	})
})
