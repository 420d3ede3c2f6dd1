package hysgather

import (
	"encoding/json"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// merge returns the answer of an attempt. Its coverage states each key range of
// the shard map once, in key order.
func (f *fanOut) merge() hysquery.Answer {
	answer := newAnswer(f.query.request.Query.RequestID, f.snapshot)
	for _, s := range f.shards {
		reply := s.reply
		if !s.final && reply.NotRun {
			reply = f.timeoutReply(s)
		}
		addShard(&answer, s.Range, reply)
	}
	return answer
}

// newAnswer returns an answer at a snapshot, without any shards.
func newAnswer(id hysquery.RequestID, p pinnedSnapshot) hysquery.Answer {
	return hysquery.Answer{
		RequestID: id, Version: p.version, Epoch: p.shardMap.Epoch, Hits: []json.RawMessage{},
	}
}

// addShard adds a shard's coverage to an answer, and its hits if it answered.
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

// betterCovered returns the answer that covers more of the key space, the newer
// one if both cover the same.
func betterCovered(older, newer hysquery.Answer) hysquery.Answer {
	if covered(older) > covered(newer) {
		return older
	}
	return newer
}

// covered returns the size of the key space that an answer covers.
func covered(a hysquery.Answer) uint64 {
	width := uint64(0)
	for _, c := range a.Coverage {
		if c.Status == hysquery.ShardAnswered {
			width += c.To - c.From
		}
	}
	return width
}

// setOutcome sets the outcome of an answer. A request is not run only if it was
// sent to no searcher in any attempt.
func setOutcome(a *hysquery.Answer, sent bool) {
	switch {
	case a.Coverage.Answered() == len(a.Coverage):
		a.Outcome, a.RetryAfter = hysquery.OutcomeComplete, 0
	case !sent && a.Coverage[0].Status == hysquery.ShardQuarantined:
		a.Outcome, a.Reason, a.RetryAfter = hysquery.OutcomeNotRun, a.Coverage[0].Reason, 0
	case !sent:
		a.Outcome, a.Reason = hysquery.OutcomeNotRun, a.Coverage[0].Reason
		a.RetryAfter = max(a.RetryAfter, milliseconds(overloadedRetryAfter))
	default:
		a.Outcome, a.Reason = hysquery.OutcomePartial, "some shards did not answer"
	}
}
