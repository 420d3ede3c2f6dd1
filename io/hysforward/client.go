// Package hysforward forwards callers' requests unchanged to searchers over
// plain HTTP/1.1 and reads their complete responses.
//
// A connection carries one request at a time. It is reused only if the
// response was complete, belonged to the request and was followed by no further
// bytes.
//
// # Usage
//
//	c := hysforward.New(headers)
//	dispatcher := hysdispatch.New(c.Send)
//
// Lock order: Client.mu is a leaf lock, and is never held while sending.
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

// ErrConnectionCap means that this instance may open no more connections to the
// searcher.
const ErrConnectionCap = errors.ConstError("the connection cap is reached")

// Timeouts and limits of the client.
const (
	dialTimeout = 300 * time.Millisecond
	// ackTimeout closes a connection whose peer does not acknowledge sent bytes
	// (TCP_USER_TIMEOUT).
	ackTimeout = 1000 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the
	// searcher's response does not say how long it keeps one.
	defaultIdleTimeout   = 30 * time.Second
	defaultConnectionCap = 8
	// defaultResponseMemory bounds the memory for the responses in flight, in
	// bytes.
	defaultResponseMemory = 32 << 20
	// resetWindow is how long a searcher is assumed to be at its connection
	// limit after it has closed a new connection.
	resetWindow = 10 * time.Second
)

// Headers holds the names of the header fields exchanged with searchers.
type Headers struct {
	RequestID string
	Deadline  string
	Signature string
	// Searcher names the field that holds the id of the intended searcher.
	Searcher string
	// NotRun names the field of a response that says that the request was not
	// run.
	NotRun string
	// Leaving names the field that a leaving searcher sets in its responses.
	Leaving string
	// Limit names the field in which a searcher states how many requests a second
	// it takes from all instances.
	Limit string
}

// RefusedFunc is called with a searcher that has refused a connection: nothing
// listens on its address any more.
type RefusedFunc func(hysmember.Searcher)

// CapFunc returns the maximum number of open connections to a searcher.
type CapFunc func(hysmember.Searcher) int

// Client holds connections to searchers. It is safe for concurrent use.
type Client struct {
	headers   Headers
	cap       CapFunc
	onRefused RefusedFunc
	observer  hysconn.Observer
	// memory bounds the bytes of the responses being read.
	memory *hysconn.MemoryBudget

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey identifies a searcher at an address, because another searcher may
// get the same address later.
type poolKey struct {
	id      hysmember.SearcherID
	address hysmember.Address
}

// pool holds the connections to one searcher at one address.
type pool struct {
	idle []*connection
	open int
	// idleTimeout is how long the searcher keeps an idle connection, as stated
	// in its last response.
	idleTimeout time.Duration
	// prewarmAt is the earliest time at which a connection may be prewarmed
	// again.
	prewarmAt      time.Time
	prewarmBackoff time.Duration
	// resetAt is when a new connection was last closed before its first response.
	resetAt time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithConnectionCap limits the connections to each searcher.
func WithConnectionCap(limit CapFunc) Option {
	return func(c *Client) { c.cap = limit }
}

// WithRefusedFunc sets a callback for searchers that refuse connections.
func WithRefusedFunc(onRefused RefusedFunc) Option {
	return func(c *Client) { c.onRefused = onRefused }
}

// WithResponseMemory bounds the total memory of the responses in flight, in
// bytes.
func WithResponseMemory(bytes int64) Option {
	return func(c *Client) { c.memory = hysconn.NewMemoryBudget(bytes) }
}

// New returns a client without connections.
func New(headers Headers, options ...Option) *Client {
	c := &Client{
		headers: headers, pools: make(map[poolKey]*pool),
		cap:       func(hysmember.Searcher) int { return defaultConnectionCap },
		onRefused: func(hysmember.Searcher) {}, memory: hysconn.NewMemoryBudget(defaultResponseMemory),
		observer: hysconn.NoObserver(),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

func keyOf(s hysmember.Searcher) poolKey {
	return poolKey{id: s.ID, address: s.Address}
}

// acquire returns an idle connection or opens a new one. The caller has
// exclusive use of it until release.
func (c *Client) acquire(ctx context.Context, s hysmember.Searcher) (*connection, error) {
	if conn := c.takeIdle(keyOf(s)); conn != nil {
		return conn, nil
	}
	return c.connect(ctx, s)
}

// connect opens a new connection if the cap allows it.
func (c *Client) connect(ctx context.Context, s hysmember.Searcher) (*connection, error) {
	if !c.reserveSlot(s) {
		return nil, fmt.Errorf("connect to %s: %w", s.ID, ErrConnectionCap)
	}
	began := time.Now()
	conn, err := c.dial(ctx, s.Address)
	if errors.Is(err, unix.ECONNREFUSED) {
		c.onRefused(s)
	}
	if err == nil {
		c.observer.Heard(s.ID)
	}
	dialErr := err
	if err == nil && c.resetRecently(keyOf(s)) {
		err = conn.awaitImmediateClose(ctx)
	}
	if err != nil {
		c.releaseSlot(keyOf(s))
	}
	if dialErr != nil {
		c.observeFailure(ctx, s, began, dialErr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", s.ID, err)
	}
	conn.idleTimeout = p.effectiveIdleTimeout()
	conn.expires = time.Now().Add(conn.idleTimeout)
	return conn, nil
}

// recordReset records that a new connection was closed before its first
// response.
func (c *Client) recordReset(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(key).resetAt = time.Now()
}

// resetRecently reports whether a searcher has closed a new connection within
// resetWindow, and so is likely at its connection limit.
func (c *Client) resetRecently(key poolKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.pool(key).resetAt) < resetWindow
}

// Connected reports whether there is a connection to a searcher, so that a
// request need not wait for one to be opened.
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
			conn.prewarmed = false
			return conn
		}
		_ = conn.Close()
		p.open--
	}
	return nil
}

func (c *Client) reserveSlot(s hysmember.Searcher) bool {
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

func (c *Client) releaseSlot(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(key).open--
}

// release returns a connection to the pool, or closes it if it is not
// reusable.
func (c *Client) release(key poolKey, conn *connection, reusable bool) {
	if !reusable {
		_ = conn.Close()
		c.releaseSlot(key)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(key)
	p.idleTimeout, p.prewarmBackoff = conn.idleTimeout, 0
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
	if err := setAckTimeout(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return newConnection(conn, c.memory), nil
}

func setAckTimeout(conn net.Conn) error {
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
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err := stderrors.Join(err, optionErr); err != nil {
		return fmt.Errorf("set silence timeout: %w", err)
	}
	return nil
}
