package hysingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmerge"
	"hyssopshore/core/hyspartial"
	"hyssopshore/core/hysservice"
)

// runQuery answers a query, which one searcher of each shard runs.
func (e *exchange) runQuery(ctx context.Context) {
	if e.delegate(ctx) {
		return
	}
	shards := e.route.Shards
	s := &hysgather.DirectFanOut{
		Submit: e.ingress.Submit, Deadline: e.deadline,
		Policy: hyspartial.Policy{
			Shards: len(shards), Minimum: e.route.MinimumShards(),
			Goal: e.due(),
		},
	}
	for _, service := range shards {
		s.SubRequests = append(s.SubRequests, e.subRequest(service))
	}
	e.record.Shards = len(shards)
	if refusal, ok := e.ingress.Admit(s.SubRequests, s.Policy.Minimum); !ok {
		e.record.Queue = refusal.Queue
		e.refuse(refusal.Reason, refusal.RetryAfter)
		return
	}
	result := s.Run(ctx)
	covered := result.Covered()
	e.record.Answered = result.Answered
	switch {
	case result.Verdict == hyspartial.VerdictAnswer:
		e.writeMerged(result)
		if result.Answered < len(shards) {
			e.flush()
		}
		e.observeLateness(s.Policy, result.Answered)
	case ctx.Err() != nil:
		e.abandon()
	case result.NotRun():
		e.refuse(firstMissingReason(result), result.RetryAfter())
	default:
		e.fail(http.StatusGatewayTimeout, firstMissingReason(result))
	}
	// The caller has the answer. The record still needs the state of the other
	// sub-requests.
	result.CollectOutstanding()
	for _, reply := range result.Replies {
		e.record.Sends += reply.Sends
	}
	e.record.Missing = missingShards(shards, covered, result.Replies)
}

// observeLateness records how late a partial answer was sent. It skips an answer
// that covers no more than the minimum, which may have waited for the minimum, and
// an answer for another instance, which was not written to a socket here.
func (e *exchange) observeLateness(p hyspartial.Policy, answered int) {
	if answered <= p.Minimum || answered == p.Shards || e.delegated {
		return
	}
	e.ingress.lateness.Observe(time.Since(p.Goal))
}

// replyMargin returns how long before the goal a partial answer is sent.
func (e *exchange) replyMargin() time.Duration {
	if e.delegated {
		return replyMargin + hopMargin
	}
	return replyMargin
}

// missingShards returns the shards that are not covered, with the reasons.
func missingShards(shards []hysservice.Name, covered []bool, replies []hysdispatch.SubReply) []MissingShard {
	var all []MissingShard
	for i, reply := range replies {
		if covered[i] {
			continue
		}
		m := MissingShard{Service: shards[i], Searcher: reply.Searcher, Status: reply.Status, Reason: reply.Reason, Sends: reply.Sends}
		if hysgather.HasResult(reply) {
			m.Reason = "its part came after the answer"
		}
		all = append(all, m)
	}
	return all
}

// firstMissingReason returns why the first shard without a result has none.
func firstMissingReason(r hysgather.DirectFanOutResult) string {
	for i, reply := range r.Replies {
		if r.Replied[i] && !hysgather.HasResult(reply) {
			return reply.Reason
		}
	}
	return "too few shards answered in time"
}

// writeMerged merges the shard results and answers the request with them.
func (e *exchange) writeMerged(r hysgather.DirectFanOutResult) {
	var signatures []string
	var shardResults [][]byte
	for _, reply := range r.Replies {
		if hysgather.HasResult(reply) {
			signatures = append(signatures, e.signature(reply))
			shardResults = append(shardResults, reply.Message.Body)
		}
	}
	e.record.Outcome = OutcomeServed
	if r.Answered < len(r.Replies) {
		e.record.Outcome = OutcomePartial
	}
	names := e.ingress.Headers
	e.write(http.StatusOK, http.Header{
		"Content-Type":   {"application/octet-stream"},
		names.RequestID:  {string(e.record.ID)},
		names.Signatures: {strings.Join(signatures, ", ")},
		names.Missing:    {strconv.Itoa(len(r.Replies) - r.Answered)},
	}, hysmerge.Greatest(shardResults, e.route.TopK))
}

// signature returns the searcher's signature of its shard result.
func (e *exchange) signature(reply hysdispatch.SubReply) string {
	return reply.Message.Header.Get(e.ingress.Headers.Signature)
}
