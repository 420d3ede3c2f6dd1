package hysmember

import (
	"cmp"
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
