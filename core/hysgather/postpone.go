package hysgather

import (
	"context"
	"slices"
	"time"

	"hyssopshore/core/hysquery"
)

// postpone asks for shards again that were refused for overload, after the
// time that the dispatcher gave, within the budget and while there is as much
// time left. A query that is refused by all of its shards is not run instead.
func (f *fanOut) postpone(ctx context.Context, shards []*shard) {
	delay := overloadedRetry
	for _, s := range shards {
		delay = max(delay, s.reply.RetryAfter)
	}
	g := f.query.gatherer
	inTime := g.now().Add(2 * delay).Before(f.query.deadline)
	if len(shards) == 0 || !inTime || !f.othersRun() || !g.budget.TrySpend(0) {
		return
	}
	for _, s := range shards {
		s.running++
		s.postponed = true
	}
	time.AfterFunc(delay, func() { f.report(ctx, event{again: shards}) })
}

// othersRun reports whether a shard has answered or may answer of the legs
// that run now.
func (f *fanOut) othersRun() bool {
	return slices.ContainsFunc(f.shards, func(s *shard) bool {
		return s.reply.Status == hysquery.ShardAnswered || s.running > 0 && !s.postponed
	})
}

// dropPostponed gives the postponed shards up once all others were refused too,
// so that the refusal is not held back.
func (f *fanOut) dropPostponed() {
	if f.othersRun() {
		return
	}
	for _, s := range f.shards {
		s.resume()
	}
}

// resume reports whether the shard was postponed, and ends that.
func (s *shard) resume() bool {
	if !s.postponed {
		return false
	}
	s.postponed = false
	s.running--
	return true
}

// askAgain asks the dispatchers that refused the shards.
func (f *fanOut) askAgain(ctx context.Context, shards []*shard) {
	var due []*shard
	for _, s := range shards {
		if s.resume() && !s.final {
			s.asked--
			due = append(due, s)
		}
	}
	f.ask(ctx, due)
	f.close()
}
