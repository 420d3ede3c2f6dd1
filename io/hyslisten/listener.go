// Package hyslisten accepts the connections of clients within limits on their number and
// on the memory of their requests. It closes those that hysintake evicts, and goes on
// accepting while descriptors are short.
//
// A handler marks a request as running once it has arrived whole, and must not run one
// that was evicted before. An evicted connection gets no more bytes from its client, as
// after a timeout, so that the handler can still answer that the request has not run.
//
// # Usage
//
//	l := hyslisten.New(inner, hysintake.Limits{Connections: 1000, Bytes: 32 << 20}, hyslisten.WithRefusal(response))
//	server := &http.Server{Handler: hyslisten.Handler(handler), ConnContext: hyslisten.ConnContext}
//	server.Serve(l)
//
//	if !hyslisten.FromContext(r.Context()).Begin() { // after the body was read
//	}
//
// Lock order: Listener.mu, then Conn.deadlineMu.
package hyslisten

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysintake"
)

const (
	// acceptRetryDelay is the time between a failed accept and the next one.
	acceptRetryDelay = 20 * time.Millisecond
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// Listener accepts connections within limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// refusal is what a refused connection is sent before it is closed.
	refusal []byte
	// onEvicted and onFailed receive evicted connections and failed accepts.
	onEvicted func(hysintake.Eviction)
	onFailed  func(error)

	mu    sync.Mutex
	table *hysintake.Table
	conns map[hysintake.ConnectionID]*Conn
	last  hysintake.ConnectionID
}

// Option configures a Listener.
type Option func(*Listener)

// WithRefusal sets the bytes that a refused connection is sent before it is closed.
func WithRefusal(response []byte) Option {
	return func(l *Listener) { l.refusal = response }
}

// WithEvictedFunc sets a callback for evicted connections. It must not block.
func WithEvictedFunc(onEvicted func(hysintake.Eviction)) Option {
	return func(l *Listener) { l.onEvicted = onEvicted }
}

// WithFailedFunc sets a callback for failed accepts.
func WithFailedFunc(onFailed func(error)) Option {
	return func(l *Listener) { l.onFailed = onFailed }
}

// New returns a listener that accepts the connections of another one.
func New(inner net.Listener, limits hysintake.Limits, options ...Option) *Listener {
	l := &Listener{
		Listener: inner, table: hysintake.NewTable(limits, time.Now), conns: make(map[hysintake.ConnectionID]*Conn),
		onEvicted: func(hysintake.Eviction) {}, onFailed: func(error) {},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Accept returns the next connection, a *Conn. It fails only once the listener is closed:
// while file descriptors are short, new connections wait to be accepted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("Listener.Accept: %w", err)
		}
		if err != nil {
			l.onFailed(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c, ok := l.open(inner); ok {
			return c, nil
		}
		l.refuse(inner)
	}
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Connections()
}

// Bytes returns what the requests that arrive and run hold beyond the uncounted bytes of
// each, in bytes.
func (l *Listener) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Bytes()
}

// open adds a connection, unless it must be refused.
func (l *Listener) open(inner net.Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	c := &Conn{Conn: inner, listener: l, id: l.last}
	evictions, ok := l.table.Open(c.id)
	if !ok {
		return nil, false
	}
	l.conns[c.id] = c
	l.evict(evictions)
	return c, true
}

// refuse answers a connection and closes it.
func (l *Listener) refuse(inner net.Conn) {
	// The client may be gone; nothing depends on the refusal.
	_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = inner.Write(l.refusal)
	_ = inner.Close()
}

// hold sets what the request of a connection holds.
func (l *Listener) hold(c *Conn, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(l.table.Hold(c.id, bytes))
}

// evict ends the reads of evicted connections. The caller holds mu.
func (l *Listener) evict(evictions hysintake.Evictions) {
	for _, e := range evictions {
		l.conns[e.ID].evict()
		l.onEvicted(e)
	}
}

func (l *Listener) begin(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Begin(c.id)
}

func (l *Listener) end(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.End(c.id)
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Close(c.id)
	delete(l.conns, c.id)
}
