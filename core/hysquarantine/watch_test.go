package hysquarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
)

var _ = Describe("a watch beside the sends", func() {
	poison, harmless := hysquarantine.Key{Fingerprint: "poison"}, hysquarantine.Key{Fingerprint: "harmless"}
	var now time.Time
	var w *hysquarantine.Tracker

	// crash loses requests at a searcher that then turns out to have crashed.
	crash := func(w *hysquarantine.Tracker, searcher hysmember.SearcherID, keys ...hysquarantine.Key) hysquarantine.Records {
		for _, key := range keys {
			w.RecordLoss(key, searcher, "1")
		}
		now = now.Add(time.Second)
		return w.RecordCrash(searcher)
	}
	refused := func(w *hysquarantine.Tracker, key hysquarantine.Key) bool {
		_, ok := w.RefusedUntil(key)
		return ok
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		w = hysquarantine.NewTracker(func() time.Time { return now })
	})

	It("refuses a request after the third crash", func() {
		for i := range 3 {
			Expect(refused(w, poison)).To(BeFalse(), "after %d crashes", i)
			crash(w, hysmember.SearcherID(fmt.Sprint("s-", i)), poison)
		}
		until, ok := w.RefusedUntil(poison)
		Expect(ok).To(BeTrue())
		Expect(until).To(BeTemporally(">", now))
		now = until.Add(time.Second)
		Expect(refused(w, poison)).To(BeFalse(), "the record has expired")
	})

	It("counts one crash that several daemons have seen once", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		Expect(other.Merge(crash(w, "s-1", poison))).To(BeTrue())
		crash(other, "s-1", poison)
		Expect(other.Records()[0].CountedCrashes()).To(HaveLen(1))
		Expect(other.Merge(w.Records())).To(BeFalse(), "nothing new")
	})

	It("counts the crashes that other daemons have seen", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		other.Merge(crash(w, "s-1", poison))
		other.Merge(crash(w, "s-2", poison))
		Expect(refused(other, poison)).To(BeFalse())
		crash(other, "s-3", poison)
		Expect(refused(other, poison)).To(BeTrue())
		Expect(refused(w, poison)).To(BeFalse())
		Expect(w.Merge(other.Records())).To(BeTrue())
		Expect(refused(w, poison)).To(BeTrue())
	})

	It("blames no request that a searcher has answered", func() {
		w.RecordAnswer(harmless)
		for i := range 9 {
			crash(w, hysmember.SearcherID(fmt.Sprint("s-", i)), poison, harmless)
		}
		Expect(refused(w, poison)).To(BeTrue())
		Expect(refused(w, harmless)).To(BeFalse())
	})

	It("clears a request by an answer, here and at the other daemons", func() {
		other := hysquarantine.NewTracker(func() time.Time { return now })
		for i := range 2 {
			other.Merge(crash(w, hysmember.SearcherID(fmt.Sprint("s-", i)), harmless))
		}
		cleared, ok := other.RecordAnswer(harmless)
		Expect(ok).To(BeTrue())
		w.Merge(hysquarantine.Records{cleared})
		crash(w, "s-8", harmless)
		crash(w, "s-9", harmless)
		Expect(refused(w, harmless)).To(BeFalse(), "two crashes since")
		_, ok = other.RecordAnswer(harmless)
		Expect(ok).To(BeFalse(), "nothing is left to clear")
	})

	It("blames no request that was lost long before the crash", func() {
		w.RecordLoss(poison, "s-1", "1")
		now = now.Add(time.Minute)
		Expect(w.RecordCrash("s-1")).To(BeEmpty())
	})

	It("blames nothing for a searcher where nothing was lost", func() {
		Expect(w.RecordCrash("s-1")).To(BeEmpty())
	})

	It("keeps a bounded number of lost sends", func() {
		for i := range 10_000 {
			w.RecordLoss(hysquarantine.Key{}, hysmember.SearcherID(fmt.Sprint("s-", i)), "1")
		}
		w.RecordLoss(poison, "s-new", "1")
		Expect(w.RecordCrash("s-new")).To(HaveLen(1))
		for range 10_000 {
			w.RecordLoss(poison, "s-1", "1")
		}
		Expect(len(w.RecordCrash("s-1"))).To(BeNumerically("<", 100))
	})
})
