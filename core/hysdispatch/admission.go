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

// The wait at which requests begin to be refused is a part of the time that a
// request has. At fullRefusal times that wait all are refused.
const (
	waitPart     = 0.4
	startRefusal = 0.5
	fullRefusal  = 1.5
)

// pressureSpan is the time constant of the smoothed wait.
const pressureSpan = 100 * time.Millisecond

// pressureExpiry is when a smoothed wait that is not renewed is forgotten.
const pressureExpiry = time.Second

// pressureKey names what waits together at one shard.
type pressureKey struct {
	group hysgroup.Name
	class hysquery.Class
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
	wait := s.wait(c.item(s, nil))
	if now.Add(wait + s.mean).After(c.sub.Deadline) {
		return notSent(c.sub, hysquery.ShardOverloaded, "the queue is longer than the deadline", max(wait, minRetryAfter)), true
	}
	smoothed := s.pressure.smooth(pressureKey{group: c.sub.Group, class: c.sub.Class}, now, wait)
	if c.sub.Idempotent && c.sub.drawn() > admitted(smoothed, c.sub.Deadline.Sub(now)) {
		return notSent(c.sub, hysquery.ShardOverloaded, "the group's queue is too long", max(smoothed, minRetryAfter)), true
	}
	return SubReply{}, false
}

// hasReplica reports whether a searcher of the shard may get sub-requests.
func (s *shard) hasReplica() bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.state() != stateLeaving })
}

// admitted is the part of the requests that is taken at a wait.
func admitted(wait, left time.Duration) float64 {
	return 1 - (wait.Seconds()/(waitPart*left.Seconds())-startRefusal)/(fullRefusal-startRefusal)
}

// drawn places a request between 0 and 1. The place is the same at every shard,
// so that the shards refuse the same requests: one that some shards refuse and
// others run is of no use.
func (s *SubRequest) drawn() float64 {
	return float64(xxhash.Sum64String(string(s.RequestID))) / math.MaxUint64
}

// wait estimates how long an item would wait for a slot.
func (s *shard) wait(i hysqueue.Item) time.Duration {
	slots, active := 0.0, 0
	for _, r := range s.replicas {
		if r.state() == stateServing {
			slots += r.concurrency.limit
			active += len(r.active)
		}
	}
	ahead := s.queue.Ahead(i)
	if ahead == 0 && float64(active) < slots {
		return 0
	}
	return time.Duration(float64(s.mean) * float64(ahead+1) / max(slots, minConcurrency))
}
