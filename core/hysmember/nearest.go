package hysmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Nearest returns the searcher of a service that an instance sends to first: the
// nearest one that does not leave. Among those that are equally far each
// instance has an order of its own, so that they share the instances.
func (m Searchers) Nearest(self InstanceID, distance func(Searcher) time.Duration) (Searcher, bool) {
	usable := slices.DeleteFunc(slices.Clone(m), func(s Searcher) bool { return s.Leaving })
	if len(usable) == 0 {
		return Searcher{}, false
	}
	own := hashID(self)
	return slices.MinFunc(usable, func(a, b Searcher) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(score(xxhash.Sum64String(string(a.ID)), own), score(xxhash.Sum64String(string(b.ID)), own)),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// ByDistance returns the instances in the order in which one of an availability
// zone asks them for news: the one that told the last ones, so that it need not
// tell everything again, then those of the zone and of the region. Those that are
// equally far come in a random order.
func (m Instances) ByDistance(zone Zone, region Region, last InstanceID) Instances {
	rank := func(i Instance) int {
		switch {
		case i.ID == last:
			return 0
		case i.Zone == zone:
			return 1
		case i.Region == region:
			return 2
		default:
			return 3
		}
	}
	order := slices.Clone(m)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}
