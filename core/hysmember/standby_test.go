package hysmember_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
)

var _ = Describe("the searchers that an instance keeps a connection to", func() {
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

	It("are the nearest ones", func() {
		standby := searchers(1, 2).Standby("i-1", 2, distance)
		Expect(standby).To(HaveLen(2))
		Expect(standby[0].ID).To(BeEquivalentTo("near-0"))
	})

	It("are all of them if there are few", func() {
		Expect(searchers(1, 0).Standby("i-1", 2, distance)).To(HaveLen(1))
		Expect(searchers(0, 0).Standby("i-1", 2, distance)).To(BeEmpty())
	})

	It("are not those that leave", func() {
		all := searchers(1, 1)
		all[1].Leaving = true
		standby := all.Standby("i-1", 2, distance)
		Expect(standby).To(HaveLen(1))
		Expect(standby[0].ID).To(BeEquivalentTo("far-0"))
	})

	It("differ between instances where they are equally far", func() {
		const instances, far = 120, 2
		counts := make(map[hysmember.SearcherID]int)
		for i := range instances {
			id := hysmember.InstanceID(fmt.Sprint("i-", i))
			standby := searchers(1, far).Standby(id, 2, distance)
			counts[standby[1].ID]++
		}
		Expect(counts).To(HaveLen(far))
		for _, c := range counts {
			Expect(c).To(BeNumerically(">", instances/far/2))
		}
	})

	It("leave the list as it was", func() {
		all := searchers(2, 2)
		all.Standby("i-1", 2, distance)
		Expect(all).To(Equal(searchers(2, 2)))
	})
})
