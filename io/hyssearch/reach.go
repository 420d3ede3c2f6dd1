package hyssearch

import (
	"context"
	"fmt"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/io/hysconn"
)

// Probe opens a connection to a searcher, which shows that it is in reach. The time
// bound is that of the context.
func (c *Client) Probe(ctx context.Context, s hysmember.Searcher) error {
	conn, err := c.dial(ctx, s.Address)
	if err != nil {
		return fmt.Errorf("Client.Probe: %s: %w", s.ID, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(s.Address)
	if p.open > 0 {
		_ = conn.Close()
		return nil
	}
	conn.reused, conn.lastUsed = true, time.Now()
	p.open++
	p.idle = append(p.idle, conn)
	return nil
}

// Evidence returns what an error of a connection says about the reach of its searcher,
// given the other connections to it.
func (c *Client) Evidence(s hysmember.Searcher, err error) hysreach.Evidence {
	return hysconn.EvidenceOf(err, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		p := c.pool(s.Address)
		p.dropUnusable()
		return p.open > 0
	})
}

// dropUnusable closes the idle connections that the searcher has closed.
func (p *pool) dropUnusable() {
	usable := p.idle[:0]
	for _, conn := range p.idle {
		if hysconn.Reusable(conn.Conn) {
			usable = append(usable, conn)
			continue
		}
		_ = conn.Close()
		p.open--
	}
	clear(p.idle[len(usable):])
	p.idle = usable
}

// observe tells the observer how a send or its connection has ended.
func (c *Client) observe(ctx context.Context, s hysmember.Searcher, began time.Time, err error) {
	if err == nil {
		c.observer.Heard(s.ID)
		return
	}
	if e := c.Evidence(s, err); e != hysreach.EvidenceNone && ctx.Err() == nil {
		c.observer.Failed(s.ID, began, e)
	}
}
