// Package hysclaims makes claims on non-idempotent requests in the platform's
// store.
//
// Concurrent operations on one page share one write: while a compare-and-swap
// runs, the next batch gathers. A page is kept with its revision after a
// write, so that the next write needs no read unless another daemon wrote.
//
// Lock order: Claims.mu, then writer.mu.
//
// # Usage
//
//	c := hysclaims.New(store)
//	claim, won, err := c.Claim(ctx, id)
//	// Only if won is true: send, once.
//	err = c.Record(ctx, claim, answer)
package hysclaims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysquery"
	"hyssopshore/io/hysstore"
)

// keyPrefix is where the pages lie in the store.
const keyPrefix = "hyssopshore/claims/"

// defaultTimeout bounds one claim or record.
const defaultTimeout = 3 * time.Second

// maxWriters is how many pages are kept; pages in use are kept beyond it.
const maxWriters = 32

// Seams of Claims.
type (
	// GetFunc reads a key of the store.
	GetFunc func(ctx context.Context, key string) (hysstore.Value, error)
	// PutFunc writes a key of the store if it has the expected revision.
	PutFunc func(ctx context.Context, key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error)
)

// Counts tells how claims were written.
type Counts struct {
	Claims    int64
	Records   int64
	Reads     int64
	Writes    int64
	Conflicts int64
	Unknown   int64
}

type counters struct {
	claims, records, reads, writes, conflicts, unknown atomic.Int64
}

// Claims makes claims in the store. It is safe for concurrent use.
type Claims struct {
	mu      sync.Mutex
	get     GetFunc
	put     PutFunc
	timeout time.Duration
	pause   time.Duration
	writers map[string]*writer
	counts  counters
}

// Option changes a maker of claims.
type Option func(*Claims)

// WithTimeout bounds one claim or record.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Claims) { c.timeout = timeout }
}

// WithMinWriteInterval sets the shortest pause between two writes of one page.
func WithMinWriteInterval(pause time.Duration) Option {
	return func(c *Claims) { c.pause = pause }
}

// WithStore replaces the calls of the store.
func WithStore(get GetFunc, put PutFunc) Option {
	return func(c *Claims) { c.get, c.put = get, put }
}

// New returns a maker of claims.
func New(store *hysstore.Client, options ...Option) *Claims {
	c := &Claims{timeout: defaultTimeout, pause: defaultPause, writers: make(map[string]*writer)}
	if store != nil {
		c.get, c.put = store.Get, store.Put
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim claims a request id. Only if won is true may the request be sent, and
// then once. With an error the caller has no claim and must not send; if the
// store shows later that the claim took effect after all, it is recorded as
// not run.
func (c *Claims) Claim(ctx context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
	c.counts.claims.Add(1)
	op := &operation{nonce: hysclaim.Nonce(uuid.NewString())}
	outcome := c.submit(ctx, id, op)
	if outcome.err != nil {
		return hysclaim.Claim{}, false, fmt.Errorf("Claims.Claim: %w", outcome.err)
	}
	return outcome.claim, outcome.won, nil
}

// Record stores the final answer of a claim that the caller holds.
func (c *Claims) Record(ctx context.Context, claim hysclaim.Claim, answer hysquery.Answer) error {
	c.counts.records.Add(1)
	op := &operation{nonce: claim.Nonce, answer: &answer}
	if outcome := c.submit(ctx, claim.ID, op); outcome.err != nil {
		return fmt.Errorf("Claims.Record: %w", outcome.err)
	}
	return nil
}

// Counts returns how claims were written so far.
func (c *Claims) Counts() Counts {
	return Counts{
		Claims: c.counts.claims.Load(), Records: c.counts.records.Load(),
		Reads: c.counts.reads.Load(), Writes: c.counts.writes.Load(),
		Conflicts: c.counts.conflicts.Load(), Unknown: c.counts.unknown.Load(),
	}
}

// submit hands an operation to the writer of its page and waits for the
// outcome.
func (c *Claims) submit(ctx context.Context, id hysquery.RequestID, op *operation) outcome {
	canonical, err := hysclaim.CanonicalID(id)
	if err != nil {
		return outcome{err: err}
	}
	slot, err := hysclaim.SlotOf(canonical)
	if err != nil {
		return outcome{err: err}
	}
	op.id, op.window = canonical, slot.Window
	op.done = make(chan outcome, 1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.enqueue(slot, op)
	select {
	case o := <-op.done:
		return o
	case <-ctx.Done():
	}
	if op.abandon() {
		return outcome{err: fmt.Errorf("wait for the store: %w", ctx.Err())}
	}
	return <-op.done
}

// enqueue finds or makes the writer of a slot. It holds Claims.mu so that a
// writer is not dropped in between.
func (c *Claims) enqueue(slot hysclaim.Slot, op *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyPrefix + slot.String()
	w, ok := c.writers[key]
	if !ok {
		c.trim()
		w = &writer{key: key, get: c.get, put: c.put, counts: &c.counts, gap: c.pause, pause: c.pause}
		c.writers[key] = w
	}
	w.enqueue(op)
}

// trim drops the idle writers that were used least recently.
func (c *Claims) trim() {
	for len(c.writers) >= maxWriters {
		var oldest *writer
		var oldestUse time.Time
		for _, w := range c.writers {
			used, idle := w.idle()
			if idle && (oldest == nil || used.Before(oldestUse)) {
				oldest, oldestUse = w, used
			}
		}
		if oldest == nil {
			return
		}
		delete(c.writers, oldest.key)
	}
}
