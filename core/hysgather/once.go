package hysgather

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// AnswerAtMostOnce runs a non-idempotent request on the one shard of its key,
// at most once. The caller must hold the claim on the request id. The outcome
// is complete, not run (only if nothing was sent and never will be) or unknown.
// The end of the context does not stop it: what was sent can't be taken back,
// and its outcome must be recorded.
func (g *Gatherer) AnswerAtMostOnce(ctx context.Context, r Request) hysquery.Answer {
	deadline := g.now().Add(r.timeLimit())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	q := &queryRun{gatherer: g, request: r, deadline: deadline}
	p, ok := g.pinSnapshot(r.Query.Service)
	if !ok {
		return hysquery.NotRun(r.Query.RequestID, "no complete shard map is known", unavailableRetryAfter)
	}
	answer, gone := q.onceAt(ctx, p)
	for attempt := 1; gone && attempt < maxAttempts; attempt++ {
		if p, ok = q.awaitNewer(ctx, p, deadline); !ok {
			break
		}
		answer, gone = q.onceAt(ctx, p)
	}
	return answer
}

// onceAt runs the request at one snapshot. It reports whether the snapshot is
// gone, in which case the request has not run and may run at a newer one.
func (q *queryRun) onceAt(ctx context.Context, p pinnedSnapshot) (hysquery.Answer, bool) {
	query := q.request.Query
	owner, ok := p.shardMap.Owner(hysquery.KeyHash(query.Key))
	if !ok || !slices.Contains(owner.Versions, p.version) {
		return hysquery.NotRun(query.RequestID, "no searcher of the shard is known to serve the version", unavailableRetryAfter), false
	}
	part := q.request.part(p, q.deadline)
	part.Shards = []hysservice.ShardID{owner.Shard}
	order := q.gatherer.rank(query.Service, owner.Shard)
	reply := q.gatherer.sendOnce(ctx, order, part)
	return onceAnswer(query.RequestID, p, owner, reply), reply.NotRun && snapshotGone(reply)
}

// snapshotGone reports whether a reply says that the snapshot is no longer
// served.
func snapshotGone(reply hysdispatch.SubReply) bool {
	return reply.Status == hysquery.ShardVersionGone || reply.Status == hysquery.ShardEpochGone
}

// sendOnce sends the part to the dispatchers in order. It goes on to the next
// one only if the last one has certainly not sent the part and never will.
func (g *Gatherer) sendOnce(ctx context.Context, order hysmember.Instances, part Part) hysdispatch.SubReply {
	refusal := hysdispatch.SubReply{
		Status: hysquery.ShardUnavailable, Reason: "the shard has no dispatcher", RetryAfter: unavailableRetryAfter, NotRun: true,
	}
	for _, to := range order[:min(len(order), maxDispatchers)] {
		if ctx.Err() != nil {
			break
		}
		replies, err := g.send(ctx, to, part)
		if errors.Is(err, ErrNotSent) {
			refusal.Reason = "no dispatcher of the shard can be reached"
			continue
		}
		matching, err := matchReplies(event{send: &partSend{part: part}, replies: replies, err: err})
		if err != nil {
			return hysdispatch.SubReply{Status: hysquery.ShardTimeout, Reason: "the shard's dispatcher did not reply"}
		}
		refusal = matching[0]
		if !refusal.NotRun || !g.mayTryNext(refusal.Status) {
			return refusal
		}
	}
	return refusal
}

// mayTryNext reports whether another dispatcher may run what one has refused.
// After a refusal for overload another one is tried only within the budget.
func (g *Gatherer) mayTryNext(status hysquery.ShardStatus) bool {
	return status == hysquery.ShardUnavailable || status == hysquery.ShardOverloaded && g.budget.TrySpend(0)
}

// onceAnswer returns the answer for the reply to a non-idempotent request.
func onceAnswer(id hysquery.RequestID, p pinnedSnapshot, owner hyssnapshot.Range, reply hysdispatch.SubReply) hysquery.Answer {
	if reply.Status == hysquery.ShardAnswered {
		answer := newAnswer(id, p)
		addShard(&answer, owner, reply)
		setOutcome(&answer, true)
		return answer
	}
	if reply.NotRun && reply.Status == hysquery.ShardQuarantined {
		// The request is refused until an operator lifts the quarantine.
		answer := hysquery.NotRun(id, reply.Reason, 0)
		addShard(&answer, owner, reply)
		return answer
	}
	if reply.NotRun {
		return hysquery.NotRun(id, reply.Reason, max(reply.RetryAfter, time.Millisecond))
	}
	return hysquery.Unknown(id, reply.Status.String()+": "+reply.Reason)
}
