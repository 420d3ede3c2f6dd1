// Package hysingress serves callers whose requests are passed on as they are:
// any method, path and body, by the routes of the configuration.
//
// A query over shards may be handed to another instance, which answers it as if its
// caller had come there.
//
// A request is matched once, at the version of the configuration that holds
// when its head has been read, and answered from that version alone.
//
// # Usage
//
//	i := &hysingress.Ingress{Headers: headers, State: state, Submit: dispatcher.Submit, ...}
//	server := &http.Server{Handler: i}
package hysingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hyspartial"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
)

// Times after which a refused request may be sent again.
const (
	// unconfiguredRetry is short: another daemon is likely to have one.
	unconfiguredRetry = 100 * time.Millisecond
	overloadedRetry   = 100 * time.Millisecond
)

// replyMargin is how long before the goal a partial answer is given, for its
// way back to the caller.
const replyMargin = 14 * time.Millisecond

// hopMargin is how much longer the way back is from an instance that gathers for
// another one.
const hopMargin = 7 * time.Millisecond

// maxReadAhead bounds a body while the configuration sets no limit, in bytes.
const maxReadAhead = 1 << 20

// Headers are the names of the header fields between callers, the system and
// searchers.
type Headers struct {
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// Signature is a searcher's, on its whole response.
	Signature string
	// Searcher names the searcher that a request is meant for.
	Searcher string
	// NotRun says that a searcher has not run a request.
	NotRun string
	// Leaving says in any response of a searcher that it is leaving.
	Leaving string
	// Signatures are those of the parts of an answer, Missing is how many parts
	// it lacks.
	Signatures string
	Missing    string
}

// Record is what is known of a request when it ends.
type Record struct {
	ID            hysquery.RequestID
	Route         hysroute.Name
	Service       hysservice.Name
	Configuration hysroute.Version
	Outcome       Outcome
	Status        int
	Reason        string
	Latency       time.Duration
	// Goal is the time within which the answer has its full value.
	Goal time.Duration
	// Allowed is how much time the request had.
	Allowed time.Duration
	// Returning callers have likely been refused before.
	Returning bool
	// Shards is how many there are, Answered how many the answer covers.
	Shards   int
	Answered int
	// Missing says of each shard without a part why it has none.
	Missing []MissingShard
	// Sends is how many sends to searchers were made.
	Sends int
	// Searcher is the one whose response was passed on.
	Searcher   string
	RetryAfter time.Duration
	// GatheredBy is the other instance that has gathered a query, if one has.
	GatheredBy string
	// Delegated is set at that instance.
	Delegated bool
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Service  hysservice.Name      `json:"service"`
	Searcher hysmember.SearcherID `json:"searcher,omitempty"`
	Status   hysquery.ShardStatus `json:"-"`
	Reason   string               `json:"reason"`
	Sends    int                  `json:"sends"`
}

// Seams of an Ingress.
type (
	// StateFunc returns the configuration in force. While there is none it waits
	// for the first one, and returns nil if that does not come soon.
	StateFunc func(context.Context) *hysroute.Configuration
	// AdmitFunc decides whether a query may be run whose answer needs a minimum
	// of its shards. The reply to a refused one says when to send it again.
	AdmitFunc func(subs []hysdispatch.SubRequest, minimum int) (hysdispatch.SubReply, bool)
	// QuarantinedFunc reports whether a request is refused since it crashes
	// searchers, and until when.
	QuarantinedFunc func(hysquery.Fingerprint) (time.Time, bool)
	// ObserveFunc is told of each request that has ended.
	ObserveFunc func(Record)
)

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	Headers Headers
	State   StateFunc
	Submit  hysgather.SubmitFunc
	// Admit decides whether a query may be run.
	Admit AdmitFunc
	// Delegate hands a query to another instance; nil if each gathers its own.
	Delegate    DelegateFunc
	Quarantined QuarantinedFunc
	Observe     ObserveFunc
	// Closing reports whether connections are to be closed after an answer.
	Closing func() bool

	// lateness is that of the answers in part that were given here.
	lateness hyspartial.Lateness
}

// exchange is one request on its way to its answer.
type exchange struct {
	ingress *Ingress
	writer  http.ResponseWriter
	request *http.Request
	start   time.Time
	record  Record
	route   *hysroute.Route
	message *hysmessage.Request
	// fingerprint is the same for all requests that ask the same.
	fingerprint hysquery.Fingerprint
	// deadline is when the request is given up, dueAt when an answer in part is given.
	deadline time.Time
	dueAt    time.Time
	// delegated queries have come from another instance.
	delegated bool
	// usedAttempts is how often each part of a query may have been sent before.
	usedAttempts int
}

// ServeHTTP answers a request.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{ingress: i, writer: w, request: r, start: time.Now()}
	if i.Closing() {
		w.Header().Set("Connection", "close")
	}
	e.serve()
}

