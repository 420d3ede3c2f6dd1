package hysdispatch

import (
	"slices"
	"time"
)

// slowFactor is how much slower than the best replica one may be to get work
// that could wait for a better one.
const slowFactor = 2

// unknownTime stands for the slot time of a sub-request until one has ended, so
// that the first ones do not all wait for the nearest replica.
const unknownTime = 10 * time.Millisecond

// candidate is a replica with how long a sub-request is likely to take there.
type candidate struct {
	*replica
	likely time.Duration
	// faults is what its share of faults costs, as a time.
	faults time.Duration
}

type candidates []candidate

// candidates are the replicas of the shard, with what each costs.
func (s *shard) candidates(now time.Time) candidates {
	usual := s.usualTime()
	all := make(candidates, 0, len(s.replicas))
	for _, r := range s.replicas {
		all = append(all, candidate{replica: r, likely: r.expected(now, usual), faults: r.reliability.cost(now)})
	}
	return all
}

// score orders free replicas; the lowest is the best.
func (c candidate) score() float64 {
	wait := float64(len(c.active)+1) * (c.likely + time.Millisecond).Seconds()
	return wait + c.faults.Seconds()
}

// best returns the best replica that is free and not so slow that waiting for
// another is better.
func (s *shard) best(now time.Time, without []*replica) *replica {
	all := s.candidates(now)
	patience := s.patience(now, all)
	var best candidate
	for _, c := range all {
		if !c.free(now) || slices.Contains(without, c.replica) || c.likely > patience {
			continue
		}
		if best.replica == nil || c.score() < best.score() {
			best = c
		}
	}
	return best.replica
}

// quickest is how long a sub-request is likely to take at the best of the other replicas
// that serve, and 0 if there is none.
func (s *shard) quickest(now time.Time, without []*replica) time.Duration {
	best, found := time.Duration(0), false
	for _, c := range s.candidates(now) {
		if slices.Contains(without, c.replica) || !c.serves(now) {
			continue
		}
		if !found || c.likely < best {
			best, found = c.likely, true
		}
	}
	return best
}

// usualTime is the average slot time of a sub-request.
func (s *shard) usualTime() time.Duration {
	if s.mean == 0 {
		return unknownTime
	}
	return max(s.mean, time.Millisecond)
}

// patience is how long a sub-request would take at the better replicas, the
// wait for them included.
func (s *shard) patience(now time.Time, all candidates) time.Duration {
	fastest, usual := time.Duration(-1), s.usualTime()
	for _, c := range all {
		if e := c.likely + c.faults; c.serves(now) && (fastest < 0 || e < fastest) {
			fastest = e
		}
	}
	limit := slowFactor * max(fastest, usual)
	slots := 0.0
	for _, c := range all {
		if c.serves(now) && c.likely <= limit {
			slots += c.concurrency.limit
		}
	}
	return limit + time.Duration(float64(usual)*float64(s.queue.Len())/max(slots, minConcurrency))
}
