package hysdispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
)

// Refusal of sub-requests depends on the expected wait as a fraction of the time in
// which the reply is still useful. Refusal begins at refusalStartFraction. From a
// second fraction on, every sub-request is refused, because too little time would be
// left for the sends themselves; that fraction depends on the average send and is
// kept within the two bounds.
const (
	refusalStartFraction   = 0.2
	minFullRefusalFraction = 0.3
	maxFullRefusalFraction = 0.6
	// slowestShardFactor is how many times the average send the slowest shard of a
	// query takes.
	slowestShardFactor = 2
)

// For callers that were refused before, refusal begins, and becomes complete, at
// waits that are these fractions of the time left until the deadline.
const (
	returningStartFraction = 0.5
	returningFullFraction  = 1.0
)

// A refused caller is asked to retry within retryAfterFraction of its remaining time.
// retryAfterSpread is the fraction of that time over which the retries are spread.
const (
	retryAfterFraction = 1.0 / 3
	retryAfterSpread   = 0.5
)

// waitTimeConstant is the time constant of the smoothed wait.
const waitTimeConstant = 100 * time.Millisecond

// smoothedWaitTTL is how long a smoothed wait is kept without an update.
const smoothedWaitTTL = time.Second

// waitKey identifies the items of a shard's queue that share a smoothed wait.
type waitKey struct {
	group hysgroup.Name
	class hysquery.Class
	// late items are queued behind the others.
	late bool
}

// smoothedWait is the exponentially smoothed wait of one waitKey.
type smoothedWait struct {
	wait    time.Duration
	updated time.Time
}

type smoothedWaits map[waitKey]smoothedWait

// update adds an estimate and returns the smoothed wait.
func (s smoothedWaits) update(key waitKey, now time.Time, wait time.Duration) time.Duration {
	known, ok := s[key]
	if !ok {
		s.expire(now)
		known = smoothedWait{updated: now}
	}
	weight := math.Exp(-now.Sub(known.updated).Seconds() / waitTimeConstant.Seconds())
	known.wait = wait + time.Duration(weight*float64(known.wait-wait))
	known.updated = now
	s[key] = known
	return known.wait
}

func (s smoothedWaits) expire(now time.Time) {
	for key, known := range s {
		if now.Sub(known.updated) > smoothedWaitTTL {
			delete(s, key)
		}
	}
}

// refusal returns the final reply to a sub-request that is refused, and true, or
// false if the sub-request may be queued. A sub-request is refused if it can't be run
// in time or if the queue of its group is too long.
func (c *call) refusal() (SubReply, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shards[c.key()]
	if !ok || !s.hasReplica() {
		return notRunReply(c.sub, hysquery.ShardUnavailable, "no searcher holds the shard", unavailableRetryAfter), true
	}
	if !s.reachable() {
		return UnreachableReply(c.sub), true
	}
	if !c.dispatcher.admit {
		return SubReply{}, false
	}
	now := t.now()
	if s.untested(now) {
		return SubReply{}, false
	}
	if backoff := s.backoff(now); backoff > c.sub.usefulTime(now) {
		return c.refuse(s, now, 0, "no searcher of the shard may be sent to for now", backoff), true
	}
	wait := s.expectedWait(now, c.item(s, nil))
	if c.dispatcher.stop.before(now.Add(wait)) {
		return stopRefusal(c.sub, s.queueState(now, wait)), true
	}
	if now.Add(wait+s.meanTime).After(c.sub.Deadline) || s.limited() && wait > c.sub.usefulTime(now) {
		return c.refuse(s, now, wait, "the queue is longer than the deadline", max(wait, minRetryAfter)), true
	}
	if c.sub.Admitted {
		return SubReply{}, false
	}
	smoothed := s.smoothedWaits.update(c.sub.waitKey(), now, wait)
	if fraction := c.sub.admittedFraction(now, smoothed, s.meanTime); c.sub.refusable() && c.sub.admissionRank() > fraction {
		return c.refuse(s, now, smoothed, "the group's queue is too long", c.sub.retryAfter(now, smoothed, fraction)), true
	}
	return SubReply{}, false
}

// refuse returns the reply to a sub-request that is refused at an expected wait. The
// caller holds the table's lock.
func (c *call) refuse(s *shard, now time.Time, wait time.Duration, reason string, retryAfter time.Duration) SubReply {
	c.table.holdBackRefused(s, now)
	reply := notRunReply(c.sub, hysquery.ShardOverloaded, s.reason(reason), retryAfter)
	reply.Queue = s.queueState(now, wait)
	return reply
}

