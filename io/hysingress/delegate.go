package hysingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
)

// Reasons for which this instance does not gather a query for another one.
const (
	// ErrNotQuery means that the request is no query by this instance's
	// configuration.
	ErrNotQuery = errors.ConstError("the request is no query here")
	// ErrOutdated means that the other instance has a newer configuration.
	ErrOutdated = errors.ConstError("the configuration here is older")
)

// Delegation is a query that is delegated to another instance as its caller sent
// it.
type Delegation struct {
	// ID is the caller's request ID, for the log.
	ID      hysquery.RequestID
	Message *hysmessage.Request
	// Start is when the query arrived, Goal the time within which its answer has
	// its full value.
	Start time.Time
	Goal  time.Duration
	// Configuration is the version with which the query was matched.
	Configuration hysroute.Version
	// Shards are the shards of the query.
	Shards []hysservice.Name
	// MaxAttempts is how many searchers of each shard may run it; UsedAttempts is how
	// often it may have been sent to each shard before.
	MaxAttempts  int
	UsedAttempts int
	// Attempts is, where the query is gathered, how many searchers of each shard may run
	// it there; only one before Confirmed, since the other instance may gather it itself.
	// Confirmed is nil for an instance that confirms nothing.
	Attempts  int
	Confirmed hysdispatch.Confirmation
}

// DelegationResult is the answer of the instance that gathered a query.
type DelegationResult struct {
	// Instance is the one that gathered it.
	Instance string
	Response hysmessage.Response
	// Record is that instance's record of the query.
	Record Record
}

// DeclinedError is the error of an instance that has not accepted a query.
type DeclinedError struct {
	Reason string
	// RetryAfter is the time after which it may accept one.
	RetryAfter time.Duration
}

// Error returns the reason.
func (d *DeclinedError) Error() string { return d.Reason }

// SearchersLostError is the error of an instance that has given a query up, since too
// few of its shards are in reach there. Another instance may answer it.
type SearchersLostError struct {
	// PossibleRuns is how many searchers of one shard may have run the query.
	PossibleRuns int
}

// Error describes the error.
func (s *SearchersLostError) Error() string { return "too few shards are in reach" }

// ErrGathererLost means that an instance has accepted a query and gives no answer.
// The query may have been sent as often as its route allows.
const ErrGathererLost = errors.ConstError("the instance that gathered the query was lost")

// DelegateFunc delegates a query to another instance. After an error other than
// ErrGathererLost no instance is known to have accepted the query, and it is gathered
// here if attempts remain. usedAttempts is how often the query may have been sent to
// each shard before.
type DelegateFunc func(context.Context, Delegation) (answer DelegationResult, usedAttempts int, err error)

// delegate delegates the query. It reports whether the request has ended.
func (e *exchange) delegate(ctx context.Context) bool {
	if e.ingress.Delegate == nil || e.delegated {
		return false
	}
	answer, used, err := e.ingress.Delegate(ctx, Delegation{
		ID: e.record.ID,
		Message: &hysmessage.Request{
			Method: e.request.Method, Target: target(e.request), Host: e.request.Host,
			Header: hysmessage.EndToEnd(e.request.Header), Body: e.message.Body,
		},
		Start: e.start, Goal: e.route.Goal, Configuration: e.record.Configuration,
		Shards: e.route.Shards, MaxAttempts: e.route.MaxAttempts, UsedAttempts: e.usedAttempts,
	})
	e.usedAttempts = used
	switch {
	case callerLeft(ctx):
		e.abandon()
		return true
	case err != nil && ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, string(hysdispatch.ErrStopping))
		return true
	case errors.Is(err, ErrGathererLost), err != nil && used >= e.route.MaxAttempts:
		e.fail(http.StatusBadGateway, err.Error())
		return true
	case err != nil:
		return false
	}
	r := answer.Record
	e.record.GatheredBy, e.record.Configuration = answer.Instance, r.Configuration
	e.record.Outcome, e.record.Reason, e.record.RetryAfter = r.Outcome, r.Reason, r.RetryAfter
	e.record.Shards, e.record.Answered, e.record.Sends = r.Shards, r.Answered, r.Sends
	e.write(answer.Response.Status, answer.Response.Header, answer.Response.Body)
	return true
}

// AcceptFunc accepts a query over some shards, or returns why it is declined.
type AcceptFunc func(shards []hysservice.Name) error

// Gather answers a query that another instance has delegated. The query is observed
// here too, with the caller's request ID. Nothing runs before accept has returned
// nil.
func (i *Ingress) Gather(ctx context.Context, d Delegation, accept AcceptFunc) (DelegationResult, error) {
	state := i.State(ctx)
	if state == nil || state.Version < d.Configuration {
		return DelegationResult{}, ErrOutdated
	}
	request := d.request(ctx)
	route, ok := state.Match(hostname(request.Host), request.URL.Path)
	if !ok || !route.IsQuery() {
		return DelegationResult{}, ErrNotQuery
	}
	if err := accept(route.Shards); err != nil {
		return DelegationResult{}, fmt.Errorf("Ingress.Gather: %w", err)
	}
	w := &responseBuffer{header: make(http.Header)}
	e := &exchange{
		ingress: i, writer: w, request: request, start: d.Start, delegated: true,
		usedAttempts: max(d.UsedAttempts, route.MaxAttempts-d.Attempts), confirmed: d.Confirmed,
		repeated: d.UsedAttempts > 0 || d.Confirmed != nil && d.Attempts < route.MaxAttempts,
	}
	e.serve()
	if e.searchersLost {
		return DelegationResult{}, &SearchersLostError{PossibleRuns: e.possibleRuns}
	}
	return DelegationResult{
		Response: hysmessage.Response{Status: w.status, Header: w.header, Body: w.body.Bytes()}, Record: e.record,
	}, nil
}

// request returns the query as an HTTP request of its caller.
func (d Delegation) request(ctx context.Context) *http.Request {
	m := d.Message
	path, query, _ := strings.Cut(m.Target, "?")
	r := &http.Request{
		Method: m.Method, Host: m.Host, RequestURI: m.Target, Header: m.Header, Proto: "HTTP/1.1",
		URL:  &url.URL{Path: path, RawQuery: query},
		Body: io.NopCloser(bytes.NewReader(m.Body)), ContentLength: int64(len(m.Body)),
	}
	return r.WithContext(ctx)
}

// responseBuffer is an http.ResponseWriter that holds the response for the instance
// that has delegated the query.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header fields to be sent.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader stores the status.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
