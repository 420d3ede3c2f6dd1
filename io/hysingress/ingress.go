// Package hysingress serves callers whose requests are forwarded unchanged: any
// method, path and body, by the routes of the configuration.
//
// A query over shards may be delegated to another instance, which answers it as if
// its caller had connected there.
//
// A request is matched once, with the configuration that is in force when its
// header has been read, and is answered by that configuration alone.
//
// # Usage
//
//	i := &hysingress.Ingress{Headers: headers, State: state, Submit: dispatcher.Submit, ...}
//	server := &http.Server{Handler: i}
package hysingress

import (
	"context"
	"errors"
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
	"hyssopshore/io/hysconn"
	"hyssopshore/io/hyslisten"
)

// Times after which a refused request may be sent again.
const (
	// unconfiguredRetryAfter is short: another instance is likely to have a
	// configuration.
	unconfiguredRetryAfter = 100 * time.Millisecond
	overloadedRetryAfter   = 100 * time.Millisecond
)

// replyMargin is how long before the goal a partial answer is sent, so that it
// reaches the caller in time.
const replyMargin = 14 * time.Millisecond

// hopMargin is how much earlier a gatherer sends a partial answer, which then still
// has to pass through the entry instance, the one that received the query from the
// caller.
const hopMargin = 7 * time.Millisecond

// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
const defaultMaxBodyBytes = 1 << 20

// Headers are the names of the header fields between callers, the system and
// searchers.
type Headers struct {
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// Signature is a searcher's signature of its whole response.
	Signature string
	// Searcher names the searcher for which a request is meant.
	Searcher string
	// NotRun marks the response of a searcher that has not run the request.
	NotRun string
	// Leaving marks any response of a searcher that is leaving.
	Leaving string
	// Limit is how many requests a second a searcher takes from all instances.
	Limit string
	// Signatures are those of the shard results in an answer, Missing is the number
	// of shards that the answer lacks.
	Signatures string
	Missing    string
}

// Record describes a request that has ended.
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
	// Allowed is the timeout of the request.
	Allowed time.Duration
	// Returning is set if the caller has likely been refused before.
	Returning bool
	// Shards is the number of shards, Answered the number that the answer covers.
	Shards   int
	Answered int
	// Missing lists the shards without a result, with the reasons.
	Missing []MissingShard
	// Sends is the number of sends to searchers, MaxShardRuns the number of runs that
	// one shard may have had here, whichever had most.
	Sends        int
	MaxShardRuns int
	// MaxAttempts is how many searchers of one shard may run the request, UsedAttempts
	// how many may have done so before it was run here.
	MaxAttempts  int
	UsedAttempts int
	// Searcher is the one whose response was forwarded.
	Searcher   string
	RetryAfter time.Duration
	// Queue is what a refusal by this instance was derived from.
	Queue hysdispatch.QueueState
	// GatheredBy is the instance to which the query was delegated, if it was.
	GatheredBy string
	// Delegated is set in the gatherer's record of a delegated query, and Confirmed if its
	// entry instance has confirmed that it waits for it.
	Delegated bool
	Confirmed bool
	// Relayed is the number of sub-requests that another instance ran, RelayedTo the
	// last such instance.
	Relayed   int
	RelayedTo string
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Service  hysservice.Name      `json:"service"`
	Searcher hysmember.SearcherID `json:"searcher,omitempty"`
	Status   hysquery.ShardStatus `json:"-"`
	Reason   string               `json:"reason"`
	Sends    int                  `json:"sends"`
}

// Callbacks of an Ingress.
type (
	// StateFunc returns the configuration in force. While there is none it waits
	// for the first one, and returns nil if that does not arrive soon.
	StateFunc func(context.Context) *hysroute.Configuration
	// RelayFunc is the type of Ingress.Relay. shards are those of the query, nil for a
	// request that one searcher runs.
	RelayFunc func(shards []hysservice.Name, delegable bool) hysgather.SubmitFunc
	// AdmitFunc decides whether a query may run, given the minimum number of shards
	// that its answer needs. If not, the reply says when to send the query again.
	AdmitFunc func(subs []hysdispatch.SubRequest, minimum int) (hysdispatch.SubReply, bool)
	// QuarantinedFunc reports whether a request is refused because it crashes
	// searchers, and until when.
	QuarantinedFunc func(hysquery.Fingerprint) (time.Time, bool)
	// ObserveFunc receives the record of each request that has ended.
	ObserveFunc func(Record)
)

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	Headers Headers
	State   StateFunc
	Submit  hysgather.SubmitFunc
	// Relay returns a function that runs the sub-requests of one request here, or at
	// another instance if no searcher of their service is in reach here. If most shards
	// of a query are lost and it may be delegated as a whole, its sub-requests are not
	// relayed. nil if there are no other instances.
	Relay RelayFunc
	// Lost reports whether no searcher of a service is in reach, and MostlyLost whether
	// that is so for so many shards that a query is better delegated as a whole. Both are
	// nil if the searchers are always in reach.
	Lost       func(hysservice.Name) bool
	MostlyLost func(shards []hysservice.Name) bool
	// Admit decides whether a query may run.
	Admit AdmitFunc
	// Delegate delegates a query to another instance; nil if each instance gathers
	// its own.
	Delegate    DelegateFunc
	Quarantined QuarantinedFunc
	Observe     ObserveFunc
	// Closing reports whether to close connections after an answer.
	Closing func() bool
	// AnswerTimeout bounds how long a caller may take to read an answer; 0 stands for no
	// bound.
	AnswerTimeout time.Duration

	// lateness tracks how late this instance sends its partial answers.
	lateness hyspartial.Lateness
}

