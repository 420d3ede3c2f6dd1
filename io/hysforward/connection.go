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

// Errors of an exchange.
const (
	// ErrMalformed means that what came is not the searcher's whole response.
	ErrMalformed = errors.ConstError("the response is garbled")
	// ErrNoResponse means that the connection ended before any byte came.
	ErrNoResponse = errors.ConstError("the connection ended before the response")
)

// ErrClosedImmediately means that the searcher ended a new connection before anything
// was sent.
const ErrClosedImmediately = errors.ConstError("the searcher ended the new connection at once")

// Limits of a response.
const (
	// maxHead bounds the heads of a response and of interim ones before it, in
	// bytes; maxBody bounds its body and what frames it.
	maxHead = 64 << 10
	maxBody = 8 << 20
	// bodyPart is the part of the memory for responses that one body may take.
	bodyPart = 0.25
	// maxForeign is how many responses to earlier requests are passed over.
	maxForeign = 3
	// maxInterim is how many interim responses are passed over.
	maxInterim = 5
	// inlineBody is the largest body that is written before the response is
	// read. A searcher may answer before it has read a longer one.
	inlineBody = 4 << 10
)

// idleMargin is how much earlier than the searcher a connection is given up.
const idleMargin = time.Second

// connection carries one request at a time to a searcher.
type connection struct {
	net.Conn
	// bounds limits what reader reads.
	bounds *hysconn.Reader
	reader *bufio.Reader
	// maxBody is the largest body that is read, in bytes.
	maxBody int64
	// kept is set once the connection has been idle: the searcher may have
	// closed it.
	kept bool
	// ahead is set while a connection that was opened ahead is not yet used.
	ahead   bool
	expires time.Time
	// keeps is how long the searcher keeps it idle.
	keeps time.Duration
}

// usable reports whether an idle connection can carry another request.
func (c *connection) usable(now time.Time) bool {
	return now.Before(c.expires) && hysconn.Reusable(c.Conn)
}

func newConnection(c net.Conn, memory *hysconn.MemoryBudget) *connection {
	bounds := hysconn.NewReader(c, memory)
	return &connection{
		Conn: c, bounds: bounds, reader: bufio.NewReader(bounds),
		maxBody: min(maxBody, int64(bodyPart*float64(memory.Limit()))),
	}
}

// settleTime is how long a searcher at its limit takes to end a connection that
// it has just accepted.
const settleTime = 2 * time.Millisecond

// settle waits until a searcher that is at its limit would have ended the new
// connection: what has not been sent has not run, and may go elsewhere.
func (c *connection) settle(ctx context.Context) error {
	timer := time.NewTimer(settleTime)
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

// outgoing is a request as it is written to a connection.
type outgoing struct {
	request *hysmessage.Request
	// fields are the header fields that the system sets itself.
	fields http.Header
	// idField and id tell the response from others.
	idField string
	id      string
	// leavingField is set in the responses of a searcher that is leaving.
	leavingField string
}

// received is a response and whether its connection may be used again.
type received struct {
	response *hysmessage.Response
	reusable bool
	// leaving is set if this response, or one to an earlier request that was
	// passed over, says that the searcher is leaving.
	leaving bool
}

// exchange sends a request and reads its response. The end of the context ends
// it.
func (c *connection) exchange(ctx context.Context, o outgoing) (received, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if len(o.request.Body) <= inlineBody {
		if err := c.write(o); err != nil {
			return received{}, fmt.Errorf("write: %w", err)
		}
		return c.readOwn(o)
	}
	written := make(chan error, 1)
	go func() { written <- c.write(o) }()
	r, err := c.readOwn(o)
	select {
	case writeErr := <-written:
		r.reusable = r.reusable && writeErr == nil
	default:
		// The response came before the body was sent: the rest of the body must
		// not be taken for a request.
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

// readOwn reads the response to the request, past late ones to earlier
// requests.
func (c *connection) readOwn(o outgoing) (received, error) {
	c.bounds.Begin(maxHead)
	defer c.bounds.End()
	if _, err := c.reader.Peek(1); err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	leaving := false
	for range maxForeign {
		r, err := c.read(o.request.Method)
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

// read reads one final response.
func (c *connection) read(method string) (received, error) {
	response, err := c.readHead(method)
	if err != nil {
		return received{}, err
	}
	c.bounds.SetLimit(c.maxBody)
	body, err := hysconn.ReadBody(response.Body)
	closeErr := response.Body.Close()
	if err := stderrors.Join(err, closeErr); err != nil {
		return received{}, fmt.Errorf("body: %w: %w", ErrMalformed, err)
	}
	// The response may be to another request, and the own one come after it.
	c.bounds.SetLimit(maxHead)
	c.kept, c.keeps = true, idleTime(response.Header)
	c.expires = time.Now().Add(c.keeps)
	return received{
		response: &hysmessage.Response{Status: response.StatusCode, Header: response.Header, Body: body},
		reusable: !response.Close && c.reader.Buffered() == 0,
	}, nil
}

func (c *connection) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("head: %w: %w", ErrMalformed, err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, fmt.Errorf("interim responses only: %w", ErrMalformed)
}

// idleTime is how long a connection may be kept, as the searcher says.
func idleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTime
		}
		whole := time.Duration(seconds) * time.Second
		return max(whole-idleMargin, whole/2)
	}
	return defaultIdleTime
}
