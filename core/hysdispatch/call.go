package hysdispatch

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
)

// call is one sub-request with its sends: the first one, the hedge and the retries.
type call struct {
	dispatcher *Dispatcher
	table      *table
	sub        SubRequest
	results    chan outcome
	sends      []*send
	running    int
	// lost is closed when no searcher of the service is in reach any more.
	lost <-chan struct{}
	// mayHaveRun is true once a searcher may have run the sub-request.
	mayHaveRun bool
	// notRun counts the sends that searchers have not run and never will.
	notRun int
	// retryAwaits is set while a retry waits for the confirmation of the sub-request.
	retryAwaits bool
	lastResult  Result
	searcher    hysmember.SearcherID
}

func (c *call) key() shardKey {
	return shardKey{epoch: c.sub.Epoch, shard: c.sub.Shard}
}

func (c *call) item(s *shard, send *send) hysqueue.Item {
	i := hysqueue.Item{
		Group: c.sub.Group, Weight: c.sub.Weight, Class: c.sub.Class, Cost: s.meanTime, Value: send,
	}
	if !c.sub.Due.IsZero() {
		i.StartBy, i.Late = c.sub.Due.Add(-s.meanTime), c.sub.Returning
	}
	return i
}

// run queues the first send, awaits the final reply and ends the sends that are still
// running then.
func (c *call) run(ctx context.Context) SubReply {
	sendCtx, cancel := c.detach(ctx)
	c.enqueue(sendCtx)
	hedge := c.hedgeTimer()
	defer hedge.Stop()
	reply, lost := c.await(ctx, sendCtx, hedge)
	if lost {
		reply = c.unreachableReply(cancel)
	}
	c.dequeue()
	c.endSends(ctx, cancel)
	reply.Sends = c.startedSends()
	reply.PossibleRuns = reply.Sends - c.notRun
	return reply
}

// await waits for sends to end, starts hedges and retries, and returns the final
// reply. It returns true instead if the searchers of the service were lost meanwhile.
func (c *call) await(ctx, sendCtx context.Context, hedge *time.Timer) (SubReply, bool) {
	stopping, confirmed := c.dispatcher.stop.reached, c.sub.Confirmed
	for c.running > 0 || c.retryAwaits {
		select {
		case <-ctx.Done():
			return c.timeoutReply(ctx), false
		case <-c.lost:
			return SubReply{}, true
		case <-stopping:
			stopping = nil
			if reply, done := c.endWaiting(); done {
				return reply, false
			}
		case <-confirmed:
			confirmed = nil
			c.confirm(ctx, sendCtx)
			hedge.Reset(c.checkHedge(sendCtx))
		case <-hedge.C:
			hedge.Reset(c.checkHedge(sendCtx))
		case o := <-c.results:
			c.running--
			if reply, done := c.resolve(ctx, sendCtx, o); done {
				return reply, false
			}
		}
	}
	return c.failureReply(ctx), false
}

// enqueue queues the first send.
func (c *call) enqueue(ctx context.Context) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	item := c.item(s, c.newSend(ctx))
	if t.startIfQueueEmpty(s, item) {
		return
	}
	s.queue.Push(item)
	t.matchShard(s)
}

// enqueueAgain queues another send, for a replica that has not been sent the
// sub-request yet. It goes to the front of its group and class, because the
// sub-request has already waited. The caller holds the table's lock.
func (c *call) enqueueAgain(ctx context.Context, s *shard) {
	s.queue.PushFront(c.item(s, c.newSend(ctx)))
	c.table.matchShard(s)
}

func (c *call) newSend(ctx context.Context) *send {
	send := &send{ctx: ctx, sub: c.sub, results: c.results, excluded: c.tried()}
	c.sends = append(c.sends, send)
	c.running++
	return send
}

// tried returns the replicas to which the sub-request was sent.
func (c *call) tried() []*replica {
	var tried []*replica
	for _, send := range c.sends {
		if send.replica != nil {
			tried = append(tried, send.replica)
		}
	}
	return tried
}

// maxBackoffFraction is the fraction of the useful time within which the backoff of a
// replica must end for the sub-request to wait for that replica.
const maxBackoffFraction = 0.5

// startedSends returns how many sends were started.
func (c *call) startedSends() int {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(c.tried())
}

// hasUntriedReplica reports whether there is a replica that has not been tried and
// that is available now or soon. Soon is enough, because all replicas of a shard may
// back off for some milliseconds when many connections are reset at the same time.
func (c *call) hasUntriedReplica(s *shard) bool {
	tried, now := c.tried(), c.table.now()
	soon := now.Add(time.Duration(maxBackoffFraction * float64(c.sub.usefulTime(now))))
	return slices.ContainsFunc(s.replicas, func(r *replica) bool {
		return !slices.Contains(tried, r) && r.availableBy(now, soon)
	})
}

