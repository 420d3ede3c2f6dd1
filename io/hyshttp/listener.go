package hyshttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysintake"
	"hyssopshore/io/hyslisten"
)

// Limits on reading the rest of a rejected request.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// idleDelay is how long a connection must be without reads and writes before it
// counts as idle, so that a response in several writes is not cut.
const idleDelay = 100 * time.Millisecond

// listener counts connections and limits their number and the memory of their requests.
type listener struct {
	*hyslisten.Listener
	limits  Limits
	failure FailureFunc

	mu sync.Mutex
	// conns holds the open connections by the address of the client.
	conns map[string]*conn
}

// reasonNoRoom is the reason of a refusal for the sake of other clients.
const reasonNoRoom = "too many connections, or large requests, at this instance"

func newListener(inner net.Listener, limits Limits, failure FailureFunc, options []hyslisten.Option) *listener {
	l := &listener{limits: limits, failure: failure, conns: make(map[string]*conn)}
	refusal := hyslisten.WithRefusal(l.failureResponse(http.StatusServiceUnavailable, reasonNoRoom))
	l.Listener = hyslisten.New(inner, hysintake.Limits{Connections: limits.Connections, Bytes: limits.Memory}, append(options, refusal)...)
	return l
}

// Accept returns the next connection within the limits, a *conn.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("listener.Accept: %w", err)
	}
	limited, ok := inner.(*hyslisten.Conn)
	if !ok {
		return nil, fmt.Errorf("listener.Accept: %T is no connection with limits", inner)
	}
	return l.add(limited), nil
}

func (l *listener) add(inner *hyslisten.Conn) *conn {
	c := &conn{Conn: inner, listener: l}
	c.idleSince.Store(time.Now().UnixNano())
	// Hertz applies its timeout only to the second and later requests of a
	// connection. On a closed connection the next read fails too.
	_ = inner.SetReadDeadline(time.Now().Add(l.limits.Read))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[inner.RemoteAddr().String()] = c
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address := c.RemoteAddr().String(); l.conns[address] == c {
		delete(l.conns, address)
	}
}

// find returns the connection of a client, nil if it is closed.
func (l *listener) find(client net.Addr) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[client.String()]
}

func (l *listener) closeIdle() {
	for _, c := range l.all() {
		if c.idle(time.Now()) {
			_ = c.Close()
		}
	}
}

func (l *listener) closeAll() {
	for _, c := range l.all() {
		_ = c.Close()
	}
}

func (l *listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// failureResponse returns a complete response that closes its connection.
func (l *listener) failureResponse(status int, reason string) []byte {
	// None of the project's failure types can fail to encode.
	body, _ := json.Marshal(l.failure(status, reason))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body)+1)
	if status == http.StatusServiceUnavailable {
		head += fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds(BusyRetryAfter))
	}
	head += "\r\n"
	return append(append([]byte(head), body...), '\n')
}

// conn is a connection of a listener. It is busy from the first byte of a request until its
// response is written.
type conn struct {
	*hyslisten.Conn
	listener *listener
	// idleSince is in Unix nanoseconds, and 0 while the connection is busy.
	idleSince atomic.Int64
	// rejected is set if the rest of a request may be unread.
	rejected atomic.Bool
	closed   sync.Once
}

func (c *conn) idle(now time.Time) bool {
	since := c.idleSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= idleDelay
}

// end marks the request of a connection as answered; nil if it is closed.
func (c *conn) end() {
	if c != nil {
		c.End()
	}
}

// Read reads and marks the connection as busy.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.idleSince.Store(0)
	}
	return n, err
}

// libraryResponses are Hertz's plain-text responses to requests that it can't
// read. Hertz has no option to change them, so Write replaces them.
var libraryResponses = []struct {
	text   []byte
	status int
	reason string
}{
	{[]byte("\r\n\r\nRequest Entity Too Large"), http.StatusRequestEntityTooLarge, "the body is too large"},
	{[]byte("\r\n\r\nRequest Header Fields Too Large"), http.StatusRequestHeaderFieldsTooLarge, "the header is too large"},
	{[]byte("\r\n\r\nRequest timeout"), http.StatusRequestTimeout, "the request did not arrive in time"},
	{[]byte("\r\n\r\nError when parsing request"), http.StatusBadRequest, "not an HTTP request"},
}

// Write writes within the write timeout. It replaces the library's own error
// responses by JSON ones.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.limits.Write)); err != nil {
		return 0, fmt.Errorf("conn.Write: %w", err)
	}
	c.idleSince.Store(0)
	defer func() { c.idleSince.Store(time.Now().UnixNano()) }()
	for _, r := range libraryResponses {
		if bytes.HasPrefix(p, []byte("HTTP/1.1 4")) && bytes.HasSuffix(p, r.text) {
			c.rejected.Store(true)
			status, reason := r.status, r.reason
			if c.Evicted() {
				status, reason = http.StatusServiceUnavailable, reasonNoRoom
			}
			if _, err := c.Conn.Write(c.listener.failureResponse(status, reason)); err != nil {
				return 0, fmt.Errorf("conn.Write: %w", err)
			}
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection. After a rejected request it first reads the
// rest for a while.
func (c *conn) Close() error {
	c.closed.Do(func() {
		if c.rejected.Load() {
			c.linger()
		}
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// linger reads the rest of a rejected request, within limits: closing with
// unread data would reset the connection and lose the response in transit.
func (c *conn) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
