package hysgather

import (
	"encoding/json"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// merge makes the answer of an attempt. It states each key range of the shard
// map once, in key order.
func (f *fanOut) merge() hysquery.Answer {
	answer := newAnswer(f.query.request.Query.RequestID, f.pin)
	for _, s := range f.shards {
		reply := s.reply
		if !s.final && reply.NotRun {
			reply = f.silent(s)
		}
		addShard(&answer, s.Range, reply)
	}
	return answer
}

func newAnswer(id hysquery.RequestID, p pin) hysquery.Answer {
	return hysquery.Answer{
		RequestID: id, Version: p.version, Epoch: p.shardMap.Epoch, Hits: []json.RawMessage{},
	}
}

func addShard(a *hysquery.Answer, r hyssnapshot.Range, reply hysdispatch.SubReply) {
	a.Coverage = append(a.Coverage, hysquery.ShardCoverage{
		Shard: r.Shard, From: r.From, To: r.To, Status: reply.Status, Reason: reply.Reason,
	})
	a.RetryAfter = max(a.RetryAfter, milliseconds(reply.RetryAfter))
	if reply.Status != hysquery.ShardAnswered {
		return
	}
	for _, h := range reply.Hits {
		a.Hits = append(a.Hits, json.RawMessage(h))
	}
}

func milliseconds(d time.Duration) hysservice.Milliseconds {
	return hysservice.Milliseconds(d.Milliseconds())
}

// wider returns the answer that covers more of the key space, the newer one if
// they cover the same.
func wider(older, newer hysquery.Answer) hysquery.Answer {
	if covered(older) > covered(newer) {
		return older
	}
	return newer
}

func covered(a hysquery.Answer) uint64 {
	width := uint64(0)
	for _, c := range a.Coverage {
		if c.Status == hysquery.ShardAnswered {
			width += c.To - c.From
		}
	}
	return width
}

// conclude sets the outcome. Only a request that was sent to no searcher, in
// any attempt, did not run.
func conclude(a *hysquery.Answer, sent bool) {
	switch {
	case a.Coverage.Answered() == len(a.Coverage):
		a.Outcome, a.RetryAfter = hysquery.OutcomeComplete, 0
	case !sent && a.Coverage[0].Status == hysquery.ShardQuarantined:
		a.Outcome, a.Reason, a.RetryAfter = hysquery.OutcomeNotRun, a.Coverage[0].Reason, 0
	case !sent:
		a.Outcome, a.Reason = hysquery.OutcomeNotRun, a.Coverage[0].Reason
		a.RetryAfter = max(a.RetryAfter, milliseconds(overloadedRetry))
	default:
		a.Outcome, a.Reason = hysquery.OutcomePartial, "some shards did not answer"
	}
}
