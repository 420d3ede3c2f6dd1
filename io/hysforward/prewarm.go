package hysforward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// Limits on prewarmed connections.
const (
	// prewarmConcurrency is the number of connections opened at the same time.
	prewarmConcurrency = 8
	// initialIdleTimeout is how long a connection is kept before the searcher
	// has first stated how long it keeps one.
	initialIdleTimeout = 5 * time.Second
	// minPrewarmBackoff and maxPrewarmBackoff bound the backoff after a
	// searcher could not be reached or closed a prewarmed connection unused. A
	// searcher resets connections over its limit, and each attempt occupies one
	// of its slots for a moment.
	minPrewarmBackoff = 2 * time.Second
	maxPrewarmBackoff = 16 * time.Second
)

// Prewarm opens a connection to each searcher that has none, so that its next
// request need not wait for one. It returns the number of connections opened
// and the errors by searcher.
func (c *Client) Prewarm(ctx context.Context, searchers hysmember.Searchers) (int, map[hysmember.SearcherID]error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	opened, failures := 0, make(map[hysmember.SearcherID]error)
	slots := make(chan struct{}, prewarmConcurrency)
	for _, s := range searchers {
		if !c.needsPrewarm(s) {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			err := c.prewarm(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures[s.ID] = err
				return
			}
			opened++
		})
	}
	wait.Wait()
	return opened, failures
}

// prewarm opens a connection and adds it to the idle ones.
func (c *Client) prewarm(ctx context.Context, s hysmember.Searcher) error {
	conn, err := c.connect(ctx, s)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if err != nil {
		p.backOffPrewarm(time.Now())
		return fmt.Errorf("prewarm: %w", err)
	}
	p.addIdle(conn)
	return nil
}

// addIdle adds a new connection that nothing was sent on.
func (p *pool) addIdle(conn *connection) {
	conn.reused, conn.prewarmed = true, true
	conn.idleTimeout = p.effectiveIdleTimeout()
	conn.expires = time.Now().Add(conn.idleTimeout)
	p.idle = append(p.idle, conn)
}

// needsPrewarm reports whether a searcher has no connection and its backoff has
// passed. It first drops idle connections that can no longer be used.
func (c *Client) needsPrewarm(s hysmember.Searcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	p.dropUnusable(time.Now())
	return p.open == 0 && time.Now().After(p.prewarmAt)
}

// dropUnusable closes the idle connections that have expired or that the
// searcher has closed, and backs off if an unexpired prewarmed one was closed.
func (p *pool) dropUnusable(now time.Time) {
	usable := p.idle[:0]
	for _, conn := range p.idle {
		if conn.usable(now) {
			usable = append(usable, conn)
			continue
		}
		if conn.prewarmed && now.Before(conn.expires) {
			p.backOffPrewarm(now)
		}
		_ = conn.Close()
		p.open--
	}
	clear(p.idle[len(usable):])
	p.idle = usable
}

// backOffPrewarm delays the next prewarmed connection with exponential backoff.
func (p *pool) backOffPrewarm(now time.Time) {
	p.prewarmBackoff = min(max(2*p.prewarmBackoff, minPrewarmBackoff), maxPrewarmBackoff)
	p.prewarmAt = now.Add(p.prewarmBackoff)
}

// effectiveIdleTimeout returns how long to keep a new connection idle: as long
// as the searcher last stated, or initialIdleTimeout if it has stated nothing.
func (p *pool) effectiveIdleTimeout() time.Duration {
	if p.idleTimeout > 0 {
		return p.idleTimeout
	}
	return initialIdleTimeout
}
