package hysgather

import (
	"context"
	"time"

	"hyssopshore/core/hysquery"
)

// snapshotInterval is how often a query whose snapshot is gone checks for a
// newer one.
const snapshotInterval = 10 * time.Millisecond

// queryRun is the execution of one query, over all of its attempts.
type queryRun struct {
	gatherer *Gatherer
	request  Request
	deadline time.Time
	// sent is true once a searcher may have been sent any part, in any attempt.
	sent bool
}

// run starts the query at a snapshot, and again at a newer one if searchers no
// longer serve it, up to maxAttempts times.
func (q *queryRun) run(ctx context.Context) hysquery.Answer {
	p, ok := q.gatherer.pinSnapshot(q.request.Query.Service)
	if !ok {
		return hysquery.NotRun(q.request.Query.RequestID, "no complete shard map is known", unavailableRetryAfter)
	}
	answer, gone := q.timedAttempt(ctx, &p)
	for attempt := 1; gone && attempt < maxAttempts; attempt++ {
		var next hysquery.Answer
		next, gone = q.timedAttempt(ctx, &p)
		answer = betterCovered(answer, next)
	}
	setOutcome(&answer, q.sent)
	return answer
}

// timedAttempt runs the query at a snapshot. If searchers no longer serve it,
// it waits for a newer one while as much time remains as the attempt took, puts
// that into p and returns true.
func (q *queryRun) timedAttempt(ctx context.Context, p *pinnedSnapshot) (hysquery.Answer, bool) {
	started := q.gatherer.now()
	answer, gone := q.attempt(ctx, *p)
	if !gone || ctx.Err() != nil {
		return answer, false
	}
	latest := q.deadline.Add(-q.gatherer.now().Sub(started))
	next, ok := q.awaitNewer(ctx, *p, latest)
	*p = next
	return answer, ok
}

// attempt runs the query at one snapshot. It reports whether a searcher replied
// that the snapshot is gone.
func (q *queryRun) attempt(ctx context.Context, p pinnedSnapshot) (hysquery.Answer, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFanOut(q, p)
	f.begin(ctx)
	f.collect(ctx)
	q.sent = q.sent || f.mayHaveSent()
	return f.merge(), f.snapshotGone
}

// awaitNewer waits, until latest, for a snapshot that is newer than the one
// that is gone.
func (q *queryRun) awaitNewer(ctx context.Context, old pinnedSnapshot, latest time.Time) (pinnedSnapshot, bool) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		if next, ok := q.newer(old); ok {
			return next, true
		}
		if q.gatherer.now().After(latest) {
			return old, false
		}
		select {
		case <-ctx.Done():
			return old, false
		case <-ticker.C:
		}
	}
}

// newer returns the current snapshot, and whether it is newer than the old one.
func (q *queryRun) newer(old pinnedSnapshot) (pinnedSnapshot, bool) {
	next, ok := q.gatherer.pinSnapshot(q.request.Query.Service)
	return next, ok && next.newerThan(old)
}
