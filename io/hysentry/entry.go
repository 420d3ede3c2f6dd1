// Package hysentry implements the HTTP interface for callers: POST /v1/query runs
// a request and returns its final answer, and GET /health reports whether this
// instance accepts requests. docs/CALLERS.md describes the interface.
//
// # Usage
//
//	e := &hysentry.Entry{State: keeper.State, Answer: gatherer.Answer, ...}
//	e.Register(server)
package hysentry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/io/hyshttp"
)

// MaxBodyBytes is the maximum size of a request, in bytes. It is larger than
// hysquery.MaxBodyBytes to allow for the fields beside the body that goes to the
// searchers.
const MaxBodyBytes = hysquery.MaxBodyBytes + 8<<10

// Delays after which a caller may send a refused request again.
const (
	busyRetryDelay     = 50 * time.Millisecond
	notReadyRetryDelay = time.Second
	storeRetryDelay    = time.Second
)

// recordTimeout limits how long the answer to a claimed request may take to be
// recorded. It is independent of the caller's deadline, which may have passed.
const recordTimeout = 2 * time.Second

// OutcomeHeader is the response header that repeats the outcome of a request.
const OutcomeHeader = "Hyssopshore-Outcome"

// Callbacks of an Entry.
type (
	// StateFunc returns the configuration in force.
	StateFunc func() hysticket.State
	// AnswerFunc runs a request and returns its answer.
	AnswerFunc func(context.Context, hysgather.Request) hysquery.Answer
	// ClaimFunc claims a request id, so that the request runs at most once. It
	// reports whether this call won the claim; if not, the claim returned is
	// that of an earlier send.
	ClaimFunc func(context.Context, hysquery.RequestID) (hysclaim.Claim, bool, error)
	// RecordFunc stores the answer to a claimed request.
	RecordFunc func(context.Context, hysclaim.Claim, hysquery.Answer) error
	// ObserveFunc receives each final answer and its latency. The group and the
	// service of the query are empty unless they are configured.
	ObserveFunc func(hysquery.Query, hysquery.Answer, time.Duration)
)

// Entry handles the requests of callers. It is safe for concurrent use.
type Entry struct {
	State StateFunc
	// Answer runs idempotent requests, AnswerOnce non-idempotent ones that have
	// been claimed.
	Answer     AnswerFunc
	AnswerOnce AnswerFunc
	Claim      ClaimFunc
	Record     RecordFunc
	// Ready reports whether this instance accepts requests.
	Ready func() bool
	// Observe is optional.
	Observe ObserveFunc
	// Concurrency is the maximum number of requests that run at the same time.
	Concurrency int64

	running atomic.Int64
}

// Register adds the routes for callers to a server.
func (e *Entry) Register(h *server.Hertz) {
	h.POST("/v1/query", e.query)
	h.GET("/health", e.health)
}

// Failure returns the answer to a request that no handler answered. With status
// 500 (a handler panicked) the outcome is unknown, since the request may have run;
// with any other status the request did not run.
func Failure(status int, reason string) any {
	switch status {
	case http.StatusInternalServerError:
		return hysquery.Unknown("", reason)
	case http.StatusServiceUnavailable:
		return hysquery.NotRun("", reason, hyshttp.BusyRetryAfter.Duration())
	default:
		return hysquery.NotRun("", reason, 0)
	}
}

// Running returns the number of requests that are running.
func (e *Entry) Running() int64 { return e.running.Load() }

