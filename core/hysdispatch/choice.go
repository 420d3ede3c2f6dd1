package hysdispatch

import (
	"slices"
	"time"
)

// slowFactor is how many times slower than the best replica a replica may be and
// still get a sub-request that could wait for a faster one.
const slowFactor = 2

// initialSlotTime is assumed as the slot time of a sub-request until the first one
// has ended, so that the first ones don't all wait for the nearest replica.
const initialSlotTime = 10 * time.Millisecond

// candidate is a replica with the expected duration of a sub-request there.
type candidate struct {
	*replica
	expectedTime time.Duration
	// faultCost is the expected cost of the replica's faults, as a time.
	faultCost time.Duration
}

type candidates []candidate

// candidates returns the replicas of the shard with their expected durations and
// costs.
func (s *shard) candidates(now time.Time) candidates {
	typical := s.typicalTime()
	all := make(candidates, 0, len(s.replicas))
	for _, r := range s.replicas {
		all = append(all, candidate{replica: r, expectedTime: r.estimateTime(now, typical), faultCost: r.reliability.cost(now)})
	}
	return all
}

// score ranks free replicas; the lowest is the best.
func (c candidate) score() float64 {
	wait := float64(len(c.active)+1) * (c.expectedTime + time.Millisecond).Seconds()
	return wait + c.faultCost.Seconds()
}

// choice is the replica for the next sub-request.
type choice struct {
	// best is the best replica that is free, nil if there is none.
	best *replica
	// heldBack is a better one that may not be sent to now because of its rate limit;
	// nil if there is none.
	heldBack *replica
}

// choose returns the best replica that is free. Replicas that are so slow that waiting
// for a faster one is better are left out.
func (s *shard) choose(now time.Time, excluded []*replica) choice {
	all := s.candidates(now)
	limit := s.maxExpectedTime(now, all)
	var best, heldBack candidate
	for _, c := range all {
		if !c.free(now) || slices.Contains(excluded, c.replica) || c.expectedTime > limit {
			continue
		}
		if c.limitMeter(now).Ready(now) {
			best = best.better(c)
		} else {
			heldBack = heldBack.better(c)
		}
	}
	if best.replica != nil && heldBack.replica != nil && best.score() <= heldBack.score() {
		heldBack = candidate{}
	}
	return choice{best: best.replica, heldBack: heldBack.replica}
}

// better returns the better one of two candidates, the first of which may be empty.
func (c candidate) better(other candidate) candidate {
	if c.replica == nil || other.score() < c.score() {
		return other
	}
	return c
}

// fastestTime returns the lowest expected duration of a sub-request at the available
// replicas that are not excluded, or 0 if there are none.
func (s *shard) fastestTime(now time.Time, excluded []*replica) time.Duration {
	best, found := time.Duration(0), false
	for _, c := range s.candidates(now) {
		if slices.Contains(excluded, c.replica) || !c.available(now) {
			continue
		}
		if !found || c.expectedTime < best {
			best, found = c.expectedTime, true
		}
	}
	return best
}

// typicalTime returns the average slot time of a sub-request.
func (s *shard) typicalTime() time.Duration {
	if s.meanTime == 0 {
		return initialSlotTime
	}
	return max(s.meanTime, time.Millisecond)
}

// maxExpectedTime returns the longest expected duration at which a replica still gets
// a sub-request: what the sub-request would take at one of the faster replicas,
// including the wait for it.
func (s *shard) maxExpectedTime(now time.Time, all candidates) time.Duration {
	fastest, typical := time.Duration(-1), s.typicalTime()
	for _, c := range all {
		if e := c.expectedTime + c.faultCost; c.available(now) && (fastest < 0 || e < fastest) {
			fastest = e
		}
	}
	limit := slowFactor * max(fastest, typical)
	slots := 0.0
	for _, c := range all {
		if c.available(now) && c.expectedTime <= limit {
			slots += c.concurrency.limit
		}
	}
	return limit + time.Duration(float64(typical)*float64(s.queue.Len())/max(slots, minConcurrency))
}
