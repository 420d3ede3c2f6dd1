package hysdispatch

import (
	"context"
	"time"
)

// hedgePercent is the percentile of a shard's latency after which an
// idempotent sub-request is hedged.
const hedgePercent = 95

// Bounds of the hedging delay.
const (
	// minHedgeDelay also bounds how often a send is looked at whose goal is nearly
	// over.
	minHedgeDelay     = time.Millisecond
	defaultHedgeDelay = 100 * time.Millisecond
)

// earliestPart is the part of its goal in which a sub-request needs no hedge: one
// that comes later can still make it.
const earliestPart = 0.3

// lateFactor is how many times its usual time another replica is given to answer a
// hedge within the goal.
const lateFactor = 1.5

func (c *call) hedgeTimer() *time.Timer {
	delay := time.Until(c.sub.Deadline)
	if c.hedgeable() {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		delay = c.hedgeDelay(c.table.shard(c.key()), c.sends[len(c.sends)-1])
	}
	return time.NewTimer(delay)
}

func (c *call) hedgeable() bool {
	return c.dispatcher.hedging && c.sub.Idempotent && c.sub.Proven
}

// hedgeDelay is how long a send to a replica may run before it is hedged. Sends
// to near and far replicas are compared without their distances, so that the
// far ones don't delay the hedges of the near ones. There is no replica while
// the send waits for a slot.
func (c *call) hedgeDelay(s *shard, last *waiter) time.Duration {
	policy := c.dispatcher.hedge
	now := c.table.now()
	started := now
	delay, ok := s.latency.Quantile(now, policy.Percentile)
	if !ok {
		delay, ok = c.table.pooled.quantile(now, c.sub.Group, policy.Percentile)
	}
	if !ok {
		delay = policy.DefaultDelay
	}
	if last.replica != nil {
		delay += last.replica.Distance
		started = last.started
	}
	return c.withinGoal(s, started, delay)
}

// withinGoal is the delay of a send that started at a time, whose sub-request may have
// a goal.
func (c *call) withinGoal(s *shard, started time.Time, delay time.Duration) time.Duration {
	left := c.sub.Due.Sub(started)
	if c.sub.Due.IsZero() || left <= 0 {
		return max(delay, minHedgeDelay)
	}
	return HedgeDelay(left, delay, s.quickest(c.table.now(), c.tried()))
}

// HedgeDelay returns how long a send may run before it is hedged whose reply is due
// within a goal, where most take a usual time and another replica is likely to take the
// other time. It is no shorter than a part of the goal, within which a hedge is not
// needed yet, and short enough for the other replica to answer within the goal: a slow
// replica makes the usual time of its shard its own, so that this alone would let hedges
// come when the goal is over.
func HedgeDelay(goal, usual, other time.Duration) time.Duration {
	earliest := time.Duration(earliestPart * float64(goal))
	latest := goal - time.Duration(lateFactor*float64(other))
	return max(min(usual, latest), earliest, minHedgeDelay)
}

// hedge sends once more if the last send has run for long, and returns when to
// look again. A send that still waits for a slot is not hedged, and none is while
// others wait: a hedge would only take a slot from them.
func (c *call) hedge(ctx context.Context) time.Duration {
	if !c.hedgeable() || c.exhausted() {
		return time.Until(c.sub.Deadline)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	last := c.sends[len(c.sends)-1]
	delay := c.hedgeDelay(s, last)
	if last.replica == nil {
		return delay
	}
	now := t.now()
	if left := delay - now.Sub(last.started); left > 0 {
		return left
	}
	if s.wait(now, c.item(s, nil)) > 0 || !c.otherReplica(s) {
		return delay
	}
	if t.budget.TrySpend(c.dispatcher.hedge.RetryReserve) {
		c.pushAgain(ctx, s)
	}
	return delay
}
