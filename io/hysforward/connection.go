package hysforward

import (
	"bufio"
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmessage"
	"hyssopshore/io/hysconn"
)

// Errors of an exchange with a searcher.
const (
	// ErrMalformed means that the received bytes are not a complete response
	// from the searcher.
	ErrMalformed = errors.ConstError("the response is garbled")
	// ErrNoResponse means that the connection ended before the first byte.
	ErrNoResponse = errors.ConstError("the connection ended before the response")
)

// ErrClosedImmediately means that the searcher closed a new connection before
// anything was sent on it.
const ErrClosedImmediately = errors.ConstError("the searcher ended the new connection at once")

// Limits of a response.
const (
	// maxHead bounds the head of a response together with those of the interim
	// responses before it, in bytes; maxBodyBytes bounds its body with its
	// framing.
	maxHead      = 64 << 10
	maxBodyBytes = 8 << 20
	// maxBodyShare is the share of the response memory that one body may use.
	maxBodyShare = 0.25
	// maxStaleResponses is the number of responses to earlier requests that
	// are skipped.
	maxStaleResponses = 3
	// maxInterimResponses is the number of interim responses that are skipped.
	maxInterimResponses = 5
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. A searcher may answer before it has read a longer one.
	maxInlineBody = 4 << 10
)

// idleMargin is how much earlier than the searcher this side closes an idle
// connection.
const idleMargin = time.Second

// connection carries one request at a time to a searcher.
type connection struct {
	net.Conn
	// limited bounds what reader reads.
	limited *hysconn.Reader
	reader  *bufio.Reader
	// maxBody is the largest body that is read, in bytes.
	maxBody int64
	// reused is set once the connection has been idle, when the searcher may
	// have closed it.
	reused bool
	// prewarmed is set until a prewarmed connection is first used.
	prewarmed bool
	expires   time.Time
	// idleTimeout is how long the searcher keeps the connection idle.
	idleTimeout time.Duration
}

// usable reports whether an idle connection can carry another request.
func (c *connection) usable(now time.Time) bool {
	return now.Before(c.expires) && hysconn.Reusable(c.Conn)
}

func newConnection(c net.Conn, memory *hysconn.MemoryBudget) *connection {
	limited := hysconn.NewReader(c, memory)
	return &connection{
		Conn: c, limited: limited, reader: bufio.NewReader(limited),
		maxBody: min(maxBodyBytes, int64(maxBodyShare*float64(memory.Limit()))),
	}
}

// immediateCloseWait is the time within which a searcher at its connection
// limit closes a connection that it has just accepted.
const immediateCloseWait = 2 * time.Millisecond

// awaitImmediateClose waits until a searcher at its connection limit would have
// closed the new connection. A request that has not been sent has not run, so
// it may go to another searcher.
func (c *connection) awaitImmediateClose(ctx context.Context) error {
	timer := time.NewTimer(immediateCloseWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if hysconn.Reusable(c.Conn) {
		return nil
	}
	_ = c.Close()
	return ErrClosedImmediately
}

// outgoing is a request to write to a connection.
type outgoing struct {
	request *hysmessage.Request
	// fields are the header fields that this instance sets.
	fields http.Header
	// idField and id identify the response to this request.
	idField string
	id      string
	// leavingField is the header field that a leaving searcher sets.
	leavingField string
}

// received is a response and whether its connection can be reused.
type received struct {
	response *hysmessage.Response
	reusable bool
	// leaving is set if this response, or a skipped one to an earlier request,
	// says that the searcher is leaving.
	leaving bool
}

// exchange sends a request and reads its response. It is aborted when the
// context ends.
func (c *connection) exchange(ctx context.Context, o outgoing) (received, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if len(o.request.Body) <= maxInlineBody {
		if err := c.write(o); err != nil {
			return received{}, fmt.Errorf("write: %w", err)
		}
		return c.readMatching(o)
	}
	written := make(chan error, 1)
	go func() { written <- c.write(o) }()
	r, err := c.readMatching(o)
	select {
	case writeErr := <-written:
		r.reusable = r.reusable && writeErr == nil
	default:
		// The response came before the whole body was sent. Close the connection,
		// or the searcher could take the rest of the body for a request.
		r.reusable = false
		_ = c.Close()
		<-written
	}
	return r, err
}

func (c *connection) write(o outgoing) error {
	var head strings.Builder
	r := o.request
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	if err := o.fields.Write(&head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{[]byte(head.String()), r.Body}
	if _, err := buffers.WriteTo(c.Conn); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// readMatching reads the response to the request and skips late responses to
// earlier requests.
func (c *connection) readMatching(o outgoing) (received, error) {
	c.limited.Begin(maxHead)
	defer c.limited.End()
	if _, err := c.reader.Peek(1); err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	leaving := false
	for range maxStaleResponses {
		r, err := c.readFinal(o.request.Method)
		if err != nil {
			return received{leaving: leaving}, err
		}
		leaving = leaving || r.response.Header.Get(o.leavingField) != ""
		id := r.response.Header.Get(o.idField)
		if id == "" || id == o.id {
			r.leaving = leaving
			return r, nil
		}
	}
	return received{leaving: leaving}, fmt.Errorf("responses to other requests: %w", ErrMalformed)
}

// readFinal reads one final response and skips interim ones before it.
func (c *connection) readFinal(method string) (received, error) {
	response, err := c.readHead(method)
	if err != nil {
		return received{}, err
	}
	c.limited.SetLimit(c.maxBody)
	body, err := hysconn.ReadBody(response.Body)
	closeErr := response.Body.Close()
	if err := stderrors.Join(err, closeErr); err != nil {
		return received{}, fmt.Errorf("body: %w: %w", ErrMalformed, err)
	}
	// This response may belong to an earlier request and be followed by the
	// matching one.
	c.limited.SetLimit(maxHead)
	c.reused, c.idleTimeout = true, parseIdleTimeout(response.Header)
	c.expires = time.Now().Add(c.idleTimeout)
	return received{
		response: &hysmessage.Response{Status: response.StatusCode, Header: response.Header, Body: body},
		reusable: !response.Close && c.reader.Buffered() == 0,
	}, nil
}

func (c *connection) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("head: %w: %w", ErrMalformed, err)
		}
		if hysmessage.IsFinalStatus(response.StatusCode) {
			return response, nil
		}
		if !hysmessage.IsInterimStatus(response.StatusCode) {
			return nil, fmt.Errorf("status %d: %w", response.StatusCode, ErrMalformed)
		}
	}
	return nil, fmt.Errorf("interim responses only: %w", ErrMalformed)
}

// parseIdleTimeout returns how long an idle connection may be kept, from the
// searcher's Keep-Alive field.
func parseIdleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		timeout := time.Duration(seconds) * time.Second
		return max(timeout-idleMargin, timeout/2)
	}
	return defaultIdleTimeout
}
