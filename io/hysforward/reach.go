package hysforward

import (
	"context"
	"fmt"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/io/hysconn"
)

// WithObserver sets an observer of the reach of searchers.
func WithObserver(o hysconn.Observer) Option {
	return func(c *Client) { c.observer = o }
}

// Probe opens a connection to a searcher, which shows that it is in reach. The
// connection is kept if there is no other one. The time bound is that of the context.
func (c *Client) Probe(ctx context.Context, s hysmember.Searcher) error {
	conn, err := c.dial(ctx, s.Address)
	if err != nil {
		return fmt.Errorf("Client.Probe: %s: %w", s.ID, err)
	}
	limit := c.cap(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if p.open > 0 || limit < 1 {
		_ = conn.Close()
		return nil
	}
	p.open++
	p.addIdle(conn)
	return nil
}

// Evidence returns what an error of a connection says about the reach of its searcher,
// given the other connections to it.
func (c *Client) Evidence(s hysmember.Searcher, err error) hysreach.Evidence {
	return hysconn.EvidenceOf(err, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		p := c.pool(keyOf(s))
		p.dropUnusable(time.Now())
		return p.open > 0
	})
}

// observeFailure tells the observer of an error, unless the context has ended.
func (c *Client) observeFailure(ctx context.Context, s hysmember.Searcher, began time.Time, err error) {
	if e := c.Evidence(s, err); e != hysreach.EvidenceNone && ctx.Err() == nil {
		c.observer.Failed(s.ID, began, e)
	}
}
