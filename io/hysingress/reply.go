package hysingress

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssopshore/core/hysmessage"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enum_string.go

// Outcome is how a request has ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is a success that lacks nothing.
	OutcomeServed  Outcome = iota // served
	OutcomePartial                // partial
	// OutcomePassed is a searcher's own failure, passed on.
	OutcomePassed   // passed
	OutcomeRefused  // refused
	OutcomeRejected // rejected
	OutcomeFailed   // failed
	// OutcomeAbandoned is a request whose caller has left.
	OutcomeAbandoned // abandoned
)

// minRetryAfter is the shortest time after which callers are asked to return.
const minRetryAfter = 10 * time.Millisecond

// failedText tells callers of a failure; the log has its cause, which names
// addresses.
const failedText = "no searcher gave a whole answer; the request may have run"

// refuse says that the request has not run and never will, and when to send it
// again.
func (e *exchange) refuse(reason string, retry time.Duration) {
	if retry <= 0 {
		retry = overloadedRetry
	}
	e.record.Outcome, e.record.Reason = OutcomeRefused, reason
	e.record.RetryAfter = max(retry, minRetryAfter)
	seconds := strconv.FormatFloat(e.record.RetryAfter.Seconds(), 'f', 3, 64)
	e.writeOwn(http.StatusServiceUnavailable, reason, http.Header{"Retry-After": {seconds}})
}

// reject says that the request can never run as it is. Its connection is closed
// since not all of it may have been read.
func (e *exchange) reject(status int, reason string) {
	e.record.Outcome, e.record.Reason = OutcomeRejected, reason
	header := http.Header{}
	if e.request.ContentLength != 0 {
		header.Set("Connection", "close")
	}
	e.writeOwn(status, reason, header)
}

// fail says that the request has no answer; it may have run.
func (e *exchange) fail(status int, reason string) {
	e.record.Outcome, e.record.Reason = OutcomeFailed, reason
	e.writeOwn(status, failedText, http.Header{})
}

// abandon ends a request whose caller has left.
func (e *exchange) abandon() {
	e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the caller has left"
}

func (e *exchange) writeOwn(status int, reason string, header http.Header) {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	e.write(status, header, []byte(reason+"\n"))
}

// write sends the answer. A caller that can't be written to has left.
func (e *exchange) write(status int, header http.Header, body []byte) {
	own := e.writer.Header()
	// Without a type the library would guess one.
	own["Content-Type"] = nil
	for name, values := range hysmessage.EndToEnd(header) {
		own[name] = values
	}
	if header.Get("Connection") == "close" {
		own.Set("Connection", "close")
	}
	own.Set("Content-Length", strconv.Itoa(len(body)))
	if e.request.Method == http.MethodHead && header.Get("Content-Length") != "" {
		own.Set("Content-Length", header.Get("Content-Length"))
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		own.Del("Content-Length")
	}
	e.record.Status = status
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil && e.request.Method != http.MethodHead {
		e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the answer was not taken: "+err.Error()
	}
}

// flush sends what was written without waiting for the end of the request. A
// response that is handed to another instance can't be, and need not.
func (e *exchange) flush() {
	err := http.NewResponseController(e.writer).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) && e.record.Outcome != OutcomeAbandoned {
		e.record.Outcome, e.record.Reason = OutcomeAbandoned, "the answer was not taken: "+err.Error()
	}
}
