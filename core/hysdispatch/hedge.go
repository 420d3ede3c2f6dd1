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
	minHedgeDelay     = time.Millisecond
	defaultHedgeDelay = 100 * time.Millisecond
)

// hedgeWaitPart is the part of the hedging delay that a hedge may wait in the
// queue. Where it would wait longer, the slots are better used by others.
const hedgeWaitPart = 0.5

func (c *call) hedgeTimer() *time.Timer {
	delay := time.Until(c.sub.Deadline)
	if c.hedgeable() {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		delay = c.hedgeDelay(c.table.shard(c.key()), c.sends[len(c.sends)-1].replica)
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
func (c *call) hedgeDelay(s *shard, r *replica) time.Duration {
	policy := c.dispatcher.hedge
	now := c.table.now()
	delay, ok := s.latency.Quantile(now, policy.Percent)
	if !ok {
		delay, ok = c.table.pooled.quantile(now, c.sub.Group, policy.Percent)
	}
	if !ok {
		delay = policy.Unknown
	}
	if r != nil {
		delay += r.Distance
	}
	return max(delay, minHedgeDelay)
}

// hedge sends once more if the last send has run for long, and returns when to
// look again. A send that still waits for a slot is not hedged: its hedge would
// only wait too.
func (c *call) hedge(ctx context.Context) time.Duration {
	if !c.hedgeable() || c.exhausted() {
		return time.Until(c.sub.Deadline)
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	last := c.sends[len(c.sends)-1]
	delay := c.hedgeDelay(s, last.replica)
	if last.replica == nil {
		return delay
	}
	now := t.now()
	if left := delay - now.Sub(last.started); left > 0 {
		return left
	}
	if s.wait(now, c.item(s, nil)).Seconds() > hedgeWaitPart*delay.Seconds() || !c.otherReplica(s) {
		return delay
	}
	if t.budget.Spend(c.dispatcher.hedge.Reserve) {
		c.pushAgain(ctx, s)
	}
	return delay
}
