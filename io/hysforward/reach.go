package hysforward

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
)

// Observer is told what the client finds out about the reach of searchers.
type Observer struct {
	// Heard is called with a searcher that has sent a response or accepted a
	// connection.
	Heard func(hysmember.SearcherID)
	// Failed is called with a searcher to which no connection could be established, or
	// whose connection failed before a response. began is when that was started.
	Failed func(id hysmember.SearcherID, began time.Time, e hysreach.Evidence)
}

// WithObserver sets an observer of the reach of searchers.
func WithObserver(o Observer) Option {
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

// evidenceOf returns what an error of a connection says about the reach of its
// searcher. A connection that the searcher has closed says nothing.
func evidenceOf(err error) hysreach.Evidence {
	var timeout net.Error
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return hysreach.EvidenceRefused
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return hysreach.EvidenceReset
	case errors.Is(err, unix.ETIMEDOUT):
		return hysreach.EvidenceUnacknowledged
	case errors.Is(err, unix.EHOSTUNREACH), errors.Is(err, unix.ENETUNREACH):
		return hysreach.EvidenceTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return hysreach.EvidenceTimeout
	default:
		return hysreach.EvidenceNone
	}
}

// Evidence returns what an error of a connection says about the reach of its searcher,
// given the other connections to it.
func (c *Client) Evidence(s hysmember.Searcher, err error) hysreach.Evidence {
	e := evidenceOf(err)
	if e != hysreach.EvidenceRefused {
		return e
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	p.dropUnusable(time.Now())
	if p.open > 0 {
		return hysreach.EvidenceRefusedInUse
	}
	return e
}

// observeFailure tells the observer of an error, unless the context has ended.
func (c *Client) observeFailure(ctx context.Context, s hysmember.Searcher, began time.Time, err error) {
	if e := c.Evidence(s, err); e != hysreach.EvidenceNone && ctx.Err() == nil {
		c.observer.Failed(s.ID, began, e)
	}
}
