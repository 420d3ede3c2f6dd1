package hysdispatch

import (
	"time"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
)

// leavingRetention is how long the departure of a searcher is remembered after it was
// removed from the list.
const leavingRetention = 10 * time.Minute

// maxPushback bounds the pause that a searcher may ask for. One that needs a longer
// pause asks again.
const maxPushback = 5 * time.Minute

// pushback is what a searcher has asked of this instance: to send nothing until a
// time, or nothing any more because it is leaving. The first is for a searcher that
// sheds load and needs a pause to recover, the second for one that keeps serving for
// a while after it has announced that it is leaving, and closes the connections of
// what is sent too late. It takes effect immediately at this instance; membership
// informs the other instances of a leaving searcher. It applies to one incarnation of
// the searcher regardless of what the list says about it, even if the searcher is
// removed from the list and added again.
type pushback struct {
	incarnation  uint64
	backoffUntil time.Time
	leaving      bool
	// limit is the rate limit that the searcher has stated for all instances.
	limit *hyslimit.Meter
	// unlistedAt is when the searcher was removed from the list, zero while it is
	// listed.
	unlistedAt time.Time
}

// record applies what a result asks for.
func (p *pushback) record(now time.Time, result Result) {
	p.leaving = p.leaving || result.Draining || result.Fault == FaultDraining
	if until := now.Add(min(result.RetryAfter, maxPushback)); result.asksForBackoff() && until.After(p.backoffUntil) {
		p.backoffUntil = until
	}
}

// asksForBackoff reports whether the RetryAfter of a result was set by the searcher.
func (r Result) asksForBackoff() bool {
	switch r.Fault {
	case FaultShed, FaultFailed, FaultLost:
		return r.RetryAfter > 0
	default:
		return false
	}
}

// expired reports whether the pushback of a searcher that is no longer listed can be
// removed.
func (p *pushback) expired(now time.Time) bool {
	if p.leaving {
		return now.Sub(p.unlistedAt) > leavingRetention
	}
	return !now.Before(p.backoffUntil)
}

// pushbacks holds the pushback of each searcher of a service, listed or not.
type pushbacks map[hysmember.SearcherID]*pushback

// get returns the pushback of one incarnation of a searcher.
func (p pushbacks) get(id hysmember.SearcherID, incarnation uint64) *pushback {
	known, ok := p[id]
	if !ok || incarnation > known.incarnation {
		known = &pushback{incarnation: incarnation, limit: hyslimit.NewMeter()}
		p[id] = known
	}
	known.unlistedAt = time.Time{}
	return known
}

// markUnlisted records that a searcher is no longer listed.
func (p pushbacks) markUnlisted(id hysmember.SearcherID, now time.Time) {
	if known, ok := p[id]; ok && known.unlistedAt.IsZero() {
		known.unlistedAt = now
	}
}

// removeExpired removes the expired pushbacks of searchers that are not listed.
func (p pushbacks) removeExpired(now time.Time) {
	for id, known := range p {
		if !known.unlistedAt.IsZero() && known.expired(now) {
			delete(p, id)
		}
	}
}
