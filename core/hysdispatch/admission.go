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

// Requests begin to be refused at a wait that is a part of the time that a request
// has. All are refused at one that leaves too little of it for the sends themselves,
// within bounds.
const (
	startRefusal   = 0.2
	minFullRefusal = 0.3
	maxFullRefusal = 0.6
	// serviceFactor is how many times the average the last of a query's parts takes.
	serviceFactor = 2
)

// Callers who were refused before begin to be refused again, and all are, at waits that
// are parts of the time that they have left.
const (
	startReturning = 0.5
	fullReturning  = 1.0
)

// A refused caller is asked to return within returnPart of the time that it has;
// returnSpread is the part of that over which the callers are spread.
const (
	returnPart   = 1.0 / 3
	returnSpread = 0.5
)

// pressureSpan is the time constant of the smoothed wait.
const pressureSpan = 100 * time.Millisecond

// pressureExpiry is when a smoothed wait that is not renewed is forgotten.
const pressureExpiry = time.Second

// pressureKey names what waits together at one shard.
type pressureKey struct {
	group hysgroup.Name
	class hysquery.Class
	// late items wait behind the others.
	late bool
}

// pressure is the smoothed wait of a group's class.
type pressure struct {
	wait time.Duration
	at   time.Time
}

type pressures map[pressureKey]pressure

// smooth adds an estimate and returns the smoothed wait.
func (p pressures) smooth(key pressureKey, now time.Time, wait time.Duration) time.Duration {
	known, ok := p[key]
	if !ok {
		p.expire(now)
		known = pressure{at: now}
	}
	kept := math.Exp(-now.Sub(known.at).Seconds() / pressureSpan.Seconds())
	known.wait = wait + time.Duration(kept*float64(known.wait-wait))
	known.at = now
	p[key] = known
	return known.wait
}

func (p pressures) expire(now time.Time) {
	for key, known := range p {
		if now.Sub(known.at) > pressureExpiry {
			delete(p, key)
		}
	}
}

// refuse returns the final reply to a sub-request that can't be run in time.
func (c *call) refuse() (SubReply, bool) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shards[c.key()]
	if !ok || !s.hasReplica() {
		return notSent(c.sub, hysquery.ShardUnavailable, "no searcher holds the shard", unavailableRetry), true
	}
	if !c.dispatcher.admit {
		return SubReply{}, false
	}
	now := t.now()
	if rest := s.rest(now); rest > c.sub.allowance(now) {
		return notSent(c.sub, hysquery.ShardOverloaded, "no searcher of the shard may be sent to for now", rest), true
	}
	wait := s.wait(now, c.item(s, nil))
	if now.Add(wait + s.mean).After(c.sub.Deadline) {
		return notSent(c.sub, hysquery.ShardOverloaded, "the queue is longer than the deadline", max(wait, minRetryAfter)), true
	}
	if c.sub.Admitted {
		return SubReply{}, false
	}
	smoothed := s.pressure.smooth(c.sub.pressureKey(), now, wait)
	if part := c.sub.admitted(now, smoothed, s.mean); c.sub.refusable() && c.sub.drawn() > part {
		return notSent(c.sub, hysquery.ShardOverloaded, "the group's queue is too long", c.sub.returnAfter(now, smoothed, part)), true
	}
	return SubReply{}, false
}

func (s *SubRequest) pressureKey() pressureKey {
	return pressureKey{group: s.Group, class: s.Class, late: s.Returning}
}

// refusable reports whether the sub-request may be refused for a long queue
// though it could be run before its deadline.
func (s *SubRequest) refusable() bool { return s.Idempotent || s.Goal > 0 }

// allowance is the time within which the sub-request is worth running.
func (s *SubRequest) allowance(now time.Time) time.Duration {
	left := s.Deadline.Sub(now)
	if s.Goal == 0 || s.Returning {
		return left
	}
	return min(s.Goal, left)
}

// returnAfter is when a refused sub-request should be sent again. With a goal it
// is at a third of the time that its caller has, so that a burst is likely to be
// over, less a part that spreads those that were refused together.
func (s *SubRequest) returnAfter(now time.Time, wait time.Duration, part float64) time.Duration {
	if s.Goal == 0 {
		return max(wait, minRetryAfter)
	}
	longest := s.Deadline.Sub(now).Seconds() * returnPart
	part = max(part, 0)
	place := (s.drawn() - part) / (1 - part)
	return max(wait, time.Duration(longest*(1-returnSpread*place)*float64(time.Second)), minRetryAfter)
}

// hasReplica reports whether a searcher of the shard may get sub-requests.
func (s *shard) hasReplica() bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.state() != stateLeaving })
}

// rest is how long none of the shard's searchers may be sent to: each has asked
// for rest or can't be reached for now. It is 0 while one may.
func (s *shard) rest(now time.Time) time.Duration {
	earliest, found := time.Time{}, false
	for _, r := range s.replicas {
		if at, ok := r.servesAt(); ok && (!found || at.Before(earliest)) {
			earliest, found = at, true
		}
	}
	return max(earliest.Sub(now), 0)
}

// admitted is the part of the sub-requests like this one that is taken at a wait, where
// a send takes a time on average.
func (s *SubRequest) admitted(now time.Time, wait, mean time.Duration) float64 {
	allowance := s.allowance(now).Seconds()
	start, full := startReturning, fullReturning
	if !s.Returning {
		start = startRefusal
		full = min(max(1-serviceFactor*mean.Seconds()/allowance, minFullRefusal), maxFullRefusal)
	}
	return 1 - (wait.Seconds()/allowance-start)/(full-start)
}

// drawn places a request between 0 and 1. The place is the same at every shard,
// so that the shards refuse the same requests: one that some shards refuse and
// others run is of no use.
func (s *SubRequest) drawn() float64 {
	return float64(xxhash.Sum64String(string(s.RequestID))) / math.MaxUint64
}

// wait estimates how long an item would wait for a slot.
func (s *shard) wait(now time.Time, i hysqueue.Item) time.Duration {
	slots, active := 0.0, 0
	for _, r := range s.replicas {
		if r.serves(now) {
			slots += r.concurrency.limit
			active += len(r.active)
		}
	}
	ahead := s.queue.ItemsAhead(i)
	if ahead == 0 && float64(active) < slots {
		return 0
	}
	return time.Duration(float64(s.mean) * float64(ahead+1) / max(slots, minConcurrency))
}
