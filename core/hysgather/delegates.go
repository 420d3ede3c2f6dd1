package hysgather

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// Backoff of a gatherer that did not accept a delegated query.
const (
	// silentBackoff is for a gatherer that did not reply.
	silentBackoff = 3 * time.Second
	// minDeclinedBackoff and maxDeclinedBackoff bound the backoff of a gatherer
	// that declined and said when to ask again.
	minDeclinedBackoff = 100 * time.Millisecond
	maxDeclinedBackoff = 20 * time.Second
)

// maxDelegates is how many gatherers are tried for one query before the
// instance gathers it itself.
const maxDelegates = 2

//go:generate go tool stringer -type=DelegationEnd -linecomment -output=enum_string.go

// DelegationEnd is how the delegation of a query to a gatherer ended.
type DelegationEnd uint8

// The ways in which a delegation ends.
const (
	DelegationAnswered DelegationEnd = iota // answered
	// DelegationDeclined means that the gatherer did not accept the query.
	DelegationDeclined // declined
	// DelegationRefused means that nothing listens at the gatherer's address.
	DelegationRefused // refused
	// DelegationSilent means that the gatherer did not say whether it accepts
	// the query.
	DelegationSilent // silent
	// DelegationLost means that the gatherer accepted the query but gave no
	// answer.
	DelegationLost // lost
	// DelegationNotUnderstood means that the query could not be put into a message, or that
	// a gatherer of another build can't read it. It is no sign of the gatherer's state.
	DelegationNotUnderstood // not-understood
)

// NotRun reports whether the gatherer certainly ran nothing of the query.
func (e DelegationEnd) NotRun() bool {
	return e == DelegationDeclined || e == DelegationRefused || e == DelegationNotUnderstood
}

// Delegates selects the gatherers to which an instance delegates its queries.
// It limits the cost of gatherers that are lost, frozen or full: each delays
// one query by the time within which it should have accepted, and the next
// queries go to other gatherers. It is safe for concurrent use.
type Delegates struct {
	mu           sync.Mutex
	now          func() time.Time
	backoffUntil map[hysmember.InstanceID]time.Time
}

// NewDelegates returns a Delegates with no gatherer in backoff.
func NewDelegates(now func() time.Time) *Delegates {
	return &Delegates{now: now, backoffUntil: make(map[hysmember.InstanceID]time.Time)}
}

// Pick returns the gatherers to try for a query, in order. It is empty if the
// instance is to gather the query itself.
func (d *Delegates) Pick(self hysmember.InstanceID, g hysmember.Gatherers) hysmember.Instances {
	if g.Includes(self) {
		return nil
	}
	picked := d.Candidates(self, g)
	return picked[:min(len(picked), maxDelegates)]
}

// Candidates returns all gatherers other than self that are not backing off, in the
// order in which they are tried.
func (d *Delegates) Candidates(self hysmember.InstanceID, g hysmember.Gatherers) hysmember.Instances {
	var all hysmember.Instances
	for _, tier := range []hysmember.Instances{g.First, g.Reserve} {
		all = append(all, d.available(self, tier)...)
	}
	return all
}

// available returns the instances of a tier that are not backing off, in random
// order so that they share the queries.
func (d *Delegates) available(self hysmember.InstanceID, tier hysmember.Instances) hysmember.Instances {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	maps.DeleteFunc(d.backoffUntil, func(_ hysmember.InstanceID, until time.Time) bool { return !now.Before(until) })
	candidates := make(hysmember.Instances, 0, len(tier))
	for _, i := range tier {
		if _, backingOff := d.backoffUntil[i.ID]; !backingOff && i.ID != self {
			candidates = append(candidates, i)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// Record records how a delegation to a gatherer ended. retryAfter is for how
// long a gatherer that declined says that it accepts nothing; it is ignored for
// other ends.
func (d *Delegates) Record(id hysmember.InstanceID, e DelegationEnd, retryAfter time.Duration) {
	span := silentBackoff
	switch e {
	case DelegationAnswered, DelegationNotUnderstood:
		return
	case DelegationDeclined:
		span = min(max(retryAfter, minDeclinedBackoff), maxDeclinedBackoff)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffUntil[id] = d.now().Add(span)
}
