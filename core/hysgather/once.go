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

// AnswerAtMostOnce runs a non-idempotent request on the one shard of its key, at most one
// time. The caller must hold the claim on the request id. The outcome is
// complete, not run (only if nothing was sent and never will be) or unknown.
// The end of the context does not stop it: what was sent can't be taken back,
// and its outcome is to be recorded.
func (g *Gatherer) AnswerAtMostOnce(ctx context.Context, r Request) hysquery.Answer {
	deadline := g.now().Add(r.budget())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	q := &gathering{gatherer: g, request: r, deadline: deadline}
	p, ok := g.pin(r.Query.Service)
	if !ok {
		return hysquery.NotRun(r.Query.RequestID, "no complete shard map is known", unavailableRetry)
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
// gone, so that the request has not run and may run at a newer one.
func (q *gathering) onceAt(ctx context.Context, p pin) (hysquery.Answer, bool) {
	query := q.request.Query
	owner, ok := p.shardMap.Owner(hysquery.KeyHash(query.Key))
	if !ok || !slices.Contains(owner.Versions, p.version) {
		return hysquery.NotRun(query.RequestID, "no searcher of the shard is known to serve the version", unavailableRetry), false
	}
	part := q.request.part(p, q.deadline)
	part.Shards = []hysservice.ShardID{owner.Shard}
	order := q.gatherer.rank(query.Service, owner.Shard)
	reply := q.gatherer.sendOnce(ctx, order, part)
	return onceAnswer(query.RequestID, p, owner, reply), reply.NotRun && snapshotGone(reply)
}

func snapshotGone(reply hysdispatch.SubReply) bool {
	return reply.Status == hysquery.ShardVersionGone || reply.Status == hysquery.ShardEpochGone
}

// sendOnce asks the dispatchers in their order, a further one only if the last
// has certainly not sent the part and never will.
func (g *Gatherer) sendOnce(ctx context.Context, order hysmember.Instances, part Part) hysdispatch.SubReply {
	unsent := hysdispatch.SubReply{
		Status: hysquery.ShardUnavailable, Reason: "the shard has no dispatcher", RetryAfter: unavailableRetry, NotRun: true,
	}
	for _, to := range order[:min(len(order), maxDispatchers)] {
		if ctx.Err() != nil {
			break
		}
		replies, err := g.send(ctx, to, part)
		if errors.Is(err, ErrNotSent) {
			unsent.Reason = "no dispatcher of the shard can be reached"
			continue
		}
		matching, err := matched(event{leg: &leg{part: part}, replies: replies, err: err})
		if err != nil {
			return hysdispatch.SubReply{Status: hysquery.ShardTimeout, Reason: "the shard's dispatcher did not reply"}
		}
		unsent = matching[0]
		if !unsent.NotRun || !g.elsewhere(unsent.Status) {
			return unsent
		}
	}
	return unsent
}

// elsewhere reports whether another dispatcher may run what one has refused. A
// refusal for overload is only doubted within the budget.
func (g *Gatherer) elsewhere(status hysquery.ShardStatus) bool {
	return status == hysquery.ShardUnavailable || status == hysquery.ShardOverloaded && g.budget.TrySpend(0)
}

func onceAnswer(id hysquery.RequestID, p pin, owner hyssnapshot.Range, reply hysdispatch.SubReply) hysquery.Answer {
	if reply.Status == hysquery.ShardAnswered {
		answer := newAnswer(id, p)
		addShard(&answer, owner, reply)
		conclude(&answer, true)
		return answer
	}
	if reply.NotRun && reply.Status == hysquery.ShardQuarantined {
		// It is refused until an operator lifts the quarantine.
		answer := hysquery.NotRun(id, reply.Reason, 0)
		addShard(&answer, owner, reply)
		return answer
	}
	if reply.NotRun {
		return hysquery.NotRun(id, reply.Reason, max(reply.RetryAfter, time.Millisecond))
	}
	return hysquery.Unknown(id, reply.Status.String()+": "+reply.Reason)
}
