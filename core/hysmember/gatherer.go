package hysmember

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rules of who gathers.
const (
	// aloneMembers is how many instances of a region gather for themselves:
	// each of them gets enough queries.
	aloneMembers = 8
	// minGatherers is how many gather at least, so that one may be lost.
	minGatherers = 2
	// strongPart is the part of the greatest processor share of a region that an
	// instance must have to gather.
	strongPart = 0.5
	// heldPart is the part of the most searchers in a zone of the region that a
	// zone must have to be preferred.
	heldPart = 0.5
)

// gathererKey orders the instances that may gather.
const gathererKey = "gatherer"

// Gatherers are the instances that gather the queries of their region for all
// others of it.
//
// They answer the load of many instances that each get a query now and then: with
// a query every few seconds an instance knows no latencies, its connections have
// expired, and its share of what all may use together is too small to hedge with.
// Few that get all queries of a region know, have and may more, and their parts
// stay in the zones of the searchers. Nothing is agreed on: who gathers follows
// from the list, and an instance with another list hands a query to one that can
// answer it as well.
type Gatherers struct {
	// First are asked first, Reserve if none of them answers.
	First   Instances
	Reserve Instances
}

// Includes reports whether an instance gathers itself.
func (g Gatherers) Includes(id InstanceID) bool {
	return slices.ContainsFunc(g.First, func(i Instance) bool { return i.ID == id })
}

// Gatherers returns those of a region, where zones hold numbers of the searchers
// of queries. They are the strongest, in the zones of the searchers, and the
// square root of all members; where members are few each gathers for itself.
func (m Instances) Gatherers(region Region, held map[Zone]int) Gatherers {
	var members Instances
	for _, i := range m {
		if i.Region == region && i.Address != "" {
			members = append(members, i)
		}
	}
	if len(members) <= aloneMembers {
		return Gatherers{First: members}
	}
	count := max(minGatherers, int(math.Ceil(math.Sqrt(float64(len(members))))))
	strong := members.strong()
	near := strong.inZonesOfMost(held)
	if len(near) < minGatherers {
		near = strong
	}
	g := Gatherers{First: near.ordered()}
	g.First = g.First[:min(count, len(g.First))]
	for _, i := range strong.ordered() {
		if !g.Includes(i.ID) && len(g.Reserve) < count {
			g.Reserve = append(g.Reserve, i)
		}
	}
	return g
}

// strong are the instances with a large processor share.
func (m Instances) strong() Instances {
	greatest := 0.0
	for _, i := range m {
		greatest = max(greatest, i.ProcessorShare)
	}
	return slices.DeleteFunc(slices.Clone(m), func(i Instance) bool { return i.ProcessorShare < strongPart*greatest })
}

// inZonesOfMost are the instances in the zones that hold the most.
func (m Instances) inZonesOfMost(held map[Zone]int) Instances {
	most := 0
	for _, i := range m {
		most = max(most, held[i.Zone])
	}
	return slices.DeleteFunc(slices.Clone(m), func(i Instance) bool { return float64(held[i.Zone]) < heldPart*float64(most) })
}

// ordered is the order in which instances are taken as gatherers.
func (m Instances) ordered() Instances {
	key := xxhash.Sum64String(gathererKey)
	order := slices.Clone(m)
	slices.SortFunc(order, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(b.ProcessorShare, a.ProcessorShare),
			cmp.Compare(score(hashID(b.ID), key), score(hashID(a.ID), key)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return order
}
