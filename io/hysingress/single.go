package hysingress

import (
	"context"
	"net/http"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysquery"
)

// runSingle answers a request that one searcher runs.
func (e *exchange) runSingle(ctx context.Context) {
	service := e.route.Pick()
	e.record.Service = service
	reply := e.submit(nil, false)(ctx, e.subRequest(service))
	e.recordRelay(reply)
	e.recordSends(reply)
	e.record.Searcher, e.record.Reason, e.record.Queue = string(reply.Searcher), reply.Reason, reply.Queue
	switch {
	case reply.Message != nil:
		e.forwardResponse(reply)
	case callerLeft(ctx):
		e.abandon()
	case reply.NotRun:
		e.refuse(reply.Reason, reply.RetryAfter)
	case reply.Status == hysquery.ShardTimeout:
		e.fail(http.StatusGatewayTimeout, reply.Reason)
	default:
		e.fail(http.StatusBadGateway, reply.Reason)
	}
}

// forwardResponse sends the searcher's response to the caller.
func (e *exchange) forwardResponse(reply hysdispatch.SubReply) {
	e.record.Outcome = OutcomeServed
	if !reply.Message.Succeeded() {
		e.record.Outcome = OutcomePassed
	}
	e.write(reply.Message.Status, reply.Message.Header, reply.Message.Body)
}
