package hysmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Standby returns the searchers of a service that an instance keeps a
// connection to before it has anything for them: the nearest ones. Among those
// that are equally far each instance has an order of its own, so that no
// searcher gets the connections of all instances.
//
// With many instances and shards each instance sends so little to one searcher
// that its connections time out in between. A hedge to a searcher in another
// region would then wait a round trip and a handshake more.
func (m Searchers) Standby(self InstanceID, count int, distance func(Searcher) time.Duration) Searchers {
	usable := slices.DeleteFunc(slices.Clone(m), func(s Searcher) bool { return s.Leaving })
	own := xxhash.Sum64String(string(self))
	slices.SortFunc(usable, func(a, b Searcher) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(score(xxhash.Sum64String(string(a.ID)), own), score(xxhash.Sum64String(string(b.ID)), own)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return usable[:min(count, len(usable))]
}
