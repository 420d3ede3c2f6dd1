package hysmember_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
)

// zoneOf returns instances of one availability zone.
func zoneOf(zone hysmember.Zone, count int) hysmember.Instances {
	var all hysmember.Instances
	for i := range count {
		id := hysmember.InstanceID(fmt.Sprint(zone, "-", i))
		all = append(all, hysmember.Instance{ID: id, Zone: zone, Region: "r"})
	}
	return all
}

// followers counts the followers of each reader.
func followers(all hysmember.Instances) map[hysmember.InstanceID]int {
	counts := make(map[hysmember.InstanceID]int)
	for _, i := range all {
		if reader, ok := all.Reader(i.ID); ok {
			counts[reader.ID]++
			Expect(reader.Zone).To(Equal(i.Zone))
			_, follows := all.Reader(reader.ID)
			Expect(follows).To(BeFalse(), "a reader follows nobody")
		}
	}
	return counts
}

var _ = Describe("the readers of the store", func() {
	DescribeTable("are few, and none serves many",
		func(count, readers, most int) {
			counts := followers(zoneOf("z", count))
			Expect(counts).To(HaveLen(readers))
			for _, c := range counts {
				Expect(c).To(BeNumerically("<=", most))
			}
		},
		Entry("a single instance", 1, 0, 0),
		Entry("two", 2, 1, 1),
		Entry("a zone of twelve", 12, 1, 11),
		Entry("a reader's share", 32, 1, 31),
		Entry("one more than a reader's share", 33, 2, 16),
		Entry("a zone of the target size", 336, 11, 30),
	)

	It("are in the availability zone of their followers", func() {
		all := append(zoneOf("y", 5), zoneOf("z", 7)...)
		Expect(followers(all)).To(HaveLen(2))
	})

	It("do not exist for an instance that is not listed", func() {
		_, ok := zoneOf("z", 4).Reader("z-9")
		Expect(ok).To(BeFalse())
	})

	It("stay when an instance of another availability zone leaves", func() {
		all := append(zoneOf("y", 5), zoneOf("z", 7)...)
		before := followers(all)
		Expect(followers(all[1:])).To(HaveLen(len(before)))
		for _, i := range zoneOf("z", 7) {
			was, _ := all.Reader(i.ID)
			is, _ := all[1:].Reader(i.ID)
			Expect(is).To(Equal(was))
		}
	})
})
