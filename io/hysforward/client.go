// Package hysforward sends requests to searchers as the callers sent them, and
// reads whole responses, over plain HTTP/1.1.
//
// A connection carries one request at a time. It is used again only if its
// response was complete, belonged to the request and was followed by nothing.
//
// # Usage
//
//	c := hysforward.New(headers)
//	dispatcher := hysdispatch.New(c.Send)
//
// Lock order: Client.mu is held while no other lock is taken, and never while
// sending.
package hysforward

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysconn"
)

// ErrConnectionCap means that this instance may open no more connections.
const ErrConnectionCap = errors.ConstError("the connection cap is reached")

// Timeouts and limits of the client.
const (
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout ends a connection whose bytes the other end does not
	// acknowledge.
	silenceTimeout = 1000 * time.Millisecond
	// defaultIdleTime is how long a connection is kept if the searcher does not
	// say how long it keeps it.
	defaultIdleTime   = 30 * time.Second
	defaultConnectCap = 8
	// defaultResponseMemory is what responses in flight may hold, in bytes.
	defaultResponseMemory = 32 << 20
	// resetSpan is how long a searcher is taken to be at its limit of
	// connections after it has ended a new one.
	resetSpan = 10 * time.Second
)

// Headers are the names of the header fields between the system and searchers.
type Headers struct {
	RequestID string
	Deadline  string
	Signature string
	// Searcher names the field that holds the id of the searcher that is meant.
	Searcher string
	// NotRun names the field of a response that says that nothing has run.
	NotRun string
	// Leaving names the field of the responses of a searcher that is leaving.
	Leaving string
}

// RefusedFunc is told of a searcher whose address nothing listens on any more.
type RefusedFunc func(hysmember.Searcher)

// CapFunc returns how many connections may be open to a searcher.
type CapFunc func(hysmember.Searcher) int

// Client keeps connections to searchers. It is safe for concurrent use.
type Client struct {
	headers Headers
	cap     CapFunc
	down    RefusedFunc
	// memory is for the responses that are read.
	memory *hysconn.MemoryBudget

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey tells a searcher from another one that has had its address.
type poolKey struct {
	id      hysmember.SearcherID
	address hysmember.Address
}

type pool struct {
	idle []*connection
	open int
	// keeps is how long the searcher keeps an idle connection, as it last said.
	keeps time.Duration
	// warmAt is when a connection may be opened ahead of requests again.
	warmAt    time.Time
	warmPause time.Duration
	// resetAt is when a new connection last ended before its first response.
	resetAt time.Time
}

// Option changes a Client.
type Option func(*Client)

// WithConnectionCap bounds the connections to each searcher.
func WithConnectionCap(limit CapFunc) Option {
	return func(c *Client) { c.cap = limit }
}

// WithRefusedFunc tells of searchers that refuse connections.
func WithRefusedFunc(down RefusedFunc) Option {
	return func(c *Client) { c.down = down }
}

// WithResponseMemory bounds the bytes that the responses in flight hold together.
func WithResponseMemory(bytes int64) Option {
	return func(c *Client) { c.memory = hysconn.NewMemoryBudget(bytes) }
}

// New returns a client without connections.
func New(headers Headers, options ...Option) *Client {
	c := &Client{
		headers: headers, pools: make(map[poolKey]*pool),
		cap:  func(hysmember.Searcher) int { return defaultConnectCap },
		down: func(hysmember.Searcher) {}, memory: hysconn.NewMemoryBudget(defaultResponseMemory),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

func keyOf(s hysmember.Searcher) poolKey {
	return poolKey{id: s.ID, address: s.Address}
}

// acquire returns a connection of its own to the caller.
func (c *Client) acquire(ctx context.Context, s hysmember.Searcher) (*connection, error) {
	if conn := c.takeIdle(keyOf(s)); conn != nil {
		return conn, nil
	}
	return c.connect(ctx, s)
}

// connect opens a new connection within the cap.
func (c *Client) connect(ctx context.Context, s hysmember.Searcher) (*connection, error) {
	if !c.reserve(s) {
		return nil, fmt.Errorf("connect to %s: %w", s.ID, ErrConnectionCap)
	}
	conn, err := c.dial(ctx, s.Address)
	if errors.Is(err, unix.ECONNREFUSED) {
		c.down(s)
	}
	if err == nil && c.resetsNew(keyOf(s)) {
		err = conn.settle(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if err != nil {
		p.open--
		return nil, fmt.Errorf("connect to %s: %w", s.ID, err)
	}
	conn.keeps = p.idleTime()
	conn.expires = time.Now().Add(conn.keeps)
	return conn, nil
}

// noteReset notes that a new connection has ended before its first response.
func (c *Client) noteReset(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(key).resetAt = time.Now()
}

// resetsNew reports whether a searcher has ended a new connection lately. It is
// likely at its limit of connections.
func (c *Client) resetsNew(key poolKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.pool(key).resetAt) < resetSpan
}

// Connected reports whether there is a connection to a searcher, so that a
// request need not wait for one.
func (c *Client) Connected(s hysmember.Searcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[keyOf(s)]
	if !ok {
		return false
	}
	now := time.Now()
	fresh := slices.ContainsFunc(p.idle, func(conn *connection) bool { return now.Before(conn.expires) })
	return fresh || p.open > len(p.idle)
}

func (c *Client) takeIdle(key poolKey) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(key)
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.usable(time.Now()) {
			conn.ahead = false
			return conn
		}
		_ = conn.Close()
		p.open--
	}
	return nil
}

func (c *Client) reserve(s hysmember.Searcher) bool {
	limit := c.cap(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

func (c *Client) forget(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(key).open--
}

// release gives a connection back; one that is not reusable is closed.
func (c *Client) release(key poolKey, conn *connection, reusable bool) {
	if !reusable {
		_ = conn.Close()
		c.forget(key)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(key)
	p.keeps, p.warmPause = conn.keeps, 0
	p.idle = append(p.idle, conn)
}

func (c *Client) pool(key poolKey) *pool {
	p, ok := c.pools[key]
	if !ok {
		p = &pool{}
		c.pools[key] = p
	}
	return p
}

// Retain closes the idle connections to searchers that are no longer listed.
func (c *Client) Retain(listed func(hysmember.SearcherID, hysmember.Address) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		if listed(key.id, key.address) {
			continue
		}
		p.closeIdle()
		if p.open == 0 {
			delete(c.pools, key)
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.Retain(func(hysmember.SearcherID, hysmember.Address) bool { return false })
}

func (p *pool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

func (c *Client) dial(ctx context.Context, address hysmember.Address) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if err := setSilenceTimeout(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return newConnection(conn, c.memory), nil
}

func setSilenceTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("set silence timeout: %w", err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err := stderrors.Join(err, optionErr); err != nil {
		return fmt.Errorf("set silence timeout: %w", err)
	}
	return nil
}
