package hysdispatch

import (
	"context"
	"time"
)

// hedgePercent is the percentile of a shard's latencies after which an idempotent
// sub-request is hedged.
const hedgePercent = 95

// Bounds of the hedge delay.
const (
	// minHedgeDelay is also the shortest interval between hedge checks of a send
	// whose goal is nearly over.
	minHedgeDelay     = time.Millisecond
	defaultHedgeDelay = 100 * time.Millisecond
)

// minDelayFraction is the fraction of its goal within which a sub-request needs no
// hedge, since a later hedge can still meet the goal.
const minDelayFraction = 0.3

// hedgeTimeFactor times its expected duration is the part of the goal that is reserved
// for a hedge at another replica.
const hedgeTimeFactor = 1.5

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

// hedgeDelay returns how long the last send may run before it is hedged. The
// latencies of a shard are recorded without the distance of the replica, which is
// added here, so that far replicas don't delay the hedges of sends to near ones. A
// send that is waiting for a slot has no replica yet.
func (c *call) hedgeDelay(s *shard, last *send) time.Duration {
	policy := c.dispatcher.hedge
	now := c.table.now()
	started := now
	delay, ok := s.latency.Quantile(now, policy.Percentile)
	if !ok {
		delay, ok = c.table.groupLatencies.quantile(now, c.sub.Group, policy.Percentile)
	}
	if !ok {
		delay = policy.DefaultDelay
	}
	if last.replica != nil {
		delay += last.replica.Distance
		started = last.started
	}
	return c.delayWithinGoal(s, started, delay)
}

// delayWithinGoal limits the hedge delay of a send by the goal of its sub-request, if
// it has one.
func (c *call) delayWithinGoal(s *shard, started time.Time, delay time.Duration) time.Duration {
	remaining := c.sub.Due.Sub(started)
	if c.sub.Due.IsZero() || remaining <= 0 {
		return max(delay, minHedgeDelay)
	}
	return HedgeDelay(remaining, delay, s.fastestTime(c.table.now(), c.tried()))
}

// HedgeDelay returns how long a send may run before it is hedged if the reply is due
// within a goal. usual is the delay without a goal, other the expected duration at
// another replica. The delay is at least a fraction of the goal, within which no
// hedge is needed yet, and otherwise short enough for the other replica to reply
// within the goal. The usual delay alone would be too long at a shard with a slow
// replica, whose latencies raise it until hedges start after the goal.
func HedgeDelay(goal, usual, other time.Duration) time.Duration {
	earliest := time.Duration(minDelayFraction * float64(goal))
	latest := goal - time.Duration(hedgeTimeFactor*float64(other))
	return max(min(usual, latest), earliest, minHedgeDelay)
}

// checkHedge hedges the last send if it has run for longer than the hedge delay, and
// returns the time until the next check. A send that is waiting for a slot is not
// hedged, and no send is hedged while others are waiting, since the hedge would only
// take a slot from them.
func (c *call) checkHedge(ctx context.Context) time.Duration {
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
	if remaining := delay - now.Sub(last.started); remaining > 0 {
		return remaining
	}
	if s.expectedWait(now, c.item(s, nil)) > 0 || !c.hasUntriedReplica(s) {
		return delay
	}
	if t.budget.TrySpend(c.dispatcher.hedge.RetryReserve) {
		c.enqueueAgain(ctx, s)
	}
	return delay
}