// record applies the outcome of a send to what is known of the sub-request.
func (c *call) record(o outcome) {
	c.mayHaveRun = c.mayHaveRun || !o.result.NotRun
	if o.result.NotRun {
		c.notRun++
	}
	c.lastResult, c.searcher = o.result, o.searcher
}

// resolve returns the final reply, and true, if the outcome of a send decides it.
// Otherwise it retries if that is allowed.
func (c *call) resolve(ctx, sendCtx context.Context, o outcome) (SubReply, bool) {
	c.record(o)
	switch o.result.Fault {
	case FaultNone:
		return SubReply{
			Shard: c.sub.Shard, Status: hysquery.ShardAnswered,
			Version: c.sub.Version, Epoch: c.sub.Epoch, Hits: o.result.Hits,
			Message: o.result.Message, Searcher: c.searcher,
		}, true
	case FaultRejected:
		return c.reply(hysquery.ShardFailed, o.result), true
	case FaultQuarantined:
		return c.reply(hysquery.ShardQuarantined, o.result), true
	}
	if ctx.Err() == nil {
		c.retry(sendCtx, o.result)
	}
	return SubReply{}, false
}

// exhausted reports whether no further send is allowed.
func (c *call) exhausted() bool { return c.exhaustedAt(c.sub.maxRuns()) }

// exhaustedAt reports whether no further send is allowed if some searchers may run the
// sub-request.
func (c *call) exhaustedAt(runs int) bool {
	return c.dispatcher.stop.isReached() || len(c.sends)-c.notRun >= runs || len(c.sends) >= runs+maxNotRun
}

// retry sends again if no other send is running. A non-idempotent sub-request is sent
// again only if it certainly was not run.
func (c *call) retry(ctx context.Context, result Result) {
	refused := result.NotRun && (result.Fault == FaultRefused || result.Fault == FaultDraining)
	notRun := refused || result.NotRun && c.sub.RetryNotRun
	if c.running > 0 || !c.sub.Idempotent && !notRun {
		return
	}
	if c.exhausted() {
		c.retryAwaits = c.awaitsConfirmation()
		return
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shard(c.key())
	if !c.hasUntriedReplica(s) {
		return
	}
	// A refused connection put no load on a searcher.
	free := result.NotRun && result.Fault == FaultRefused || refused && !c.sub.RetryNotRun
	if free || t.budget.TrySpend(0) {
		c.enqueueAgain(ctx, s)
	}
}

// failureReply returns the final reply once the last send has failed.
func (c *call) failureReply(ctx context.Context) SubReply {
	switch c.lastResult.Fault {
	case FaultShed:
		c.lastResult.RetryAfter = max(c.shardBackoff(), minRetryAfter)
		return c.reply(hysquery.ShardOverloaded, c.lastResult)
	case FaultVersionGone:
		return c.reply(hysquery.ShardVersionGone, c.lastResult)
	case FaultEpochGone:
		return c.reply(hysquery.ShardEpochGone, c.lastResult)
	case FaultFailed:
		return c.reply(hysquery.ShardFailed, c.lastResult)
	case FaultCancelled:
		// The send was cancelled at the deadline, and its result arrived before the
		// end of the context was noticed.
		return c.timeoutReply(ctx)
	default:
		return c.reply(hysquery.ShardUnavailable, c.lastResult)
	}
}

// shardBackoff is how long no searcher of the shard may be sent to.
func (c *call) shardBackoff() time.Duration {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(c.key()).backoff(t.now())
}

// timeoutReply returns the final reply when the context of the call has ended.
func (c *call) timeoutReply(ctx context.Context) SubReply {
	c.dequeue()
	reason := "no searcher answered in time"
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		reason = string(ErrStopping)
	case c.startedSends() == 0:
		reason = c.waitReason()
	}
	return c.reply(hysquery.ShardTimeout, Result{Reason: reason})
}

func (c *call) reply(status hysquery.ShardStatus, result Result) SubReply {
	return SubReply{
		Shard: c.sub.Shard, Status: status, Version: c.sub.Version, Epoch: c.sub.Epoch,
		Reason: result.Reason, RetryAfter: result.RetryAfter, NotRun: !c.mayHaveRun,
		Message: result.Message, Searcher: c.searcher,
	}
}

// dequeue removes the sends that are still waiting from the queue. One that is no
// longer in the queue may have reached a searcher.
func (c *call) dequeue() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := false
	for _, send := range c.sends {
		waiting = waiting || send.replica == nil
		c.mayHaveRun = c.mayHaveRun || (send.replica != nil && c.running > 0)
	}
	if waiting {
		c.removeWaiting()
	}
}

// removeWaiting removes the sends that are still waiting from the queue. The caller
// holds the table's lock.
func (c *call) removeWaiting() {
	c.table.shard(c.key()).queue.Remove(func(i hysqueue.Item) bool {
		return slices.Contains(c.sends, i.Value.(*send))
	})
}