func (e *Entry) health(_ context.Context, c *app.RequestContext) {
	if !e.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (e *Entry) query(ctx context.Context, c *app.RequestContext) {
	defer e.running.Add(-1)
	running := e.running.Add(1)
	start := time.Now()
	if !e.Ready() {
		// Makes the caller open a new connection for its next request, which the
		// load balancer then routes to another instance.
		c.SetConnectionClose()
	}
	if running > e.Concurrency {
		e.refuse(c, hysquery.Query{}, start, refusal{http.StatusTooManyRequests, "too many requests run at this instance", busyRetryDelay})
		return
	}
	var q hysquery.Query
	if err := hyshttp.Read(c, &q); err != nil {
		e.refuse(c, hysquery.Query{}, start, refusal{status: http.StatusBadRequest, reason: callerMessage(err)})
		return
	}
	request, refused := e.check(&q)
	if refused != nil {
		e.refuse(c, q, start, *refused)
		return
	}
	answer := e.run(ctx, request)
	e.reply(c, q, start, statusOf(answer), answer)
}

func (e *Entry) refuse(c *app.RequestContext, q hysquery.Query, start time.Time, r refusal) {
	e.reply(c, q, start, r.status, hysquery.NotRun(q.RequestID, r.reason, r.retryAfter))
}

func (e *Entry) reply(c *app.RequestContext, q hysquery.Query, start time.Time, status int, answer hysquery.Answer) {
	if answer.Coverage == nil {
		answer.Coverage = hysquery.Coverage{}
	}
	if answer.Hits == nil {
		answer.Hits = []json.RawMessage{}
	}
	c.Header(OutcomeHeader, answer.Outcome.String())
	hyshttp.SetRetryAfter(c, answer.RetryAfter)
	hyshttp.Write(c, status, answer)
	if e.Observe != nil {
		e.Observe(e.withConfiguredNames(q), answer, time.Since(start))
	}
}

// withConfiguredNames returns the query with its group and service cleared if they
// are not configured. Otherwise callers could create metric series at will.
func (e *Entry) withConfiguredNames(q hysquery.Query) hysquery.Query {
	state := e.State()
	if _, ok := state.Group(q.Group); !ok {
		q.Group = ""
	}
	if _, ok := state.Service(q.Service); !ok {
		q.Service = ""
	}
	return q
}

func (e *Entry) run(ctx context.Context, r hysgather.Request) hysquery.Answer {
	if !r.Query.NonIdempotent {
		return e.Answer(ctx, r)
	}
	// A non-idempotent request is not canceled when its caller disconnects: its
	// outcome must be recorded for a resend.
	return e.runOnce(context.WithoutCancel(ctx), r)
}

// runOnce claims a request and, if it wins the claim, runs the request and records
// its answer. Otherwise it returns the answer of the earlier send, if recorded.
func (e *Entry) runOnce(ctx context.Context, r hysgather.Request) hysquery.Answer {
	id := r.Query.RequestID
	deadline := time.Now().Add(r.Query.Deadline.Duration())
	claimCtx, cancelClaim := context.WithDeadline(ctx, deadline)
	defer cancelClaim()
	claim, won, err := e.Claim(claimCtx, id)
	if err != nil {
		return unclaimedAnswer(id, err)
	}
	if !won {
		return earlierAnswer(claim)
	}
	answer := e.answerClaimed(ctx, r, deadline)
	recordCtx, cancelRecord := context.WithTimeout(ctx, recordTimeout)
	defer cancelRecord()
	if err := e.Record(recordCtx, claim, answer); err != nil && answer.Outcome == hysquery.OutcomeNotRun {
		answer.Reason += "; its outcome was not recorded, a resend is answered with unknown"
	}
	return answer
}

// unclaimedAnswer returns the answer to a request that could not be claimed and
// therefore was not sent.
func unclaimedAnswer(id hysquery.RequestID, err error) hysquery.Answer {
	switch {
	case errors.Is(err, hysclaim.ErrExpired):
		return hysquery.NotRun(id, "request-id is older than the retention of claims", 0)
	case errors.Is(err, hysclaim.ErrFull):
		return hysquery.NotRun(id, "too many requests were claimed in this span of time", hysclaim.WindowLength)
	default:
		return hysquery.NotRun(id, "the platform's store did not confirm the claim on this request, so it was not sent", storeRetryDelay)
	}
}

// answerClaimed runs a claimed request within the time that remains until its
// deadline; claiming it has used up some of that time.
func (e *Entry) answerClaimed(ctx context.Context, r hysgather.Request, deadline time.Time) hysquery.Answer {
	remaining := hysservice.Milliseconds(time.Until(deadline).Milliseconds())
	if remaining < 1 {
		return hysquery.NotRun(r.Query.RequestID, "the deadline passed before the request could be sent", storeRetryDelay)
	}
	r.Query.Deadline = remaining
	return e.AnswerOnce(ctx, r)
}

// earlierAnswer returns the answer to a resend: the recorded answer of the first
// send, or an unknown outcome if none was recorded.
func earlierAnswer(claim hysclaim.Claim) hysquery.Answer {
	if claim.Answer != nil {
		return *claim.Answer
	}
	return hysquery.Unknown(claim.ID, "an earlier send of this request may have run")
}

// assignID generates an id for an idempotent request that came without one.
func assignID(q *hysquery.Query) {
	if q.RequestID == "" && !q.NonIdempotent {
		q.RequestID = hysquery.RequestID(uuid.NewString())
	}
}
