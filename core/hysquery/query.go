// Package hysquery defines a caller's request and its answer.
//
// A request names its group, service and class. An answer states its outcome,
// the snapshot that it reflects and which shards answered.
//
// # Usage
//
//	q := hysquery.Query{Group: "accra-ringers", Service: "captains-desk", Body: body}
//	q.Defaults(service)
//	if err := q.Validate(service, now); err != nil { ... }
package hysquery

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// ErrInvalid is returned for a request that can never run unless it is changed.
const ErrInvalid = errors.ConstError("invalid request")

// Limits of a request.
const (
	MaxBodyBytes      = 256 << 10
	MaxRequestIDBytes = 128
	MaxKeyBytes       = 1 << 10
	// MaxClockAhead is how far the time in a request id may be in the future.
	MaxClockAhead = time.Minute
	// ClaimRetention is how long the id of a non-idempotent request is kept to
	// detect a resend; older ids are refused.
	ClaimRetention = time.Hour
)

// RequestID identifies a request to its caller. For a non-idempotent request
// it is a UUID of version 7, which contains the time when it was issued.
type RequestID string

// Fingerprint identifies what a request asks for, independent of its caller and
// id.
type Fingerprint string

// Query is one request of a caller.
type Query struct {
	RequestID RequestID               `json:"request-id"`
	Group     hysgroup.Name           `json:"group"`
	Service   hysservice.Name         `json:"service"`
	Class     Class                   `json:"class"`
	Deadline  hysservice.Milliseconds `json:"deadline-ms"`
	// NonIdempotent makes the request run at most once, on the shard that holds
	// Key.
	NonIdempotent bool            `json:"non-idempotent"`
	Key           string          `json:"key,omitempty"`
	Body          json.RawMessage `json:"body"`
}

// Defaults sets the omitted fields to the defaults of the service.
func (q *Query) Defaults(service hysservice.Service) {
	if q.Deadline == 0 {
		q.Deadline = service.MaxDeadline
	}
}

// FieldError is an ErrInvalid that tells the caller which field is invalid.
type FieldError struct {
	Field   string
	Message string
}

// Error returns the field and the message.
func (e *FieldError) Error() string { return e.Field + " " + e.Message }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// Validate returns a *FieldError for the first invalid field.
func (q *Query) Validate(service hysservice.Service, now time.Time) error {
	if err := q.validate(service, now); err != nil {
		return fmt.Errorf("Query.Validate: %w", err)
	}
	return nil
}

func (q *Query) validate(service hysservice.Service, now time.Time) error {
	if len(q.Body) == 0 {
		return invalid("body", "must be given: any JSON value of at most %d bytes", MaxBodyBytes)
	}
	if len(q.Body) > MaxBodyBytes {
		return invalid("body", "has %d bytes, at most %d are allowed", len(q.Body), MaxBodyBytes)
	}
	if len(q.RequestID) > MaxRequestIDBytes {
		return invalid("request-id", "has %d bytes, at most %d are allowed", len(q.RequestID), MaxRequestIDBytes)
	}
	if q.Deadline < 1 || q.Deadline > service.MaxDeadline {
		return invalid("deadline-ms", "%d is not in 1..%d", q.Deadline, service.MaxDeadline)
	}
	if !q.NonIdempotent {
		return nil
	}
	if q.Key == "" || len(q.Key) > MaxKeyBytes {
		return invalid("key", "must be given for a non-idempotent request, with at most %d bytes", MaxKeyBytes)
	}
	return q.validateIssueTime(now)
}

func (q *Query) validateIssueTime(now time.Time) error {
	if q.RequestID == "" {
		return invalid("request-id", "must be given for a non-idempotent request: a UUID of version 7")
	}
	issued, err := q.RequestID.IssuedAt()
	if err != nil {
		return err
	}
	// In another spelling, the id would not match the claim of the same request.
	if canonical := uuid.MustParse(string(q.RequestID)).String(); canonical != string(q.RequestID) {
		return invalid("request-id", "must be written as %s", canonical)
	}
	if issued.After(now.Add(MaxClockAhead)) {
		return invalid("request-id", "is issued more than %s in the future", MaxClockAhead)
	}
	if issued.Before(now.Add(-ClaimRetention)) {
		return invalid("request-id", "is issued more than %s ago", ClaimRetention)
	}
	return nil
}

// IssuedAt returns the time when a non-idempotent request's id was issued. The
// error is a *FieldError if the id is not a UUID of version 7.
func (r RequestID) IssuedAt() (time.Time, error) {
	id, err := uuid.Parse(string(r))
	if err != nil || id.Version() != 7 {
		return time.Time{}, fmt.Errorf("RequestID.IssuedAt: %w", invalid("request-id", "%q is not a UUID of version 7", string(r)))
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}

// Fingerprint returns the same value for every request with the same service
// and body.
func (q *Query) Fingerprint() Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(q.Service))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(q.Body)
	return Fingerprint(hex.EncodeToString(d.Sum(nil)))
}

// KeyHash returns the position of a key in the key space.
func KeyHash(key string) uint64 {
	return xxhash.Sum64String(key) % hyssnapshot.KeySpace
}

// ShardCoverage tells whether one shard contributed to an answer. From and To are
// the half-open interval of key hashes that the shard holds.
type ShardCoverage struct {
	Shard  hysservice.ShardID `json:"shard"`
	From   uint64             `json:"from"`
	To     uint64             `json:"to"`
	Status ShardStatus        `json:"status"`
	Reason string             `json:"reason,omitempty"`
}

// Coverage lists every shard of the snapshot's shard map.
type Coverage []ShardCoverage

// Answered returns how many shards answered.
func (c Coverage) Answered() int {
	count := 0
	for _, s := range c {
		if s.Status == ShardAnswered {
			count++
		}
	}
	return count
}

// Answer is the final answer to a request.
type Answer struct {
	RequestID RequestID           `json:"request-id"`
	Outcome   Outcome             `json:"outcome"`
	Version   hyssnapshot.Version `json:"snapshot"`
	Epoch     hyssnapshot.Epoch   `json:"shard-map-epoch"`
	Coverage  Coverage            `json:"coverage"`
	Hits      []json.RawMessage   `json:"hits"`
	Reason    string              `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; 0 if no
	// retry is suggested.
	RetryAfter hysservice.Milliseconds `json:"retry-after-ms,omitempty"`
}

// NotRun returns the answer to a request that has not run on any searcher and
// never will.
func NotRun(id RequestID, reason string, retryAfter time.Duration) Answer {
	return Answer{
		RequestID: id, Outcome: OutcomeNotRun, Reason: reason,
		RetryAfter: hysservice.Milliseconds(retryAfter.Milliseconds()),
	}
}

// Unknown returns the answer to a non-idempotent request that may have run.
func Unknown(id RequestID, reason string) Answer {
	return Answer{RequestID: id, Outcome: OutcomeUnknown, Reason: reason}
}

// String returns the shard's number and its status, separated by a space.
func (c ShardCoverage) String() string {
	return strconv.FormatUint(uint64(c.Shard), 10) + " " + c.Status.String()
}
