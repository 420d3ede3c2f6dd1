package hyslimit

import "time"

// Limit is what is known of the rate limit of a searcher.
type Limit struct {
	// Limited is false if the searcher states no limit.
	Limited bool
	// Rate is the limit over all instances.
	Rate Rate
	// LearnedAt is when the response that states it arrived; zero if nothing is
	// known.
	LearnedAt time.Time
}

// Change is how the knowledge of a rate limit has changed.
type Change uint8

// The changes of a rate limit.
const (
	ChangeNone    Change = iota // none
	ChangeLearned               // learned
	ChangeChanged               // changed
	ChangeLifted                // lifted
)

// merge returns the newer one of two limits.
func (l Limit) merge(other Limit) Limit {
	if other.LearnedAt.After(l.LearnedAt) {
		return other
	}
	return l
}

// record returns the limit after a response that arrived now to a request that was
// sent at a time. A response without a limit to a request that was sent before the
// limit became known does not lift it: the searcher may have answered it before.
func (l Limit) record(now, sentAt time.Time, s Statement) Limit {
	switch s.Kind {
	case StatementLimited:
		return Limit{Limited: true, Rate: s.Rate, LearnedAt: now}
	case StatementUnlimited:
		if l.Limited && sentAt.Before(l.LearnedAt) {
			return l
		}
		return Limit{LearnedAt: now}
	default:
		return l
	}
}

// changeTo compares a limit with the one that replaces it.
func (l Limit) changeTo(next Limit) Change {
	switch {
	case !l.Limited && next.Limited:
		return ChangeLearned
	case l.Limited && !next.Limited:
		return ChangeLifted
	case next.Limited && l.Rate != next.Rate:
		return ChangeChanged
	default:
		return ChangeNone
	}
}
