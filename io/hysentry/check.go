package hysentry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
	"hyssopshore/io/hyshttp"
)

// refusal describes a request that is rejected without running: the HTTP status,
// the reason, and the delay after which the caller may send it again.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// check fills in the defaults of a query and validates it against the
// configuration in force. It returns either the request to run or the reason to
// refuse it.
func (e *Entry) check(q *hysquery.Query) (hysgather.Request, *refusal) {
	state := e.State()
	if state.HighestNumber() == 0 {
		return hysgather.Request{}, &refusal{http.StatusServiceUnavailable, "this instance knows no configuration yet", notReadyRetryDelay}
	}
	group, ok := state.Group(q.Group)
	if !ok {
		return hysgather.Request{}, &refusal{status: http.StatusNotFound, reason: fmt.Sprintf("group: there is no group %q", q.Group)}
	}
	service, ok := state.Service(q.Service)
	if !ok {
		return hysgather.Request{}, &refusal{status: http.StatusNotFound, reason: fmt.Sprintf("service: there is no service %q", q.Service)}
	}
	if !group.MaySearch(q.Service) {
		return hysgather.Request{}, &refusal{status: http.StatusForbidden, reason: fmt.Sprintf("group %s may not search service %s", q.Group, q.Service)}
	}
	q.Defaults(service)
	if err := q.Validate(service, time.Now()); err != nil {
		return hysgather.Request{}, &refusal{status: invalidStatus(q), reason: callerMessage(err)}
	}
	assignID(q)
	return hysgather.Request{Query: *q, Service: service, Weight: group.Weight}, nil
}

// invalidStatus returns the HTTP status for a query that failed validation.
func invalidStatus(q *hysquery.Query) int {
	if len(q.Body) > hysquery.MaxBodyBytes {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// callerMessage returns the part of an error that is meant for callers, without
// internal function names.
func callerMessage(err error) string {
	var field *hysquery.FieldError
	if errors.As(err, &field) {
		return field.Error()
	}
	var syntax *hyshttp.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	return "the request can't be read"
}

// statusOf returns the HTTP status of an answer. An unknown outcome is not a 2xx
// status, so that a caller that looks only at the status does not treat an
// unconfirmed booking as confirmed.
func statusOf(a hysquery.Answer) int {
	switch a.Outcome {
	case hysquery.OutcomeComplete, hysquery.OutcomePartial:
		return http.StatusOK
	case hysquery.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	if len(a.Coverage) > 0 && a.RetryAfter == 0 && a.Coverage[0].Status == hysquery.ShardQuarantined {
		return http.StatusUnprocessableEntity
	}
	if len(a.Coverage) == 0 && a.RetryAfter == 0 {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
