package hysmember

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Selection of gatherers.
const (
	// maxSelfGathering is the largest number of instances in a region that each
	// gather their own queries, because each of them gets enough queries.
	maxSelfGathering = 8
	// minGatherers is the least number of gatherers, so that one may be lost.
	minGatherers = 2
	// minProcessorRatio is the ratio to the largest processor share in a region
	// that an instance must have to gather.
	minProcessorRatio = 0.5
	// minSearcherRatio is the ratio to the largest number of searchers in a
	// zone of the region that a zone must have to be preferred.
	minSearcherRatio = 0.5
)

// gathererKey is the key by which instances with equal processor shares are
// ordered.
const gathererKey = "gatherer"

// Gatherers are the instances that gather the queries of their region for all
// other instances of it.
//
// They are made for a load of many instances that each get a query now and
// then. With a query every few seconds an instance knows no latencies, its
// connections have expired, and its share of the common retry budget is too
// small for hedging. A few instances that get all queries of a region have
// current latencies, open connections and enough budget, and their sub-requests
// stay in the zones of the searchers. The gatherers are derived from the list,
// so no agreement is needed: an instance with another list delegates a query to
// an instance that can answer it as well.
type Gatherers struct {
	// First are tried first, Reserve if none of them answers.
	First   Instances
	Reserve Instances
}

// Includes reports whether an instance gathers queries itself.
func (g Gatherers) Includes(id InstanceID) bool {
	return g.First.Contains(id)
}

// Gatherers returns the gatherers of a region; searchers is how many searchers
// in each zone answer queries. The gatherers are the instances with the largest
// processor shares in the zones of the searchers; their number is the square
// root of the number of instances in the region. In a region of few instances
// each one gathers its own queries.
func (m Instances) Gatherers(region Region, searchers map[Zone]int) Gatherers {
	var members Instances
	for _, i := range m {
		if i.Region == region && i.Address != "" {
			members = append(members, i)
		}
	}
	if len(members) <= maxSelfGathering {
		return Gatherers{First: members}
	}
	count := max(minGatherers, int(math.Ceil(math.Sqrt(float64(len(members))))))
	strong := members.Strong()
	near := strong.inSearcherZones(searchers)
	if len(near) < minGatherers {
		near = strong
	}
	g := Gatherers{First: near.inGathererOrder()}
	g.First = g.First[:min(count, len(g.First))]
	for _, i := range strong.inGathererOrder() {
		if !g.Includes(i.ID) && len(g.Reserve) < count {
			g.Reserve = append(g.Reserve, i)
		}
	}
	return g
}

// Strong returns the instances with a large processor share.
func (m Instances) Strong() Instances {
	greatest := 0.0
	for _, i := range m {
		greatest = max(greatest, i.ProcessorShare)
	}
	return slices.DeleteFunc(slices.Clone(m), func(i Instance) bool { return i.ProcessorShare < minProcessorRatio*greatest })
}

// inSearcherZones returns the instances in the zones with the most searchers.
func (m Instances) inSearcherZones(searchers map[Zone]int) Instances {
	most := 0
	for _, i := range m {
		most = max(most, searchers[i.Zone])
	}
	return slices.DeleteFunc(slices.Clone(m), func(i Instance) bool { return float64(searchers[i.Zone]) < minSearcherRatio*float64(most) })
}

// inGathererOrder returns the instances in the order in which they are
// selected.
func (m Instances) inGathererOrder() Instances {
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
