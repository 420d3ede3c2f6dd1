package hysgather

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// Rests of a gatherer after it has not taken a query.
const (
	// silentRest is that of one that did not answer.
	silentRest = 3 * time.Second
	// minDeclinedRest and maxDeclinedRest bound that of one that has said when to
	// ask again.
	minDeclinedRest = 100 * time.Millisecond
	maxDeclinedRest = 20 * time.Second
)

// maxDelegates is how many gatherers are asked for one query, before the instance
// gathers itself.
const maxDelegates = 2

//go:generate go tool stringer -type=DelegationEnd -linecomment -output=enum_string.go

// DelegationEnd is how a query that was handed to a gatherer has ended.
type DelegationEnd uint8

// The ends of a delegation.
const (
	DelegationAnswered DelegationEnd = iota // answered
	// DelegationDeclined is one that the gatherer has not taken.
	DelegationDeclined // declined
	// DelegationRefused is a gatherer that nothing listens for.
	DelegationRefused // refused
	// DelegationSilent is a gatherer that has not said whether it takes the query.
	DelegationSilent // silent
	// DelegationLost is a gatherer that has taken the query and gives no answer.
	DelegationLost // lost
)

// NotRun reports whether the gatherer certainly has run nothing.
func (e DelegationEnd) NotRun() bool {
	return e == DelegationDeclined || e == DelegationRefused
}

// Delegates tells which gatherers an instance hands its queries to. It answers the
// load of gatherers that are lost, frozen or full: each costs one query the time
// in which it should have accepted, and the next queries go elsewhere. It is safe
// for concurrent use.
type Delegates struct {
	mu      sync.Mutex
	now     func() time.Time
	resting map[hysmember.InstanceID]time.Time
}

// NewDelegates returns delegates that are all asked.
func NewDelegates(now func() time.Time) *Delegates {
	return &Delegates{now: now, resting: make(map[hysmember.InstanceID]time.Time)}
}

// Pick returns the gatherers to ask for a query, in their order. It is empty if
// the instance is to gather itself.
func (d *Delegates) Pick(self hysmember.InstanceID, g hysmember.Gatherers) hysmember.Instances {
	if g.Includes(self) {
		return nil
	}
	var picked hysmember.Instances
	for _, tier := range []hysmember.Instances{g.First, g.Reserve} {
		picked = append(picked, d.awake(self, tier)...)
	}
	return picked[:min(len(picked), maxDelegates)]
}

// awake are the instances that don't rest, in a random order so that they share
// the queries.
func (d *Delegates) awake(self hysmember.InstanceID, tier hysmember.Instances) hysmember.Instances {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	maps.DeleteFunc(d.resting, func(_ hysmember.InstanceID, until time.Time) bool { return !now.Before(until) })
	awake := make(hysmember.Instances, 0, len(tier))
	for _, i := range tier {
		if _, rests := d.resting[i.ID]; !rests && i.ID != self {
			awake = append(awake, i)
		}
	}
	rand.Shuffle(len(awake), func(i, j int) { awake[i], awake[j] = awake[j], awake[i] })
	return awake
}

// Record takes over how a query that was handed to a gatherer has ended. One that has
// declined has said for how long it takes nothing.
func (d *Delegates) Record(id hysmember.InstanceID, e DelegationEnd, declined time.Duration) {
	span := silentRest
	switch e {
	case DelegationAnswered:
		return
	case DelegationDeclined:
		span = min(max(declined, minDeclinedRest), maxDeclinedRest)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resting[id] = d.now().Add(span)
}
