package hysforward

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
)

// Send runs a sub-request on a searcher. If the context ends first, the
// connection is closed.
func (c *Client) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	conn, err := c.acquire(ctx, s)
	if err != nil {
		return notConnected(ctx, err)
	}
	reused := conn.reused
	result, err := c.exchange(ctx, s, conn, sub)
	if result.Fault != hysdispatch.FaultLost || !errors.Is(err, ErrNoResponse) {
		return result
	}
	if reused {
		// The searcher may have closed the idle connection before the request
		// arrived.
		result.Fault = hysdispatch.FaultSilent
		return result
	}
	c.recordReset(keyOf(s))
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
	return hysdispatch.Result{Fault: fault, Reason: err.Error(), NotRun: true}
}

func (c *Client) exchange(ctx context.Context, s hysmember.Searcher, conn *connection, sub hysdispatch.SubRequest) (hysdispatch.Result, error) {
	remaining := time.Until(sub.Deadline).Milliseconds()
	if remaining <= 0 {
		c.release(keyOf(s), conn, true)
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "the deadline has passed", NotRun: true}, nil
	}
	id, began := string(sub.RequestID), time.Now()
	r, err := conn.exchange(ctx, outgoing{
		request: sub.Message, idField: c.headers.RequestID, id: id, leavingField: c.headers.Leaving,
		fields: http.Header{
			c.headers.RequestID: {id},
			c.headers.Deadline:  {strconv.FormatInt(remaining, 10)},
			c.headers.Searcher:  {string(s.ID)},
		},
	})
	c.release(keyOf(s), conn, err == nil && r.reusable)
	if err != nil {
		c.observeFailure(ctx, s, began, err)
		result := exchangeFailed(ctx, err)
		result.Draining = r.leaving
		return result, fmt.Errorf("exchange with %s: %w", s.ID, err)
	}
	c.observer.Heard(s.ID)
	result := c.result(r.response)
	// A response from another searcher at the address does not apply to the
	// intended one.
	result.Draining = r.leaving && result.Fault != hysdispatch.FaultMisdirected
	return result, nil
}

func exchangeFailed(ctx context.Context, err error) hysdispatch.Result {
	if ctx.Err() != nil {
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "cancelled"}
	}
	return hysdispatch.Result{Fault: hysdispatch.FaultLost, Reason: err.Error()}
}

// result converts a response to the result of its sub-request.
func (c *Client) result(r *hysmessage.Response) hysdispatch.Result {
	signed := r.Header.Get(c.headers.Signature) != ""
	notRun := r.Header.Get(c.headers.NotRun) != ""
	encoded := r.Header.Get("Content-Encoding") != ""
	result := hysdispatch.Result{Reason: "status " + strconv.Itoa(r.Status)}
	if r.Status != http.StatusMisdirectedRequest && (signed || notRun) {
		result.Limit = hyslimit.ParseStatement(r.Header.Values(c.headers.Limit))
	}
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		result.Fault, result.NotRun = hysdispatch.FaultMisdirected, true
	case notRun:
		result.Fault, result.NotRun = hysdispatch.FaultShed, true
	case !signed || encoded:
		result.Fault, result.Reason = hysdispatch.FaultLost, "the response is not the searcher's"
	case r.Status >= http.StatusInternalServerError:
		result.Fault, result.Message = hysdispatch.FaultFailed, r
	default:
		result.Message = r
	}
	if notRun || r.Status == http.StatusServiceUnavailable {
		delay, problem := parseRetryAfter(r.Header)
		result.RetryAfter = delay
		result.Reason += problem
	}
	return result
}

// maxRetryAfter keeps the conversion of Retry-After from overflowing. The
// dispatcher applies a lower limit.
const maxRetryAfter = 24 * time.Hour

// parseRetryAfter returns how long a searcher asks not to be sent requests, and
// a description of an invalid value. Without a time in seconds the dispatcher's
// own backoff applies.
func parseRetryAfter(h http.Header) (delay time.Duration, problem string) {
	value := h.Get("Retry-After")
	if value == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Sprintf(", Retry-After %.40q is no number of seconds", value)
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter, fmt.Sprintf(", Retry-After %.40q is cut", value)
	}
	return time.Duration(seconds * float64(time.Second)), ""
}
