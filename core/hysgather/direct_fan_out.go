package hysgather

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyspartial"
	"hyssopshore/core/hysquery"
)

// SubmitFunc runs a sub-request and returns its one reply.
type SubmitFunc func(context.Context, hysdispatch.SubRequest) hysdispatch.SubReply

// DirectFanOut is a query that this instance dispatches itself, with one
// sub-request for each shard. All sub-requests come from one version of the
// configuration.
type DirectFanOut struct {
	Submit      SubmitFunc
	SubRequests []hysdispatch.SubRequest
	Policy      hyspartial.Policy
	Deadline    time.Time
}

// DirectFanOutResult is the result of a DirectFanOut.
type DirectFanOutResult struct {
	Verdict hyspartial.Verdict
	// Replies holds the replies received, in the order of the sub-requests;
	// Replied tells which were received.
	Replies []hysdispatch.SubReply
	Replied []bool
	// Answered and Lost count the shards with a result and those that failed.
	Answered int
	Lost     int
	// outstanding delivers the replies that have not been received yet.
	outstanding <-chan indexedReply
}

// indexedReply is the reply to one of the sub-requests.
type indexedReply struct {
	index int
	reply hysdispatch.SubReply
}

// Run sends the sub-requests and returns as soon as the policy has decided. The
// end of the context cancels the sub-requests.
func (d *DirectFanOut) Run(ctx context.Context) DirectFanOutResult {
	ctx, stop := context.WithDeadline(ctx, d.Deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(hysdispatch.ErrNoLongerNeeded)
	replies := make(chan indexedReply, len(d.SubRequests))
	for i, sub := range d.SubRequests {
		go func() { replies <- indexedReply{index: i, reply: d.Submit(ctx, sub)} }()
	}
	result := DirectFanOutResult{
		Replies: make([]hysdispatch.SubReply, len(d.SubRequests)),
		Replied: make([]bool, len(d.SubRequests)), outstanding: replies,
	}
	goal := time.NewTimer(time.Until(d.Policy.Goal))
	defer goal.Stop()
	for {
		result.Verdict = d.Policy.Decide(time.Now(), result.Answered, result.Lost)
		if result.Verdict == hyspartial.VerdictWait && ctx.Err() != nil {
			result.Verdict = hyspartial.VerdictGiveUp
		}
		if result.Verdict == hyspartial.VerdictGiveUp {
			cancel(hysdispatch.ErrNoLongerNeeded)
			result.CollectOutstanding()
		}
		if result.Verdict != hyspartial.VerdictWait {
			return result
		}
		select {
		case <-ctx.Done():
		case <-goal.C:
		case r := <-replies:
			result.add(r)
		}
	}
}

// add records the reply to a sub-request.
func (r *DirectFanOutResult) add(i indexedReply) {
	r.Replies[i.index], r.Replied[i.index] = i.reply, true
	if HasResult(i.reply) {
		r.Answered++
		return
	}
	r.Lost++
}

// Covered returns, for each sub-request, whether an answer made of the replies
// so far covers its shard.
func (r *DirectFanOutResult) Covered() []bool {
	covered := make([]bool, len(r.Replies))
	for i, reply := range r.Replies {
		covered[i] = r.Replied[i] && HasResult(reply)
	}
	return covered
}

// CollectOutstanding collects the replies that have not been received yet. They
// state for each sub-request whether it may have run and why it did not answer.
// They arrive at once, since the context has ended. Replies that are collected
// after a partial answer are not part of it.
func (r *DirectFanOutResult) CollectOutstanding() {
	for pending := len(r.Replies) - r.Answered - r.Lost; pending > 0; pending-- {
		r.add(<-r.outstanding)
	}
}

// HasResult reports whether a reply holds a shard result. A failure reported by
// the searcher is not a result.
func HasResult(r hysdispatch.SubReply) bool {
	return r.Status == hysquery.ShardAnswered && r.Message != nil && r.Message.Succeeded()
}

// NotRun reports whether no searcher has run any sub-request and none ever will.
func (r *DirectFanOutResult) NotRun() bool {
	for i, reply := range r.Replies {
		if !r.Replied[i] || !reply.NotRun {
			return false
		}
	}
	return true
}

// Unreachable reports whether a shard has no result because no searcher of it is in
// reach.
func (r *DirectFanOutResult) Unreachable() bool {
	for i, reply := range r.Replies {
		if r.Replied[i] && reply.Unreachable {
			return true
		}
	}
	return false
}

// RetryAfter returns the longest delay that a shard asks for before a retry.
func (r *DirectFanOutResult) RetryAfter() time.Duration {
	longest := time.Duration(0)
	for _, reply := range r.Replies {
		longest = max(longest, reply.RetryAfter)
	}
	return longest
}
