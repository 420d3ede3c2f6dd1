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

// runQuery answers a query, which one searcher of each shard runs. If most of its shards
// are lost, here and while it runs, it is delegated as a whole.
func (e *exchange) runQuery(ctx context.Context) {
	lost := e.mostlyLost()
	if e.delegate(ctx) {
		return
	}
	if e.fanOut(ctx, !lost) {
		return
	}
	if e.usedAttempts >= e.route.MaxAttempts {
		e.fail(http.StatusBadGateway, string(hysdispatch.ErrUnreachable))
		return
	}
	if !e.delegate(ctx) {
		e.fanOut(ctx, false)
	}
}

// mostlyLost reports whether so many shards are lost that the query is better delegated.
func (e *exchange) mostlyLost() bool {
	return e.ingress.MostlyLost != nil && e.ingress.MostlyLost(e.route.Shards)
}

// lostCount returns the number of lost shards.
func (e *exchange) lostCount() int {
	if e.ingress.Lost == nil {
		return 0
	}
	count := 0
	for _, service := range e.route.Shards {
		if e.ingress.Lost(service) {
			count++
		}
	}
	return count
}

// submit returns the function that runs the sub-requests.
func (e *exchange) submit(shards []hysservice.Name, delegable bool) hysgather.SubmitFunc {
	if e.ingress.Relay == nil {
		return e.ingress.Submit
	}
	return e.ingress.Relay(shards, delegable)
}

// fanOut sends the sub-requests of the query. It reports whether the request has ended.
// If it may be delegated and its searchers were lost meanwhile, it has not.
func (e *exchange) fanOut(ctx context.Context, delegable bool) bool {
	e.record.UsedAttempts = e.usedAttempts
	s := e.directFanOut(delegable)
	if refusal, ok := e.admit(s.SubRequests, s.Policy.Minimum); !ok {
		e.record.Queue = refusal.Queue
		e.refuse(refusal.Reason, refusal.RetryAfter)
		return true
	}
	result := s.Run(ctx)
	if delegable && ctx.Err() == nil && result.Verdict == hyspartial.VerdictGiveUp && result.Unreachable() && e.mostlyLost() {
		return e.giveUp(result)
	}
	covered := result.Covered()
	e.answer(ctx, s.Policy, result)
	// The caller has the answer. The record still needs the state of the other
	// sub-requests.
	result.CollectOutstanding()
	for _, reply := range result.Replies {
		e.recordSends(reply)
		e.recordRelay(reply)
	}
	e.record.Missing = missingShards(e.route.Shards, covered, result.Replies)
	return true
}

// directFanOut returns the query with a sub-request for each shard.
func (e *exchange) directFanOut(delegable bool) *hysgather.DirectFanOut {
	shards := e.route.Shards
	e.record.Shards = len(shards)
	s := &hysgather.DirectFanOut{
		Submit: e.submit(shards, delegable), Deadline: e.deadline,
		Policy: hyspartial.Policy{Shards: len(shards), Minimum: e.route.MinimumShards(), Goal: e.due()},
	}
	for _, service := range shards {
		s.SubRequests = append(s.SubRequests, e.subRequest(service))
	}
	return s
}

// answer answers the request with the result of its fan-out.
func (e *exchange) answer(ctx context.Context, p hyspartial.Policy, result hysgather.DirectFanOutResult) {
	e.record.Answered = result.Answered
	switch {
	case result.Verdict == hyspartial.VerdictAnswer:
		e.writeMerged(result)
		if result.Answered < p.Shards {
			e.flush()
		}
		e.observeLateness(p, result.Answered)
	case callerLeft(ctx):
		e.abandon()
	case result.NotRun():
		e.refuse(firstMissingReason(result), result.RetryAfter())
	default:
		e.fail(http.StatusGatewayTimeout, firstMissingReason(result))
	}
}

// admit decides whether the query may run, by the shards that are in reach. The other
// sub-requests are relayed, and the instances that run them decide about these.
func (e *exchange) admit(subs []hysdispatch.SubRequest, minimum int) (hysdispatch.SubReply, bool) {
	if e.lostCount() == 0 {
		return e.ingress.Admit(subs, minimum)
	}
	var here []hysdispatch.SubRequest
	for _, sub := range subs {
		if !e.ingress.Lost(sub.Service) {
			here = append(here, sub)
		}
	}
	if minimum -= len(subs) - len(here); minimum < 1 {
		return hysdispatch.SubReply{}, true
	}
	return e.ingress.Admit(here, minimum)
}

// giveUp ends a fan-out whose searchers were lost. It reports whether the request has
// ended here: a delegated query goes back to the instance that has delegated it.
func (e *exchange) giveUp(result hysgather.DirectFanOutResult) bool {
	runs := 0
	for _, reply := range result.Replies {
		runs = max(runs, reply.PossibleRuns)
		e.recordSends(reply)
	}
	if e.delegated {
		e.searchersLost, e.possibleRuns = true, runs
		e.record.Outcome, e.record.Reason = OutcomeFailed, string(hysdispatch.ErrUnreachable)
		return true
	}
	e.usedAttempts += runs
	return false
}

// recordSends records how often a sub-request was sent, and may have run.
func (e *exchange) recordSends(reply hysdispatch.SubReply) {
	e.record.Sends += reply.Sends
	e.record.MaxShardRuns = max(e.record.MaxShardRuns, reply.PossibleRuns)
}

// recordRelay records that another instance has run a sub-request.
func (e *exchange) recordRelay(reply hysdispatch.SubReply) {
	if reply.RelayedTo != "" {
		e.record.Relayed++
		e.record.RelayedTo = string(reply.RelayedTo)
	}
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
