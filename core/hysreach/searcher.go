package hysreach

import (
	"sync/atomic"
	"time"

	"hyssopshore/core/hysmember"
)

// Target is a searcher that can be probed.
type Target struct {
	Searcher hysmember.Searcher
	// Incarnation is higher after each start of the searcher.
	Incarnation uint64
	// Distance is the shortest time that a request to the searcher can take.
	Distance time.Duration
}

// Targets is a list of targets.
type Targets []Target

// searcher is what is known of the reach of one searcher.
type searcher struct {
	Target
	service *service
	// heardAt is when the searcher last gave a sign of life, on the tracker's clock.
	heardAt atomic.Int64
	// unreachableSince is zero while the searcher counts as reachable.
	unreachableSince time.Time
	evidence         Evidence
	probing          bool
	probedAt         time.Time
	// probeInterval is the time until the next probe of an unreachable searcher.
	probeInterval time.Duration
}

func (s *searcher) unreachable() bool { return !s.unreachableSince.IsZero() }

// sameStart reports whether a target is the same start of the searcher at the same
// address.
func (s *searcher) sameStart(t Target) bool {
	return s.Searcher.Address == t.Searcher.Address && s.Incarnation == t.Incarnation
}
