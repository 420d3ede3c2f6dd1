package hysmember_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
)

// gathererCase is one fleet of testdata/gatherers.json.
type gathererCase struct {
	Name  string         `json:"name"`
	Zones []gathererZone `json:"zones"`
	Want  gathererCounts `json:"want"`
}

// gathererZone is a zone with some strong and some weak instances, and the
// number of searchers in it.
type gathererZone struct {
	Zone        hysmember.Zone   `json:"zone"`
	Region      hysmember.Region `json:"region"`
	Strong      int              `json:"strong"`
	Weak        int              `json:"weak"`
	StrongShare float64          `json:"strong-share"`
	WeakShare   float64          `json:"weak-share"`
	Held        int              `json:"held"`
}

// gathererCounts is how many instances gather in a region, and in which zones.
type gathererCounts struct {
	First   int              `json:"first"`
	Reserve int              `json:"reserve"`
	Zones   []hysmember.Zone `json:"zones"`
}

func (c gathererCase) fleet() (hysmember.Instances, map[hysmember.Zone]int) {
	var all hysmember.Instances
	held := make(map[hysmember.Zone]int)
	for _, z := range c.Zones {
		held[z.Zone] = z.Held
		for n := range z.Strong + z.Weak {
			share := z.WeakShare
			if n < z.Strong {
				share = z.StrongShare
			}
			all = append(all, hysmember.Instance{
				ID: hysmember.InstanceID(fmt.Sprint(z.Zone, "-", n)), Address: "10.0.0.1:1", Zone: z.Zone, Region: z.Region, ProcessorShare: share,
			})
		}
	}
	return all, held
}

var _ = Describe("the gatherers of a region", func() {
	var cases []gathererCase
	hyssuite.Read("gatherers.json", &cases)
	for _, c := range cases {
		It("are as wanted: "+c.Name, func() {
			all, held := c.fleet()
			g := all.Gatherers("r", held)
			Expect(g.First).To(HaveLen(c.Want.First))
			Expect(g.Reserve).To(HaveLen(c.Want.Reserve))
			for _, i := range g.First {
				Expect(c.Want.Zones).To(ContainElement(i.Zone))
			}
		})
	}

	It("change little when one instance leaves", func() {
		c := gathererCase{Zones: []gathererZone{{Zone: "a", Region: "r", Weak: 40, WeakShare: 0.2, Held: 9}}}
		all, held := c.fleet()
		before := all.Gatherers("r", held).First
		lost := before[0].ID
		var remaining hysmember.Instances
		for _, i := range all {
			if i.ID != lost {
				remaining = append(remaining, i)
			}
		}
		after := remaining.Gatherers("r", held).First
		Expect(after).To(ContainElements(before[1:]))
	})
})
