package hysforward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
)

// maxRetryAfter bounds what a searcher may ask to wait.
const maxRetryAfter = 30 * time.Second

// Send runs a sub-request on a searcher. The end of the context closes its
// connection.
func (c *Client) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	conn, err := c.acquire(ctx, s)
	if err != nil {
		return notConnected(ctx, err)
	}
	reused := conn.kept
	result, err := c.exchange(ctx, s, conn, sub)
	if result.Fault != hysdispatch.FaultLost || !errors.Is(err, ErrNothingRead) {
		return result
	}
	if reused {
		// The searcher may have closed an idle connection.
		result.Fault = hysdispatch.FaultSilent
		return result
	}
	c.noteReset(keyOf(s))
	return result
}

func notConnected(ctx context.Context, err error) hysdispatch.Result {
	fault := hysdispatch.FaultRefused
	switch {
	case ctx.Err() != nil:
		fault = hysdispatch.FaultCancelled
	case errors.Is(err, ErrConnectionCap):
		fault = hysdispatch.FaultShed
	}
	return hysdispatch.Result{Fault: fault, Reason: err.Error(), NotSent: true}
}

func (c *Client) exchange(ctx context.Context, s hysmember.Searcher, conn *connection, sub hysdispatch.SubRequest) (hysdispatch.Result, error) {
	left := time.Until(sub.Deadline).Milliseconds()
	if left <= 0 {
		c.release(keyOf(s), conn, true)
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "the deadline has passed", NotSent: true}, nil
	}
	id := string(sub.RequestID)
	r, err := conn.exchange(ctx, outgoing{
		request: sub.Message, idField: c.headers.RequestID, id: id,
		fields: http.Header{
			c.headers.RequestID: {id},
			c.headers.Deadline:  {strconv.FormatInt(left, 10)},
			c.headers.Searcher:  {string(s.ID)},
		},
	})
	c.release(keyOf(s), conn, err == nil && r.reusable)
	if err != nil {
		return lost(ctx, err), fmt.Errorf("exchange with %s: %w", s.ID, err)
	}
	return c.result(r.response), nil
}

func lost(ctx context.Context, err error) hysdispatch.Result {
	if ctx.Err() != nil {
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "cancelled"}
	}
	return hysdispatch.Result{Fault: hysdispatch.FaultLost, Reason: err.Error()}
}

// result tells what a response means for its sub-request.
func (c *Client) result(r *hysmessage.Response) hysdispatch.Result {
	signed := r.Header.Get(c.headers.Signature) != ""
	unrun := r.Header.Get(c.headers.NotRun) != ""
	encoded := r.Header.Get("Content-Encoding") != ""
	result := hysdispatch.Result{Reason: "status " + strconv.Itoa(r.Status)}
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		result.Fault, result.NotSent = hysdispatch.FaultMisdirected, true
	case unrun:
		result.Fault, result.NotSent = hysdispatch.FaultShed, true
		result.RetryAfter = retryAfter(r.Header)
	case !signed || encoded:
		result.Fault, result.Reason = hysdispatch.FaultLost, "the response is not the searcher's"
	case r.Status >= http.StatusInternalServerError:
		result.Fault, result.Message = hysdispatch.FaultFailed, r
	default:
		result.Message = r
	}
	return result
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		// Without a time in seconds the dispatcher's own pause holds.
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
