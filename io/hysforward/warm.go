package hysforward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// Limits of the connections that are opened ahead of requests.
const (
	// warmDials is how many are opened at the same time.
	warmDials = 8
	// unusedIdleTime is how long a connection is kept before a searcher has
	// ever said how long it keeps one.
	unusedIdleTime = 5 * time.Second
	// minWarmPause and maxWarmPause bound the time until a searcher that could
	// not be reached, or has closed such a connection unused, is tried again. It
	// resets connections over its limit, and each one holds a slot for a moment.
	minWarmPause = 2 * time.Second
	maxWarmPause = 16 * time.Second
)

// Prewarm opens a connection to each searcher that has none, so that its next
// request need not wait for one. It returns how many it has opened, and the
// failures by searcher.
func (c *Client) Prewarm(ctx context.Context, searchers hysmember.Searchers) (int, map[hysmember.SearcherID]error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	opened, failures := 0, make(map[hysmember.SearcherID]error)
	turns := make(chan struct{}, warmDials)
	for _, s := range searchers {
		if !c.isCold(s) {
			continue
		}
		turns <- struct{}{}
		wait.Go(func() {
			defer func() { <-turns }()
			err := c.warm(ctx, s)
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

// warm opens a connection and keeps it for the next request.
func (c *Client) warm(ctx context.Context, s hysmember.Searcher) error {
	conn, err := c.connect(ctx, s)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	if err != nil {
		p.failedToWarm(time.Now())
		return fmt.Errorf("warm: %w", err)
	}
	conn.kept, conn.ahead = true, true
	p.idle = append(p.idle, conn)
	return nil
}

// isCold reports whether a searcher has no connection and may be given one. It
// drops the idle ones that can't be used any more.
func (c *Client) isCold(s hysmember.Searcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(keyOf(s))
	p.dropUnusable(time.Now())
	return p.open == 0 && time.Now().After(p.warmAt)
}

// dropUnusable closes the idle connections that have expired or that the
// searcher has closed.
func (p *pool) dropUnusable(now time.Time) {
	usable := p.idle[:0]
	for _, conn := range p.idle {
		if conn.usable(now) {
			usable = append(usable, conn)
			continue
		}
		if conn.ahead && now.Before(conn.expires) {
			p.failedToWarm(now)
		}
		_ = conn.Close()
		p.open--
	}
	clear(p.idle[len(usable):])
	p.idle = usable
}

// failedToWarm puts the next connection ahead of requests off.
func (p *pool) failedToWarm(now time.Time) {
	p.warmPause = min(max(2*p.warmPause, minWarmPause), maxWarmPause)
	p.warmAt = now.Add(p.warmPause)
}

// idleTime is how long the searcher keeps a connection, as it last said.
func (p *pool) idleTime() time.Duration {
	if p.keeps > 0 {
		return p.keeps
	}
	return unusedIdleTime
}
