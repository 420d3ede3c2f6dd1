package hysdispatch

import (
	"context"
	"slices"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
)

// call is one sub-request on its way through queue, sends, hedge and retries.
type call struct {
	dispatcher *Dispatcher
	table      *table
	sub        SubRequest
	results    chan outcome
	sends      []*waiter
	running    int
	// sent is true once a byte may have left.
	sent bool
	// unrun counts the sends that searchers have not run and never will.
	unrun int
	last  Result
	from  hysmember.SearcherID
}

func (c *call) key() shardKey {
	return shardKey{epoch: c.sub.Epoch, shard: c.sub.Shard}
}

func (c *call) item(s *shard, w *waiter) hysqueue.Item {
	i := hysqueue.Item{
		Group: c.sub.Group, Weight: c.sub.Weight, Class: c.sub.Class, Cost: s.mean, Value: w,
	}
	if !c.sub.Due.IsZero() {
		i.StartBy, i.Late = c.sub.Due.Add(-s.mean), c.sub.Returning
	}
	return i
}

func (c *call) run(ctx context.Context) SubReply {
	sends, cancel := c.detach(ctx)
	c.push(sends)
	hedge := c.hedgeTimer()
	defer hedge.Stop()
	reply := c.await(ctx, sends, hedge)
	c.abandon()
	c.release(ctx, cancel)
	reply.Sends = c.sendsMade()
	return reply
}

// await returns the final reply.
func (c *call) await(ctx, sends context.Context, hedge *time.Timer) SubReply {
	for c.running > 0 {
		select {
		case <-ctx.Done():
			return c.timeout()
		case <-hedge.C:
			hedge.Reset(c.hedge(sends))
		case o := <-c.results:
			c.running--
			if reply, done := c.settle(ctx, sends, o); done {
				return reply
			}
		}
	}
	return c.failed()
}

// push queues the first send.
func (c *call) push(ctx context.Context) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	item := c.item(s, c.waiter(ctx))
	if t.startAtOnce(s, item) {
		return
	}
	s.queue.Push(item)
	t.matchShard(s)
}

// pushAgain queues one more send, on a replica that has not had the
// sub-request. It goes before the group's other ones, since it has waited. The
// caller holds the table's lock.
func (c *call) pushAgain(ctx context.Context, s *shard) {
	s.queue.PushFront(c.item(s, c.waiter(ctx)))
	c.table.matchShard(s)
}

func (c *call) waiter(ctx context.Context) *waiter {
	w := &waiter{ctx: ctx, sub: c.sub, results: c.results, excluded: c.tried()}
	c.sends = append(c.sends, w)
	c.running++
	return w
}

// tried returns the replicas that have had the sub-request.
func (c *call) tried() []*replica {
	var tried []*replica
	for _, w := range c.sends {
		if w.replica != nil {
			tried = append(tried, w.replica)
		}
	}
	return tried
}

// backoffPart is the part of the time left in which the backoff of a replica
// must end for a sub-request to wait for it.
const backoffPart = 0.5

// sendsMade is how many sends have had a searcher.
func (c *call) sendsMade() int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(c.tried())
}

// otherReplica reports whether a replica is left that has not been tried, and
// that serves now or soon: when many connections are reset at once, all replicas
// of a shard may rest for some milliseconds.
func (c *call) otherReplica(s *shard) bool {
	tried, now := c.tried(), c.table.now()
	soon := now.Add(time.Duration(backoffPart * float64(c.sub.allowance(now))))
	return slices.ContainsFunc(s.replicas, func(r *replica) bool {
		return !slices.Contains(tried, r) && r.servesBy(soon)
	})
}

// settle returns the final reply if the end of a send decides it.
func (c *call) settle(ctx, sends context.Context, o outcome) (SubReply, bool) {
	c.sent = c.sent || !o.result.NotRun
	if o.result.NotRun {
		c.unrun++
	}
	c.last, c.from = o.result, o.searcher
	switch o.result.Fault {
	case FaultNone:
		return SubReply{
			Shard: c.sub.Shard, Status: hysquery.ShardAnswered,
			Version: c.sub.Version, Epoch: c.sub.Epoch, Hits: o.result.Hits,
			Message: o.result.Message, Searcher: c.from,
		}, true
	case FaultRejected:
		return c.reply(hysquery.ShardFailed, o.result), true
	case FaultQuarantined:
		return c.reply(hysquery.ShardQuarantined, o.result), true
	}
	if ctx.Err() == nil {
		c.retry(sends, o.result)
	}
	return SubReply{}, false
}

// exhausted reports whether no further send is allowed.
func (c *call) exhausted() bool {
	runs := c.sub.maxRuns()
	return len(c.sends)-c.unrun >= runs || len(c.sends) >= runs+maxUnrun
}

// retry sends once more if nothing else runs. A non-idempotent sub-request is
// only sent again if it certainly has not run.
func (c *call) retry(ctx context.Context, result Result) {
	refused := result.NotRun && (result.Fault == FaultRefused || result.Fault == FaultDraining)
	unrun := refused || result.NotRun && c.sub.RetryNotRun
	if c.running > 0 || c.exhausted() || !c.sub.Idempotent && !unrun {
		return
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	if !c.otherReplica(s) {
		return
	}
	// A refused connection put no load on a searcher.
	free := result.NotRun && result.Fault == FaultRefused || refused && !c.sub.RetryNotRun
	if free || t.budget.TrySpend(0) {
		c.pushAgain(ctx, s)
	}
}

func (c *call) failed() SubReply {
	switch c.last.Fault {
	case FaultShed:
		c.last.RetryAfter = max(c.rest(), minRetryAfter)
		return c.reply(hysquery.ShardOverloaded, c.last)
	case FaultVersionGone:
		return c.reply(hysquery.ShardVersionGone, c.last)
	case FaultEpochGone:
		return c.reply(hysquery.ShardEpochGone, c.last)
	case FaultFailed:
		return c.reply(hysquery.ShardFailed, c.last)
	case FaultCancelled:
		// The cancelled send was heard of before the end of the context.
		return c.timeout()
	default:
		return c.reply(hysquery.ShardUnavailable, c.last)
	}
}

// rest is how long no searcher of the shard may be sent to.
func (c *call) rest() time.Duration {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(c.key()).rest(t.now())
}

func (c *call) timeout() SubReply {
	c.abandon()
	reason := "no searcher answered in time"
	if c.sendsMade() == 0 {
		reason = "no searcher was free in time"
	}
	return c.reply(hysquery.ShardTimeout, Result{Reason: reason})
}

func (c *call) reply(status hysquery.ShardStatus, result Result) SubReply {
	return SubReply{
		Shard: c.sub.Shard, Status: status, Version: c.sub.Version, Epoch: c.sub.Epoch,
		Reason: result.Reason, RetryAfter: result.RetryAfter, NotRun: !c.sent,
		Message: result.Message, Searcher: c.from,
	}
}

// abandon takes the sends that still wait out of the queue. One that has left
// the queue may have been sent.
func (c *call) abandon() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := false
	for _, w := range c.sends {
		waiting = waiting || w.replica == nil
		c.sent = c.sent || (w.replica != nil && c.running > 0)
	}
	if !waiting {
		return
	}
	t.shard(c.key()).queue.Remove(func(i hysqueue.Item) bool {
		return slices.Contains(c.sends, i.Value.(*waiter))
	})
}
