package hysmember

import (
	"cmp"
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
