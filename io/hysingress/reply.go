package hysingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmessage"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enum_string.go

// Outcome is how a request has ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is a success that covers everything.
	OutcomeServed  Outcome = iota // served
	OutcomePartial                // partial
	// OutcomePassed is a failure of a searcher that was forwarded to the caller.
	OutcomePassed   // passed
	OutcomeRefused  // refused
	OutcomeRejected // rejected
	OutcomeFailed   // failed
	// OutcomeAbandoned is a request whose caller has disconnected.
	OutcomeAbandoned // abandoned
)

// minRetryAfter is the shortest time after which callers are asked to retry.
const minRetryAfter = 10 * time.Millisecond

// failureBody is the body of a failed request. Only the log has the cause, which
// names addresses.
const failureBody = "no searcher gave a whole answer; the request may have run"

// refuse answers that the request has not run and will not run later, and after what
// time the caller may send it again.
func (e *exchange) refuse(reason string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = overloadedRetryAfter
	}
	e.record.Outcome, e.record.Reason = OutcomeRefused, reason
	e.record.RetryAfter = max(retryAfter, minRetryAfter)
	seconds := strconv.FormatFloat(e.record.RetryAfter.Seconds(), 'f', 3, 64)
	e.writeText(http.StatusServiceUnavailable, reason, http.Header{"Retry-After": {seconds}})
}

// reject answers that the request can never run as it is.
func (e *exchange) reject(status int, reason string) {
	e.record.Outcome, e.record.Reason = OutcomeRejected, reason
	e.leaveBody()
	e.writeText(status, reason, http.Header{})
}

// unreadTimeout is how long the rest of a body is read after an answer. A connection that is
// closed before that is reset, and its client may lose the answer.
const unreadTimeout = 500 * time.Millisecond

// leaveBody lets the answer close the connection of a request whose body may be unread.
func (e *exchange) leaveBody() {
	if e.request.ContentLength == 0 {
		return
	}
	e.writer.Header().Set("Connection", "close")
	// Without deadlines, as behind another instance, there is nothing left to read.
	_ = http.NewResponseController(e.writer).SetReadDeadline(time.Now().Add(unreadTimeout))
}

// fail answers that the request has failed. It may have run.
func (e *exchange) fail(status int, reason string) {
	e.record.Outcome, e.record.Reason = OutcomeFailed, reason
	e.writeText(status, failureBody, http.Header{})
}

// callerLeft reports whether the context of a request has ended because its caller has
// disconnected, and not because this instance stops.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), hysdispatch.ErrStopping)
}

// abandon ends a request whose caller has disconnected.
func (e *exchange) abandon() {
	e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the caller has left"
}

// writeText answers with a reason as plain text.
func (e *exchange) writeText(status int, reason string, header http.Header) {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	e.write(status, header, []byte(reason+"\n"))
}

// write sends the answer. If that fails the caller has disconnected.
func (e *exchange) write(status int, header http.Header, body []byte) {
	sent := e.writer.Header()
	// net/http guesses a Content-Type unless the header has that key.
	sent["Content-Type"] = nil
	for name, values := range hysmessage.EndToEnd(header) {
		sent[name] = values
	}
	if header.Get("Connection") == "close" {
		sent.Set("Connection", "close")
	}
	sent.Set("Content-Length", strconv.Itoa(len(body)))
	if e.request.Method == http.MethodHead && header.Get("Content-Length") != "" {
		sent.Set("Content-Length", header.Get("Content-Length"))
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		sent.Del("Content-Length")
	}
	e.record.Status = status
	if timeout := e.ingress.AnswerTimeout; timeout > 0 {
		// net/http writes the end of the answer after the handler has returned, so the
		// deadline stays. Without deadlines, as behind another instance, nothing blocks.
		_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(timeout))
	}
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil && e.request.Method != http.MethodHead {
		e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the answer was not taken: "+err.Error()
	}
}

// flush sends what was written without waiting for the end of the request. A
// response that is buffered for another instance can't be flushed, and need not be.
func (e *exchange) flush() {
	err := http.NewResponseController(e.writer).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) && e.record.Outcome != OutcomeAbandoned {
		e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the answer was not taken: "+err.Error()
	}
}
