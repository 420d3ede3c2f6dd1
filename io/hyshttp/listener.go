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
)

// rejectTimeout is the timeout for writing the response to a connection over
// the limit.
const rejectTimeout = 100 * time.Millisecond

// Limits on reading the rest of a rejected request.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// idleDelay is how long a connection must be without reads and writes before it
// counts as idle, so that a response in several writes is not cut.
const idleDelay = 100 * time.Millisecond

// listener counts connections and limits their number.
type listener struct {
	net.Listener
	limits  Limits
	failure FailureFunc

	mu    sync.Mutex
	conns map[*conn]bool
}

func newListener(inner net.Listener, limits Limits, failure FailureFunc) *listener {
	return &listener{Listener: inner, limits: limits, failure: failure, conns: make(map[*conn]bool)}
}

// Accept returns the next connection within the limit. Connections over the
// limit get an error response.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("listener.Accept: %w", err)
		}
		if c, ok := l.add(inner); ok {
			return c, nil
		}
		l.reject(inner)
	}
}

func (l *listener) add(inner net.Conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections {
		return nil, false
	}
	c := &conn{Conn: inner, listener: l}
	c.idleSince.Store(time.Now().UnixNano())
	// Hertz applies its timeout only to the second and later requests of a
	// connection.
	_ = inner.SetReadDeadline(time.Now().Add(l.limits.Read))
	l.conns[c] = true
	return c, true
}

func (l *listener) reject(inner net.Conn) {
	_ = inner.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = inner.Write(l.failureResponse(http.StatusServiceUnavailable, "too many connections to this instance"))
	_ = inner.Close()
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
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
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// failureResponse returns a complete response that closes its connection.
func (l *listener) failureResponse(status int, reason string) []byte {
	// None of the project's failure types can fail to encode.
	body, _ := json.Marshal(l.failure(status, reason))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body)+1)
	return append(append([]byte(head), body...), '\n')
}

// conn is a connection of a listener. It is busy from the first byte of a request until its
// response is written.
type conn struct {
	net.Conn
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
			if _, err := c.Conn.Write(c.listener.failureResponse(r.status, r.reason)); err != nil {
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
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
