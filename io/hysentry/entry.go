// Package hysentry serves callers over HTTP: POST /v1/query takes a request
// and returns its final answer, GET /health tells whether this instance takes
// requests. docs/CALLERS.md describes the interface.
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

// MaxBodyBytes is the largest request, in bytes. It leaves room for the fields
// beside the body for the searchers.
const MaxBodyBytes = hysquery.MaxBodyBytes + 8<<10

// Times after which a refused request may be sent again.
const (
	busyRetry  = 50 * time.Millisecond
	readyRetry = time.Second
	storeRetry = time.Second
)

// recordTimeout bounds the recording of an answer after the caller's deadline.
const recordTimeout = 2 * time.Second

// OutcomeHeader carries the outcome of a request beside the answer.
const OutcomeHeader = "Hyssopshore-Outcome"

// Seams of an Entry.
type (
	// StateFunc returns the configuration in force.
	StateFunc func() hysticket.State
	// AnswerFunc answers a request.
	AnswerFunc func(context.Context, hysgather.Request) hysquery.Answer
	// ClaimFunc claims a request id.
	ClaimFunc func(context.Context, hysquery.RequestID) (hysclaim.Claim, bool, error)
	// RecordFunc records the answer of a claim.
	RecordFunc func(context.Context, hysclaim.Claim, hysquery.Answer) error
	// ObserveFunc is told each final answer and how long it took. The group
	// and the service of the query are empty unless they are configured.
	ObserveFunc func(hysquery.Query, hysquery.Answer, time.Duration)
)

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	State      StateFunc
	Answer     AnswerFunc
	AnswerOnce AnswerFunc
	Claim      ClaimFunc
	Record     RecordFunc
	// Ready reports whether this instance takes requests.
	Ready func() bool
	// Observe may be left out.
	Observe ObserveFunc
	// Concurrency is how many requests run at once.
	Concurrency int64

	running atomic.Int64
}

// Register adds the callers' interface to a server.
func (e *Entry) Register(h *server.Hertz) {
	h.POST("/v1/query", e.query)
	h.GET("/health", e.health)
}

// Failure is the answer to a request that no handler answered. A daemon that
// failed can't tell whether the request ran.
func Failure(status int, reason string) any {
	if status == http.StatusInternalServerError {
		return hysquery.Unknown("", reason)
	}
	return hysquery.NotRun("", reason, 0)
}

// Running returns how many requests run now.
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
		// The caller's next request should go to another instance.
		c.SetConnectionClose()
	}
	if running > e.Concurrency {
		e.refuse(c, hysquery.Query{}, start, refusal{http.StatusTooManyRequests, "too many requests run at this instance", busyRetry})
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
		e.Observe(e.configured(q), answer, time.Since(start))
	}
}

// configured blanks names that only the caller knows.
func (e *Entry) configured(q hysquery.Query) hysquery.Query {
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
	// A request that has begun is not cut off by its caller's disconnect: its
	// outcome must be recorded for a resend.
	return e.runOnce(context.WithoutCancel(ctx), r)
}

func (e *Entry) runOnce(ctx context.Context, r hysgather.Request) hysquery.Answer {
	id := r.Query.RequestID
	deadline := time.Now().Add(r.Query.Deadline.Duration())
	claimCtx, cancelClaim := context.WithDeadline(ctx, deadline)
	defer cancelClaim()
	claim, won, err := e.Claim(claimCtx, id)
	if err != nil {
		return notClaimed(id, err)
	}
	if !won {
		return earlier(claim)
	}
	answer := e.sendOnce(ctx, r, deadline)
	recordCtx, cancelRecord := context.WithTimeout(ctx, recordTimeout)
	defer cancelRecord()
	if err := e.Record(recordCtx, claim, answer); err != nil && answer.Outcome == hysquery.OutcomeNotRun {
		answer.Reason += "; its outcome was not recorded, a resend is answered with unknown"
	}
	return answer
}

// notClaimed is the answer to a request that has no claim and is not sent.
func notClaimed(id hysquery.RequestID, err error) hysquery.Answer {
	switch {
	case errors.Is(err, hysclaim.ErrExpired):
		return hysquery.NotRun(id, "request-id is older than the retention of claims", 0)
	case errors.Is(err, hysclaim.ErrFull):
		return hysquery.NotRun(id, "too many requests were claimed in this span of time", hysclaim.WindowLength)
	default:
		return hysquery.NotRun(id, "the platform's store did not confirm the claim on this request, so it was not sent", storeRetry)
	}
}

// sendOnce runs a claimed request in the time that the claim has left.
func (e *Entry) sendOnce(ctx context.Context, r hysgather.Request, deadline time.Time) hysquery.Answer {
	left := hysservice.Milliseconds(time.Until(deadline).Milliseconds())
	if left < 1 {
		return hysquery.NotRun(r.Query.RequestID, "the deadline passed before the request could be sent", storeRetry)
	}
	r.Query.Deadline = left
	return e.AnswerOnce(ctx, r)
}

// earlier is the answer to a resend: what the first send brought, if known.
func earlier(claim hysclaim.Claim) hysquery.Answer {
	if claim.Answer != nil {
		return *claim.Answer
	}
	return hysquery.Unknown(claim.ID, "an earlier send of this request may have run")
}

// completeID gives an idempotent request an id if its caller did not.
func completeID(q *hysquery.Query) {
	if q.RequestID == "" && !q.NonIdempotent {
		q.RequestID = hysquery.RequestID(uuid.NewString())
	}
}