func (s *SubRequest) waitKey() waitKey {
	return waitKey{group: s.Group, class: s.Class, late: s.Returning}
}

// refusable reports whether the sub-request may be refused for a long queue although
// it could still run before its deadline.
func (s *SubRequest) refusable() bool { return s.Idempotent || s.Goal > 0 }

// usefulTime is the time within which a reply to the sub-request is useful.
func (s *SubRequest) usefulTime(now time.Time) time.Duration {
	remaining := s.Deadline.Sub(now)
	if s.Goal == 0 || s.Returning {
		return remaining
	}
	return min(s.Goal, remaining)
}

// retryAfter is how long the caller of a refused sub-request is asked to wait. With a
// goal it is at most a third of the time left until the deadline, so that a burst is
// likely to be over by then, and it is shortened by the rank of the sub-request among
// the refused ones, so that callers refused together retry at different times.
func (s *SubRequest) retryAfter(now time.Time, wait time.Duration, fraction float64) time.Duration {
	if s.Goal == 0 {
		return max(wait, minRetryAfter)
	}
	longest := s.Deadline.Sub(now).Seconds() * retryAfterFraction
	fraction = max(fraction, 0)
	position := (s.admissionRank() - fraction) / (1 - fraction)
	return max(wait, time.Duration(longest*(1-retryAfterSpread*position)*float64(time.Second)), minRetryAfter)
}

// hasReplica reports whether the shard has a searcher that is not leaving.
func (s *shard) hasReplica() bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.state() != stateLeaving })
}

// reachable reports whether a searcher that is not leaving is in reach.
func (s *shard) reachable() bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool {
		return r.state() != stateLeaving && r.reachable(r.Searcher.ID)
	})
}

// backoff is how long no searcher of the shard may be sent to, because each of them
// has asked for a pause or is backing off after a failure. It is 0 if one may be sent
// to now.
func (s *shard) backoff(now time.Time) time.Duration {
	earliest, found := time.Time{}, false
	for _, r := range s.replicas {
		if at, ok := r.availableAt(now); ok && (!found || at.Before(earliest)) {
			earliest, found = at, true
		}
	}
	return max(earliest.Sub(now), 0)
}

// admittedFraction is the fraction of the sub-requests like this one that is admitted
// at an expected wait, where mean is the average duration of a send. It is below 0 or
// above 1 outside the range of partial refusal.
func (s *SubRequest) admittedFraction(now time.Time, wait, mean time.Duration) float64 {
	useful := s.usefulTime(now).Seconds()
	start, full := returningStartFraction, returningFullFraction
	if !s.Returning {
		start = refusalStartFraction
		full = min(max(1-slowestShardFactor*mean.Seconds()/useful, minFullRefusalFraction), maxFullRefusalFraction)
	}
	return 1 - (wait.Seconds()/useful-start)/(full-start)
}

// admissionRank maps the request id to a number from 0 to 1. It is the same at every
// shard, so that the shards refuse the same requests: a request that is refused by
// some shards and run by others is wasted work.
func (s *SubRequest) admissionRank() float64 {
	return float64(xxhash.Sum64String(string(s.RequestID))) / math.MaxUint64
}

// untested reports whether nothing waits or runs at the shard though a replica may be
// sent to now. What is known then, from sends that failed or took long, may no longer
// be true, and only another send can show it. Where a searcher that serves has a rate
// limit, that is known without a send.
func (s *shard) untested(now time.Time) bool {
	ready := false
	for _, r := range s.replicas {
		if len(r.active) > 0 || r.serving(now) && r.limitMeter(now).Limit().Limited {
			return false
		}
		ready = ready || r.free(now) && r.limitMeter(now).Ready(now)
	}
	return ready && s.queue.Len() == 0
}

// expectedWait estimates how long an item would wait for a slot.
func (s *shard) expectedWait(now time.Time, i hysqueue.Item) time.Duration {
	slots, running, available := 0.0, 0, false
	for _, r := range s.replicas {
		if r.serving(now) {
			slots += s.usableSlots(now, r)
			running += len(r.active)
			available = available || r.limitMeter(now).Ready(now)
		}
	}
	ahead := s.queue.ItemsAhead(i)
	if ahead == 0 && available && float64(running) < slots {
		return 0
	}
	return time.Duration(float64(s.meanTime) * float64(ahead+1) / max(slots, minConcurrency))
}
