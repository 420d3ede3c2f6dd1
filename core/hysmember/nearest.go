package hysmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Nearest returns the searcher of a service to which an instance sends first:
// the nearest one that is not leaving. Each instance has its own order for
// searchers at the same distance, so that the instances spread over them. It
// returns false if all searchers are leaving or there are none.
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

// ByDistance returns the instances in the order in which an instance of the
// given zone and region asks them for updates: first the one that sent the last
// updates, which need not send the full state again, then those of the zone,
// then those of the region. Instances at the same distance are in random order.
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
