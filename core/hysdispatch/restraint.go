package hysdispatch

import (
	"time"

	"hyssopshore/core/hysmember"
)

// leavingMemory is how long a searcher that has said that it is leaving is
// remembered after it was taken from the list.
const leavingMemory = 10 * time.Minute

// longestRest bounds what a searcher may ask for: one that means it longer says so
// again.
const longestRest = 5 * time.Minute

// restraint is what a searcher has asked of this instance: to send nothing until
// a time, or nothing any more since it is leaving. It answers two loads: a
// searcher that turns requests away and needs rest to recover, and one that
// serves on for a while after it has said that it leaves, which ends what is
// sent too late. It holds at once, here; that others learn of a searcher that leaves
// is up to the membership. It holds for one start of the searcher whatever the list says
// of it meanwhile, also if the searcher is dropped from the list and comes back.
type restraint struct {
	incarnation uint64
	quietUntil  time.Time
	leaving     bool
	// droppedAt is when the searcher was taken from the list, zero while it is
	// on it.
	droppedAt time.Time
}

// note takes over what a result asks for.
func (r *restraint) note(now time.Time, result Result) {
	r.leaving = r.leaving || result.Draining || result.Fault == FaultDraining
	if until := now.Add(min(result.RetryAfter, longestRest)); result.asksForRest() && until.After(r.quietUntil) {
		r.quietUntil = until
	}
}

// asksForRest reports whether the time to return of a result is the searcher's.
func (r Result) asksForRest() bool {
	switch r.Fault {
	case FaultShed, FaultFailed, FaultLost:
		return r.RetryAfter > 0
	default:
		return false
	}
}

// over reports whether a searcher that is no longer listed need not be
// remembered.
func (r *restraint) over(now time.Time) bool {
	if r.leaving {
		return now.Sub(r.droppedAt) > leavingMemory
	}
	return !now.Before(r.quietUntil)
}

// restraints are those of a service's searchers, listed or not.
type restraints map[hysmember.SearcherID]*restraint

// of returns the restraint of one start of a searcher.
func (m restraints) of(id hysmember.SearcherID, incarnation uint64) *restraint {
	known, ok := m[id]
	if !ok || incarnation > known.incarnation {
		known = &restraint{incarnation: incarnation}
		m[id] = known
	}
	known.droppedAt = time.Time{}
	return known
}

// drop notes that a searcher is no longer listed.
func (m restraints) drop(id hysmember.SearcherID, now time.Time) {
	if known, ok := m[id]; ok && known.droppedAt.IsZero() {
		known.droppedAt = now
	}
}

// forget drops what is over.
func (m restraints) forget(now time.Time) {
	for id, known := range m {
		if !known.droppedAt.IsZero() && known.over(now) {
			delete(m, id)
		}
	}
}
