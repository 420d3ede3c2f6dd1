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
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
)

// Send runs a sub-request on a searcher. The end of the context closes its
// connection.
func (c *Client) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	conn, err := c.acquire(ctx, s)
	if err != nil {
		return notConnected(ctx, err)
	}
	reused := conn.kept
	result, err := c.exchange(ctx, s, conn, sub)
	if result.Fault != hysdispatch.FaultLost || !errors.Is(err, ErrNoResponse) {
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
	return hysdispatch.Result{Fault: fault, Reason: err.Error(), NotRun: true}
}

func (c *Client) exchange(ctx context.Context, s hysmember.Searcher, conn *connection, sub hysdispatch.SubRequest) (hysdispatch.Result, error) {
	left := time.Until(sub.Deadline).Milliseconds()
	if left <= 0 {
		c.release(keyOf(s), conn, true)
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "the deadline has passed", NotRun: true}, nil
	}
	id := string(sub.RequestID)
	r, err := conn.exchange(ctx, outgoing{
		request: sub.Message, idField: c.headers.RequestID, id: id, leavingField: c.headers.Leaving,
		fields: http.Header{
			c.headers.RequestID: {id},
			c.headers.Deadline:  {strconv.FormatInt(left, 10)},
			c.headers.Searcher:  {string(s.ID)},
		},
	})
	c.release(keyOf(s), conn, err == nil && r.reusable)
	if err != nil {
		result := lost(ctx, err)
		result.Draining = r.leaving
		return result, fmt.Errorf("exchange with %s: %w", s.ID, err)
	}
	result := c.result(r.response)
	// Another searcher at the address says nothing of the one that was meant.
	result.Draining = r.leaving && result.Fault != hysdispatch.FaultMisdirected
	return result, nil
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
		result.Fault, result.NotRun = hysdispatch.FaultMisdirected, true
	case unrun:
		result.Fault, result.NotRun = hysdispatch.FaultShed, true
	case !signed || encoded:
		result.Fault, result.Reason = hysdispatch.FaultLost, "the response is not the searcher's"
	case r.Status >= http.StatusInternalServerError:
		result.Fault, result.Message = hysdispatch.FaultFailed, r
	default:
		result.Message = r
	}
	if unrun || r.Status == http.StatusServiceUnavailable {
		rest, problem := askedRest(r.Header)
		result.RetryAfter = rest
		result.Reason += problem
	}
	return result
}

// longestRetryAfter keeps the time that a searcher asks for from overflowing. The
// dispatcher has a lower bound.
const longestRetryAfter = 24 * time.Hour

// askedRest is how long a searcher asks to be left alone, and what is wrong with
// what it says. Without a time in seconds the dispatcher's own pause holds.
func askedRest(h http.Header) (rest time.Duration, problem string) {
	value := h.Get("Retry-After")
	if value == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Sprintf(", Retry-After %.40q is no number of seconds", value)
	}
	if seconds > longestRetryAfter.Seconds() {
		return longestRetryAfter, fmt.Sprintf(", Retry-After %.40q is cut", value)
	}
	return time.Duration(seconds * float64(time.Second)), ""
}