func (e *exchange) serve() {
	e.record.ID = hysquery.RequestID(e.request.Header.Get(e.ingress.Headers.RequestID))
	e.record.Delegated = e.delegated
	if e.prepare() && e.readBody() {
		e.run(e.request.Context())
	}
	e.record.Latency = time.Since(e.start)
	e.ingress.Observe(e.record)
}

// prepare matches the request. It answers it and returns false if it can't run.
func (e *exchange) prepare() bool {
	r, state := e.request, e.ingress.State(e.request.Context())
	if state == nil {
		e.refuse("no configuration is known yet", unconfiguredRetry)
		return false
	}
	e.record.Configuration = state.Version
	if e.record.ID == "" {
		e.reject(http.StatusBadRequest, "the request has no id")
		return false
	}
	path, _, _ := strings.Cut(target(r), "?")
	route, ok := state.Match(hostname(r.Host), path)
	if !ok {
		e.reject(http.StatusNotFound, "no route matches")
		return false
	}
	e.route, e.record.Route, e.record.Goal = route, route.Name, route.Goal
	if limit := state.Limits.HeaderBytes; limit > 0 && headBytes(r) > limit {
		e.reject(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
		return false
	}
	e.setDeadline()
	return e.checkLength(state.Limits.BodyBytes)
}

func (e *exchange) setDeadline() {
	e.record.Allowed = e.route.Timeout
	if ms, err := strconv.ParseInt(e.request.Header.Get(e.ingress.Headers.Deadline), 10, 64); err == nil && ms > 0 {
		waits := time.Duration(ms) * time.Millisecond
		e.record.Returning = e.route.IsReturningCaller(waits)
		e.record.Allowed = min(e.record.Allowed, waits)
	}
	e.deadline = e.start.Add(e.record.Allowed)
}

func (e *exchange) checkLength(limit int64) bool {
	if limit <= 0 {
		limit = maxReadAhead
	}
	if e.request.ContentLength > limit {
		e.reject(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	}
	e.request.Body = http.MaxBytesReader(e.writer, e.request.Body, limit)
	return true
}

// readBody reads the whole request, so that it can be sent more than once.
func (e *exchange) readBody() bool {
	control := http.NewResponseController(e.writer)
	// A connection without deadlines keeps none; the body is then read without.
	_ = control.SetReadDeadline(e.deadline)
	body, err := io.ReadAll(e.request.Body)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		e.reject(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		e.reject(http.StatusRequestTimeout, "the body did not come in time")
		return false
	default:
		e.reject(http.StatusBadRequest, "the body can't be read")
		return false
	}
	e.message = e.passedOn(body)
	e.fingerprint = hysquery.Fingerprint(e.message.Fingerprint())
	return true
}

// passedOn is the request as searchers get it.
func (e *exchange) passedOn(body []byte) *hysmessage.Request {
	header := hysmessage.EndToEnd(e.request.Header)
	names := e.ingress.Headers
	for _, own := range []string{names.RequestID, names.Deadline, names.Searcher} {
		header.Del(own)
	}
	return &hysmessage.Request{
		Method: e.request.Method, Target: target(e.request), Host: e.request.Host, Header: header, Body: body,
	}
}

func (e *exchange) run(ctx context.Context) {
	if until, suspect := e.ingress.Quarantined(e.fingerprint); suspect {
		e.refuse("the request crashed searchers and is quarantined", time.Until(until))
		return
	}
	if e.route.IsQuery() {
		e.runQuery(ctx)
		return
	}
	e.runSingle(ctx)
}

// subRequest is what is sent to one searcher of a service.
func (e *exchange) subRequest(service hysservice.Name) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{
		RequestID: e.record.ID, Fingerprint: e.fingerprint, Group: hysgroup.Name(e.route.Name), Weight: 1,
		Service: service, Class: e.route.Class, Idempotent: e.route.Idempotent, Proven: true,
		Deadline: e.deadline, Goal: e.route.Goal, Due: e.due(), Returning: e.record.Returning, Message: e.message, MaxRuns: max(e.route.MaxAttempts-e.usedAttempts, 1), RetryNotRun: true,
	}
}

// due is when the answer must be given to make the goal of the request. It stays the
// same for all parts of a query.
func (e *exchange) due() time.Time {
	if e.dueAt.IsZero() {
		margin := e.replyMargin() + e.ingress.lateness.LeadTime(e.route.Goal)
		e.dueAt = e.start.Add(max(e.route.Goal-margin, e.route.Goal/2))
	}
	return e.dueAt
}

// target is the path and the query as the caller sent them.
func target(r *http.Request) string {
	if r.URL.Scheme != "" {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// headBytes is the size of a request's head.
func headBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}
