package hysgather

import (
	"context"
	"slices"
	"time"

	"hyssopshore/core/hysquery"
)

// postpone schedules a resend of shards that were refused for overload, after
// the delay that the dispatchers gave, within the budget and only if at least
// twice the delay remains. If all shards of a query were refused, it is
// answered as not run instead.
func (f *fanOut) postpone(ctx context.Context, shards []*shard) {
	delay := overloadedRetryAfter
	for _, s := range shards {
		delay = max(delay, s.reply.RetryAfter)
	}
	g := f.query.gatherer
	inTime := g.now().Add(2 * delay).Before(f.query.deadline)
	if len(shards) == 0 || !inTime || !f.answerPossible() || !g.budget.TrySpend(0) {
		return
	}
	for _, s := range shards {
		s.inFlight++
		s.postponed = true
	}
	time.AfterFunc(delay, func() { f.emit(ctx, event{retry: shards}) })
}

// answerPossible reports whether a shard has answered or may still answer one
// of the sends in flight.
func (f *fanOut) answerPossible() bool {
	return slices.ContainsFunc(f.shards, func(s *shard) bool {
		return s.reply.Status == hysquery.ShardAnswered || s.inFlight > 0 && !s.postponed
	})
}

// abandonPostponed abandons the postponed resends once all other shards were
// refused too, so that the refusal is not delayed.
func (f *fanOut) abandonPostponed() {
	if f.answerPossible() {
		return
	}
	for _, s := range f.shards {
		s.clearPostponed()
	}
}

// clearPostponed ends the postponement of a shard, and reports whether it was
// postponed.
func (s *shard) clearPostponed() bool {
	if !s.postponed {
		return false
	}
	s.postponed = false
	s.inFlight--
	return true
}

// retryPostponed resends postponed shards to the dispatchers that refused them.
func (f *fanOut) retryPostponed(ctx context.Context, shards []*shard) {
	var due []*shard
	for _, s := range shards {
		if s.clearPostponed() && !s.final {
			s.asked--
			due = append(due, s)
		}
	}
	f.sendToNext(ctx, due)
	f.finishShards()
}