// exchange is one request and its answer.
type exchange struct {
	ingress *Ingress
	writer  http.ResponseWriter
	request *http.Request
	start   time.Time
	record  Record
	route   *hysroute.Route
	message *hysmessage.Request
	// fingerprint is the same for all requests with the same content.
	fingerprint hysquery.Fingerprint
	// deadline is when the request is abandoned, dueAt when a partial answer is
	// sent.
	deadline time.Time
	dueAt    time.Time
	// delegated is set for a query that another instance has delegated.
	delegated bool
	// usedAttempts is how often the query may have been sent to each shard before.
	usedAttempts int
	// confirmed is that of the instance that has delegated the query; nil if nothing has to
	// be confirmed.
	confirmed hysdispatch.Confirmation
	// repeated is set for a delegated query that may have been sent to the shards before.
	repeated bool
	// searchersLost is set for a delegated query that was given up, since too few of its
	// shards are in reach. possibleRuns is how many searchers of one shard may have run
	// it.
	searchersLost bool
	possibleRuns  int
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
	e.record.Latency, e.record.Confirmed = time.Since(e.start), e.confirmed.IsReceived()
	e.ingress.Observe(e.record)
}

// prepare matches the request with a route. If the request can't run, prepare
// answers it and returns false.
func (e *exchange) prepare() bool {
	r, state := e.request, e.ingress.State(e.request.Context())
	if state == nil {
		e.leaveBody()
		e.refuse("no configuration is known yet", unconfiguredRetryAfter)
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
	e.route, e.record.Route, e.record.Goal, e.record.MaxAttempts = route, route.Name, route.Goal, route.MaxAttempts
	if limit := state.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		e.reject(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
		return false
	}
	e.setDeadline()
	return e.checkLength(state.Limits.BodyBytes)
}

func (e *exchange) setDeadline() {
	e.record.Allowed = e.route.Timeout
	if ms, err := strconv.ParseInt(e.request.Header.Get(e.ingress.Headers.Deadline), 10, 64); err == nil && ms > 0 {
		callerTimeout := time.Duration(ms) * time.Millisecond
		e.record.Returning = e.route.IsReturningCaller(callerTimeout)
		e.record.Allowed = min(e.record.Allowed, callerTimeout)
	}
	e.deadline = e.start.Add(e.record.Allowed)
}

func (e *exchange) checkLength(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
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
	// If the connection does not support deadlines, the body is read without one.
	_ = control.SetReadDeadline(e.deadline)
	body, err := hysconn.ReadBody(e.request.Body)
	_ = control.SetReadDeadline(time.Time{})
	conn := hyslisten.FromContext(e.request.Context())
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil && conn.Begin():
	case conn.Evicted():
		e.leaveBody()
		e.refuse("too many requests arrive here at the same time", overloadedRetryAfter)
		return false
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
	e.message = e.forwardedRequest(body)
	e.fingerprint = hysquery.Fingerprint(e.message.Fingerprint())
	return true
}

// forwardedRequest returns the request as searchers receive it.
func (e *exchange) forwardedRequest(body []byte) *hysmessage.Request {
	header := hysmessage.EndToEnd(e.request.Header)
	names := e.ingress.Headers
	for _, internal := range []string{names.RequestID, names.Deadline, names.Searcher} {
		header.Del(internal)
	}
	return &hysmessage.Request{
		Method: e.request.Method, Target: target(e.request), Host: e.request.Host, Header: header, Body: body,
	}
}

func (e *exchange) run(ctx context.Context) {
	if until, quarantined := e.ingress.Quarantined(e.fingerprint); quarantined {
		e.refuse("the request crashed searchers and is quarantined", time.Until(until))
		return
	}
	if e.route.IsQuery() {
		e.runQuery(ctx)
		return
	}
	e.runSingle(ctx)
}

// subRequest returns what is sent to one searcher of a service.
func (e *exchange) subRequest(service hysservice.Name) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{
		RequestID: e.record.ID, Fingerprint: e.fingerprint, Group: hysgroup.Name(e.route.Name), Weight: 1,
		Service: service, Class: e.route.Class, Idempotent: e.route.Idempotent, Proven: true,
		Deadline: e.deadline, Goal: e.route.Goal, Due: e.due(), Returning: e.record.Returning, Message: e.message,
		MaxRuns: max(e.route.MaxAttempts-e.usedAttempts, 1), Confirmed: e.confirmed, Repeated: e.isRepeated(), RetryNotRun: true,
	}
}

// isRepeated reports whether the request may have been sent to searchers before.
func (e *exchange) isRepeated() bool {
	if e.delegated {
		return e.repeated
	}
	return e.usedAttempts > 0
}

// due returns when the answer must be sent to meet the goal of the request. It is
// the same for all shards of a query.
func (e *exchange) due() time.Time {
	if e.dueAt.IsZero() {
		margin := e.replyMargin() + e.ingress.lateness.LeadTime(e.route.Goal)
		e.dueAt = e.start.Add(max(e.route.Goal-margin, e.route.Goal/2))
	}
	return e.dueAt
}

// target returns the path and the query as the caller sent them.
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

// headerBytes returns the size of a request's header.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}
