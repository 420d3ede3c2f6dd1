package hysgather_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
)

var _ = Describe("the instances that run what another one can't", func() {
	var now time.Time
	var relays *hysgather.Relays
	self := hysmember.Instance{ID: "self", Zone: "a", Region: "r"}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		relays = hysgather.NewRelays(func() time.Time { return now })
	})

	// instances returns instances of a zone and a region.
	instances := func(zone hysmember.Zone, region hysmember.Region, shares ...float64) hysmember.Instances {
		var all hysmember.Instances
		for n, share := range shares {
			all = append(all, hysmember.Instance{
				ID: hysmember.InstanceID(fmt.Sprint(zone, "-", n)), Address: "10.0.0.1:1", Zone: zone, Region: region, ProcessorShare: share,
			})
		}
		return all
	}

	// picks counts the instances picked for a service.
	picks := func(count int) map[hysmember.InstanceID]int {
		counts := make(map[hysmember.InstanceID]int)
		for range count {
			if i, ok := relays.Pick("desk", nil); ok {
				counts[i.ID]++
			}
		}
		return counts
	}

	It("are those of the own zone first, then of the region, then others, and never itself", func() {
		all := append(append(instances("a", "r", 1), instances("b", "r", 1)...), instances("c", "s", 1)...)
		relays.SetInstances(self, append(all, self))
		var asked hysmember.Instances
		for _, want := range []hysmember.InstanceID{"a-0", "b-0", "c-0"} {
			i, ok := relays.Pick("desk", asked)
			Expect(ok).To(BeTrue())
			Expect(i.ID).To(Equal(want))
			asked = append(asked, i)
		}
		_, ok := relays.Pick("desk", asked)
		Expect(ok).To(BeFalse())
	})

	It("share the load by their processor shares", func() {
		relays.SetInstances(self, instances("a", "r", 0.8, 0.2, 0.2))
		counts := picks(3000)
		Expect(counts["a-0"]).To(BeNumerically("~", 2000, 150))
		Expect(counts["a-1"]).To(BeNumerically("~", 500, 100))
	})

	It("leave out one that declines, for longer each time, until it has answered", func() {
		relays.SetInstances(self, append(instances("a", "r", 1), instances("b", "r", 1)...))
		backoff := func() time.Duration {
			began := now
			relays.Record("a-0", "", hysgather.DelegationDeclined, 500*time.Millisecond)
			for picks(1)["a-0"] == 0 {
				now = now.Add(10 * time.Millisecond)
			}
			return now.Sub(began)
		}
		Expect(backoff()).To(Equal(500 * time.Millisecond))
		Expect(backoff()).To(Equal(time.Second))
		Expect(backoff()).To(Equal(2 * time.Second))
		Expect(backoff()).To(Equal(3 * time.Second))
		relays.Record("a-0", "", hysgather.DelegationAnswered, 0)
		Expect(backoff()).To(Equal(500 * time.Millisecond))
	})

	It("leave out one that lacks a service only for that service", func() {
		relays.SetInstances(self, instances("a", "r", 1))
		relays.Record("a-0", "desk", hysgather.DelegationDeclined, 500*time.Millisecond)
		relays.Pick("desk", nil)
		Expect(picks(10)).To(BeEmpty())
		_, ok := relays.Pick("ledger", nil)
		Expect(ok).To(BeTrue())
	})

	It("are asked now and then though all of them back off, since they may be back", func() {
		relays.SetInstances(self, instances("a", "r", 1, 1, 1))
		for _, id := range []hysmember.InstanceID{"a-0", "a-1", "a-2"} {
			relays.Record(id, "", hysgather.DelegationDeclined, 10*time.Second)
		}
		picked := 0
		for range 100 {
			for range 5 {
				if _, ok := relays.Pick("desk", nil); ok {
					picked++
				}
			}
			now = now.Add(10 * time.Millisecond)
		}
		Expect(picked).To(Equal(4))
	})

	It("count several failures at the same time as one", func() {
		relays.SetInstances(self, instances("a", "r", 1))
		for range 20 {
			relays.Record("a-0", "", hysgather.DelegationSilent, 0)
		}
		now = now.Add(260 * time.Millisecond)
		Expect(picks(1)).To(HaveLen(1))
	})

	// Guards against an instance that is forgotten though it lives, since a list lacks it:
	// review/3.
	It("are remembered when a list lacks them, after those that are listed", func() {
		relays.SetInstances(self, append(instances("a", "r", 1), instances("b", "r", 1)...))
		relays.SetInstances(self, instances("b", "r", 1))
		Expect(picks(20)).To(HaveLen(1))
		relays.Record("b-0", "", hysgather.DelegationDeclined, time.Hour)
		Expect(picks(1)).To(HaveKey(hysmember.InstanceID("a-0")))
		relays.SetInstances(self, nil)
		Expect(picks(20)).To(HaveKey(hysmember.InstanceID("a-0")))
		relays.Record("a-0", "", hysgather.DelegationRefused, 0)
		now = now.Add(time.Minute)
		Expect(picks(20)).To(Equal(map[hysmember.InstanceID]int{"b-0": 20}), "nothing listens at the other one")
	})

	It("are remembered in a bounded number, and not beside their listed selves", func() {
		for n := range 300 {
			relays.SetInstances(self, hysmember.Instances{{ID: hysmember.InstanceID(fmt.Sprint(n)), Address: "10.0.0.1:1", Zone: "a", Region: "r"}})
		}
		relays.SetInstances(self, nil)
		Expect(len(picks(20000))).To(Equal(64))
		relays.SetInstances(self, hysmember.Instances{{ID: "299", Address: "10.0.0.1:1", Zone: "a", Region: "r"}})
		Expect(picks(50)).To(Equal(map[hysmember.InstanceID]int{"299": 50}))
	})
})
