package hysmember_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
)

var _ = Describe("the nearest searcher of an instance", func() {
	distance := func(s hysmember.Searcher) time.Duration {
		if s.Zone == "z" {
			return time.Millisecond
		}
		return 16 * time.Millisecond
	}
	searchers := func(near, far int) hysmember.Searchers {
		var all hysmember.Searchers
		for i := range far {
			all = append(all, hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprint("far-", i)), Zone: "y"})
		}
		for i := range near {
			all = append(all, hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprint("near-", i)), Zone: "z"})
		}
		return all
	}

	It("is the one with the least distance", func() {
		s, ok := searchers(1, 2).Nearest("i-1", distance)
		Expect(ok).To(BeTrue())
		Expect(s.ID).To(BeEquivalentTo("near-0"))
	})

	It("is none if there are none", func() {
		_, ok := searchers(0, 0).Nearest("i-1", distance)
		Expect(ok).To(BeFalse())
	})

	It("is not one that is leaving", func() {
		all := searchers(1, 1)
		all[1].Leaving = true
		s, _ := all.Nearest("i-1", distance)
		Expect(s.ID).To(BeEquivalentTo("far-0"))
	})

	It("differs between instances if several are at the same distance", func() {
		const instances, far = 120, 2
		counts := make(map[hysmember.SearcherID]int)
		for i := range instances {
			s, _ := searchers(0, far).Nearest(hysmember.InstanceID(fmt.Sprint("i-", i)), distance)
			counts[s.ID]++
		}
		Expect(counts).To(HaveLen(far))
		for _, c := range counts {
			Expect(c).To(BeNumerically(">", instances/far/2))
		}
	})

	It("does not change the list", func() {
		all := searchers(2, 2)
		all.Nearest("i-1", distance)
		Expect(all).To(Equal(searchers(2, 2)))
	})
})
