package hysroute_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
)

func TestRoute(t *testing.T) {
	hyssuite.Run(t, "Route")
}

func route(name, prefix string, priority hysroute.Priority, services ...hysservice.Name) *hysroute.Route {
	r := &hysroute.Route{
		Name: hysroute.Name(name), Host: "rota.example", Prefix: prefix, Timeout: time.Second, Priority: priority,
	}
	if len(services) == 1 {
		r.Branches = hysroute.Branches{{Service: services[0], Weight: 1}}
	} else {
		r.Shards = services
	}
	return r
}

func configuration() (*hysroute.Configuration, []hysroute.Skipped) {
	return hysroute.NewConfiguration(7, hysroute.Routes{
		route("sunday", "/sunday/", 2, "desk-1", "desk-2"),
		route("urgent", "/sunday/urgent/", 1, "desk-1", "desk-2"),
		route("record", "/record/", 2, "roll"),
		route("broken", "/broken/", 0),
	}, nil, hysroute.Limits{})
}

var _ = Describe("matching", func() {
	var cases []struct{ Name, Host, Path, Route string }
	hyssuite.Read("match.json", &cases)
	for _, c := range cases {
		It(c.Name, func() {
			config, _ := configuration()
			r, ok := config.Match(c.Host, c.Path)
			Expect(ok).To(Equal(c.Route != ""))
			if ok {
				Expect(r.Name).To(Equal(hysroute.Name(c.Route)))
			}
		})
	}

	It("returns the invalid routes that it left out", func() {
		_, skipped := configuration()
		Expect(skipped).To(HaveLen(1))
		Expect(skipped[0].Route).To(Equal(hysroute.Name("broken")))
		Expect(skipped[0].Err).To(MatchError(hysroute.ErrInvalid))
	})

	It("makes the more urgent half of the priorities of a service urgent", func() {
		config, _ := hysroute.NewConfiguration(7, hysroute.Routes{
			route("probe", "/probe/", 0, "desk-1"), route("urgent", "/urgent/", 1, "desk-1", "desk-2"),
			route("sunday", "/sunday/", 2, "desk-1", "desk-2"), route("record", "/record/", 2, "roll"),
		}, nil, hysroute.Limits{})
		classes := map[hysroute.Name]hysquery.Class{}
		for _, r := range config.Routes {
			classes[r.Name] = r.Class
		}
		Expect(classes).To(Equal(map[hysroute.Name]hysquery.Class{
			"probe": hysquery.ClassUrgent, "urgent": hysquery.ClassUrgent, "sunday": hysquery.ClassBulk, "record": hysquery.ClassUrgent,
		}))
	})
})

var _ = Describe("a route", func() {
	It("splits its requests by weight, over few requests too", func() {
		r := route("split", "/split/", 0)
		r.Branches = hysroute.Branches{{Service: "old", Weight: 9}, {Service: "new", Weight: 1}}
		for range 3 {
			counts := map[hysservice.Name]int{}
			for range 10 {
				counts[r.Pick()]++
			}
			Expect(counts).To(Equal(map[hysservice.Name]int{"old": 9, "new": 1}))
		}
	})

	It("detects a caller that has waited before by its shorter remaining time", func() {
		r := route("r", "/", 0)
		Expect(r.IsReturningCaller(time.Second)).To(BeFalse())
		Expect(r.IsReturningCaller(990 * time.Millisecond)).To(BeFalse())
		Expect(r.IsReturningCaller(650 * time.Millisecond)).To(BeTrue())
		Expect(r.IsReturningCaller(2 * time.Second)).To(BeFalse())
		Expect(r.IsReturningCaller(time.Second)).To(BeTrue())
	})

	DescribeTable("requires a minimum number of its shards",
		func(shards int, minimum float64, want int) {
			r := route("r", "/", 0)
			r.Shards, r.MinCoverage = make([]hysservice.Name, shards), minimum
			Expect(r.MinimumShards()).To(Equal(want))
		},
		Entry("0.89 of 10", 10, 0.89, 9),
		Entry("0.75 of 10", 10, 0.75, 8),
		Entry("0.9 of 10, without a rounding error", 10, 0.9, 9),
		Entry("0.89 of 15", 15, 0.89, 14),
		Entry("0 of 4, at least one", 4, 0.0, 1),
	)
})
