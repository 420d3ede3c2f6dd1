package hyssearch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysconn"
)

// ErrMismatch means that a reply belongs to another request.
const ErrMismatch = errors.ConstError("the reply belongs to another request")

// ErrConnectionCap means that this instance may open no more connections to the
// searcher.
const ErrConnectionCap = errors.ConstError("the connection cap is reached")

// Timeouts and limits of the client.
const (
	probeTimeout         = 100 * time.Millisecond
	cancelTimeout        = 50 * time.Millisecond
	idleTimeout          = 30 * time.Second
	defaultConnectionCap = 8
)

// Client holds connections to searchers. It is safe for concurrent use.
type Client struct {
	mu       sync.Mutex
	cap      int
	attempts atomic.Uint64
	observer hysconn.Observer
	// memory bounds the bytes of the replies being read.
	memory *hysconn.MemoryBudget
	pools  map[hysmember.Address]*pool
}

// pool holds the connections to one address.
type pool struct {
	idle []*connection
	open int
}

// Option configures a Client.
type Option func(*Client)

// WithConnectionCap limits the connections to each searcher.
func WithConnectionCap(count int) Option {
	return func(c *Client) { c.cap = count }
}

// WithObserver sets an observer of the reach of searchers.
func WithObserver(o hysconn.Observer) Option {
	return func(c *Client) { c.observer = o }
}

// New returns a client without connections.
func New(options ...Option) *Client {
	c := &Client{cap: defaultConnectionCap, observer: hysconn.NoObserver(), memory: hysconn.NewMemoryBudget(replyMemoryBudget), pools: make(map[hysmember.Address]*pool)}
	for _, o := range options {
		o(c)
	}
	return c
}

func (r SearchReply) checkMatches(request SearchRequest) error {
	if r.RequestID != request.RequestID || r.Attempt != request.Attempt || r.Shard != request.Shard {
		return fmt.Errorf("SearchReply.matches: %w", ErrMismatch)
	}
	if r.Status == StatusOK && (r.Epoch != request.Epoch || r.Version != request.Version) {
		return fmt.Errorf("SearchReply.matches: epoch %d version %d: %w", r.Epoch, r.Version, ErrMismatch)
	}
	return nil
}

func (r SearchReply) result() hysdispatch.Result {
	result := hysdispatch.Result{
		Reason: r.Reason, Draining: r.Draining,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, Limit: r.limit(),
	}
	switch r.Status {
	case StatusOK:
		result.Hits = make([][]byte, 0, len(r.Hits))
		for _, h := range r.Hits {
			result.Hits = append(result.Hits, h)
		}
	case StatusShed:
		// A shed search has not run.
		result.Fault, result.NotRun = hysdispatch.FaultShed, true
	case StatusDraining:
		result.Fault, result.NotRun = hysdispatch.FaultDraining, true
	case StatusVersionGone:
		result.Fault, result.NotRun = hysdispatch.FaultVersionGone, true
	case StatusEpochGone:
		result.Fault, result.NotRun = hysdispatch.FaultEpochGone, true
	case StatusCancelled:
		result.Fault = hysdispatch.FaultCancelled
	default:
		result.Fault = hysdispatch.FaultRejected
	}
	return result
}

// limit returns what the reply states about the searcher's rate limit.
func (r SearchReply) limit() hyslimit.Statement {
	if len(r.RateLimit) == 0 {
		return hyslimit.ParseStatement(nil)
	}
	return hyslimit.ParseStatement([]string{string(r.RateLimit)})
}

// Info returns what a searcher reports about itself: its holdings and state.
func (c *Client) Info(ctx context.Context, s hysmember.Searcher) (hysmember.Info, error) {
	conn, err := c.acquire(ctx, s.Address, false)
	if err != nil {
		return hysmember.Info{}, fmt.Errorf("Client.Info: %s: %w", s.ID, err)
	}
	var reply InfoReply
	err = conn.exchange(ctx, PathInfo, struct{}{}, &reply)
	c.release(s.Address, conn, err == nil)
	if err != nil {
		return hysmember.Info{}, fmt.Errorf("Client.Info: %s: %w", s.ID, err)
	}
	if reply.Searcher != s.ID {
		return hysmember.Info{}, fmt.Errorf("Client.Info: %s answered for %s: %w", reply.Searcher, s.ID, ErrMismatch)
	}
	return reply.Info(), nil
}

// acquire returns an idle connection or opens a new one. The caller has
// exclusive use of it until release. With probe set, it returns only a
// connection that has just answered a probe.
func (c *Client) acquire(ctx context.Context, address hysmember.Address, probe bool) (*connection, error) {
	conn := c.takeIdle(address)
	if conn != nil && (!probe || c.probe(ctx, address, conn) == nil) {
		return conn, nil
	}
	conn, err := c.connect(ctx, address)
	if err != nil || !probe {
		return conn, err
	}
	if err := c.probe(ctx, address, conn); err != nil {
		return nil, err
	}
	return conn, nil
}

// probe sends an info request and closes the connection if it fails.
func (c *Client) probe(ctx context.Context, address hysmember.Address, conn *connection) error {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	var reply InfoReply
	if err := conn.exchange(ctx, PathInfo, struct{}{}, &reply); err != nil {
		c.release(address, conn, false)
		return fmt.Errorf("probe %s: %w", address, err)
	}
	return nil
}

// probeIdle probes the idle connections to a searcher in the background, so that
// silent ones are closed before a request is lost on them.
func (c *Client) probeIdle(address hysmember.Address) {
	c.mu.Lock()
	p := c.pool(address)
	idle := p.idle
	p.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		go func() {
			if c.probe(context.Background(), address, conn) == nil {
				c.release(address, conn, true)
			}
		}()
	}
}

// connect opens a new connection if the cap allows it.
func (c *Client) connect(ctx context.Context, address hysmember.Address) (*connection, error) {
	if !c.reserveSlot(address) {
		return nil, fmt.Errorf("connect: %d connections to %s are open: %w", c.cap, address, ErrConnectionCap)
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		c.releaseSlot(address)
		return nil, fmt.Errorf("connect: %w", err)
	}
	return conn, nil
}

func (c *Client) takeIdle(address hysmember.Address) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(conn.lastUsed) < idleTimeout && hysconn.Reusable(conn.Conn) {
			return conn
		}
		_ = conn.Close()
		p.open--
	}
	return nil
}

func (c *Client) reserveSlot(address hysmember.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if p.open >= c.cap {
		return false
	}
	p.open++
	return true
}

func (c *Client) releaseSlot(address hysmember.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(address).open--
}

// release returns a connection to the pool, or closes it if it is not
// reusable.
func (c *Client) release(address hysmember.Address, conn *connection, reusable bool) {
	if !reusable {
		_ = conn.Close()
		c.releaseSlot(address)
		return
	}
	conn.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	p.idle = append(p.idle, conn)
}

func (c *Client) pool(address hysmember.Address) *pool {
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		for _, conn := range p.idle {
			_ = conn.Close()
		}
		p.open -= len(p.idle)
		p.idle = nil
	}
}
