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

// DirectFanOut is a query that this instance dispatches itself, one sub-request for
// each shard. All of them come from one version of the configuration.
type DirectFanOut struct {
	Submit      SubmitFunc
	SubRequests []hysdispatch.SubRequest
	Policy      hyspartial.Policy
	Deadline    time.Time
}

// DirectFanOutResult is how a Spread has ended.
type DirectFanOutResult struct {
	Verdict hyspartial.Verdict
	// Replies holds the replies that came, in the order of the sub-requests;
	// Replied tells which did.
	Replies []hysdispatch.SubReply
	Replied []bool
	// Answered and Lost count the shards with a part and those without one.
	Answered int
	Lost     int
	// rest are the replies that are still to come.
	rest <-chan indexedReply
}

// indexedReply is the reply to one of the sub-requests.
type indexedReply struct {
	index int
	reply hysdispatch.SubReply
}

// Run sends the sub-requests and returns as soon as the policy has decided. The
// end of the context cancels what runs.
func (s *DirectFanOut) Run(ctx context.Context) DirectFanOutResult {
	ctx, stop := context.WithDeadline(ctx, s.Deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(hysdispatch.ErrNoLongerNeeded)
	replies := make(chan indexedReply, len(s.SubRequests))
	for i, sub := range s.SubRequests {
		go func() { replies <- indexedReply{index: i, reply: s.Submit(ctx, sub)} }()
	}
	result := DirectFanOutResult{
		Replies: make([]hysdispatch.SubReply, len(s.SubRequests)),
		Replied: make([]bool, len(s.SubRequests)), rest: replies,
	}
	goal := time.NewTimer(time.Until(s.Policy.Goal))
	defer goal.Stop()
	for {
		result.Verdict = s.Policy.Decide(time.Now(), result.Answered, result.Lost)
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
			result.take(r)
		}
	}
}

func (r *DirectFanOutResult) take(i indexedReply) {
	r.Replies[i.index], r.Replied[i.index] = i.reply, true
	if HasResult(i.reply) {
		r.Answered++
		return
	}
	r.Lost++
}

// Covered tells which shards an answer with the replies so far covers.
func (r *DirectFanOutResult) Covered() []bool {
	covered := make([]bool, len(r.Replies))
	for i, reply := range r.Replies {
		covered[i] = r.Replied[i] && HasResult(reply)
	}
	return covered
}

// CollectOutstanding takes the replies that are still to come, to know of each sub-request
// whether it may have run and why it has not answered. They come at once, since the
// context has ended. After an answer in part they are no more parts of it.
func (r *DirectFanOutResult) CollectOutstanding() {
	for pending := len(r.Replies) - r.Answered - r.Lost; pending > 0; pending-- {
		r.take(<-r.rest)
	}
}

// HasResult reports whether a reply holds a searcher's part. A searcher's failure
// is none.
func HasResult(r hysdispatch.SubReply) bool {
	return r.Status == hysquery.ShardAnswered && r.Message != nil && r.Message.Succeeded()
}

// NotRun reports whether no searcher has run any part, nor ever will.
func (r *DirectFanOutResult) NotRun() bool {
	for i, reply := range r.Replies {
		if !r.Replied[i] || !reply.NotRun {
			return false
		}
	}
	return true
}

// RetryAfter is the longest time that a shard asks to wait.
func (r *DirectFanOutResult) RetryAfter() time.Duration {
	longest := time.Duration(0)
	for _, reply := range r.Replies {
		longest = max(longest, reply.RetryAfter)
	}
	return longest
}
