package hysmember_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
)

// searchScript is a number of instances, of which the store serves only some.
type searchScript struct {
	Name           string `json:"name"`
	Regions        int    `json:"regions"`
	ZonesPerRegion int    `json:"zones-per-region"`
	PerZone        int    `json:"per-zone"`
	// RefusedZones is how many zones the store refuses, RefusedPerZone how many
	// instances of each other zone.
	RefusedZones   int `json:"refused-zones"`
	RefusedPerZone int `json:"refused-per-zone"`
	// WithinMS is the time within which all instances must have a change.
	WithinMS int `json:"within-ms"`
}

// member is an instance of a script. It has a change or not.
type member struct {
	instance hysmember.Instance
	sources  *hysmember.Sources
	has      bool
	nextAt   time.Time
	asks     int
}

// members returns the instances of a script, those that the store serves with the change.
func (c searchScript) members(now func() time.Time) ([]*member, hysmember.Instances) {
	var all []*member
	var listed hysmember.Instances
	for zone := range c.Regions * c.ZonesPerRegion {
		for n := range c.PerZone {
			i := hysmember.Instance{
				ID: hysmember.InstanceID(fmt.Sprint(zone, "-", n)), Address: "a",
				Zone: hysmember.Zone(fmt.Sprint(zone)), Region: hysmember.Region(fmt.Sprint(zone / c.ZonesPerRegion)),
			}
			refused := zone < c.RefusedZones || n < c.RefusedPerZone
			all = append(all, &member{instance: i, sources: hysmember.NewSources(i, now), has: !refused, nextAt: now()})
			listed = append(listed, i)
		}
	}
	return all, listed
}

// round lets an instance ask once. It takes over what the first candidate has that has it.
func (m *member) round(byID map[hysmember.InstanceID]*member, listed hysmember.Instances, now time.Time) {
	for _, i := range m.sources.Candidates(listed) {
		m.asks++
		if byID[i.ID].has {
			m.has = true
			m.sources.Adopt(i.ID)
			return
		}
		m.sources.Reject(i.ID)
	}
	m.nextAt = now.Add(m.sources.Delay())
}

// play lets the instances search for a time. It returns when the last one had the change.
func play(all []*member, listed hysmember.Instances, clock *time.Time, span time.Duration) time.Duration {
	byID := make(map[hysmember.InstanceID]*member, len(all))
	for _, m := range all {
		byID[m.instance.ID] = m
	}
	const step = 10 * time.Millisecond
	began := *clock
	for clock.Sub(began) < span {
		missing := 0
		for _, m := range all {
			if !m.has && !clock.Before(m.nextAt) {
				m.round(byID, listed, *clock)
			}
			if !m.has {
				missing++
			}
		}
		if missing == 0 {
			return clock.Sub(began)
		}
		*clock = clock.Add(step)
	}
	return span
}

var _ = Describe("the search for an instance that has what the store refuses", func() {
	var scripts []searchScript
	hyssuite.Read("sources.json", &scripts)
	for _, c := range scripts {
		It("ends in time: "+c.Name, func() {
			clock := time.Unix(1000, 0)
			all, listed := c.members(func() time.Time { return clock })
			within := time.Duration(c.WithinMS) * time.Millisecond
			Expect(play(all, listed, &clock, 10*within)).To(BeNumerically("<=", within))
		})
	}

	It("asks few instances while nobody has anything newer", func() {
		clock := time.Unix(1000, 0)
		c := searchScript{Regions: 2, ZonesPerRegion: 2, PerZone: 10, RefusedZones: 4}
		all, listed := c.members(func() time.Time { return clock })
		const span = 11 * time.Second
		play(all, listed, &clock, span)
		for _, m := range all {
			// Three a round: ten rounds in the first second, then five in two.
			Expect(m.asks).To(BeNumerically("<=", 3*(11+26)))
		}
	})

	It("asks each instance before it asks one again", func() {
		clock := time.Unix(1000, 0)
		c := searchScript{Regions: 2, ZonesPerRegion: 2, PerZone: 5, RefusedZones: 4}
		all, listed := c.members(func() time.Time { return clock })
		s := all[0].sources
		asked := make(map[hysmember.InstanceID]bool)
		for range 7 {
			clock = clock.Add(time.Millisecond)
			for _, i := range s.Candidates(listed) {
				asked[i.ID] = true
				s.Reject(i.ID)
			}
		}
		Expect(asked).To(HaveLen(19))
		Expect(asked).NotTo(HaveKey(all[0].instance.ID))
	})
})

var _ = Describe("the source in use", func() {
	peers := hysmember.Instances{{ID: "a", Address: "x", Zone: "z"}, {ID: "b", Address: "y", Zone: "z"}, {ID: "silent", Zone: "z"}}
	var s *hysmember.Sources

	BeforeEach(func() {
		s = hysmember.NewSources(hysmember.Instance{ID: "self", Zone: "z"}, time.Now)
		Expect(s.Adopt("a")).To(BeTrue())
	})

	It("stays until it is rejected", func() {
		Expect(s.Adopt("a")).To(BeFalse(), "the same one")
		s.Reject("b")
		i, ok := s.Current(peers)
		Expect(ok).To(BeTrue())
		Expect(i.ID).To(BeEquivalentTo("a"))
		s.Reject("a")
		_, ok = s.Current(peers)
		Expect(ok).To(BeFalse())
		Expect(s.AdoptedAt()).To(BeZero())
	})

	It("is none once it is no longer listed, or none is needed", func() {
		_, ok := s.Current(peers[1:])
		Expect(ok).To(BeFalse())
		Expect(s.AdoptedAt()).To(BeZero(), "no longer listed")
		s.Adopt("a")
		s.Release()
		Expect(s.AdoptedAt()).To(BeZero())
	})

	It("is never one without an address", func() {
		for _, i := range s.Candidates(peers) {
			Expect(i.Address).NotTo(BeEmpty())
		}
	})
})
