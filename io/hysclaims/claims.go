// Package hysclaims claims non-idempotent requests in the platform's store, so
// that each runs at most once.
//
// Concurrent operations on one page are batched: those that arrive during a
// compare-and-swap share the next one. After a write the page is cached with its
// revision, so the next write needs no read unless another daemon has written in
// between.
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

// keyPrefix is the prefix of the keys of the pages in the store.
const keyPrefix = "hyssopshore/claims/"

// defaultTimeout is the default of WithTimeout.
const defaultTimeout = 3 * time.Second

// maxWriters is the number of cached pages. Pages in use may exceed it.
const maxWriters = 32

// Calls to the store; see hysstore.Client.
type (
	// GetFunc reads a key of the store.
	GetFunc func(ctx context.Context, key string) (hysstore.Value, error)
	// PutFunc writes a key of the store if it has the expected revision.
	PutFunc func(ctx context.Context, key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error)
)

// Counts holds the numbers of claims and records, and of the calls to the store
// that they took. Conflicts counts lost compare-and-swaps, Unknown the writes
// with an unknown effect.
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

// Claims claims requests in the store. It is safe for concurrent use.
type Claims struct {
	mu               sync.Mutex
	get              GetFunc
	put              PutFunc
	timeout          time.Duration
	minWriteInterval time.Duration
	writers          map[string]*writer
	counts           counters
}

// Option configures Claims.
type Option func(*Claims)

// WithTimeout bounds one claim or record. The default is 3 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Claims) { c.timeout = timeout }
}

// WithMinWriteInterval sets the shortest interval between two writes of one page.
// The default is 5 ms.
func WithMinWriteInterval(interval time.Duration) Option {
	return func(c *Claims) { c.minWriteInterval = interval }
}

// WithStore replaces the calls to the store.
func WithStore(get GetFunc, put PutFunc) Option {
	return func(c *Claims) { c.get, c.put = get, put }
}

// New returns Claims in a store. The store may be nil if WithStore is given.
func New(store *hysstore.Client, options ...Option) *Claims {
	c := &Claims{timeout: defaultTimeout, minWriteInterval: defaultMinWriteInterval, writers: make(map[string]*writer)}
	if store != nil {
		c.get, c.put = store.Get, store.Put
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim claims a request id. The request may be sent only if won is true, and
// then only once. After an error the caller has no claim and must not send the
// request; if the claim turns out later to have taken effect, the request is
// recorded as not run.
func (c *Claims) Claim(ctx context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
	c.counts.claims.Add(1)
	op := &operation{nonce: hysclaim.Nonce(uuid.NewString())}
	outcome := c.submit(ctx, id, op)
	if outcome.err != nil {
		return hysclaim.Claim{}, false, fmt.Errorf("Claims.Claim: %w", outcome.err)
	}
	return outcome.claim, outcome.won, nil
}

// Record stores the final answer of a request whose claim the caller has won.
func (c *Claims) Record(ctx context.Context, claim hysclaim.Claim, answer hysquery.Answer) error {
	c.counts.records.Add(1)
	op := &operation{nonce: claim.Nonce, answer: &answer}
	if outcome := c.submit(ctx, claim.ID, op); outcome.err != nil {
		return fmt.Errorf("Claims.Record: %w", outcome.err)
	}
	return nil
}

// Counts returns the numbers since New.
func (c *Claims) Counts() Counts {
	return Counts{
		Claims: c.counts.claims.Load(), Records: c.counts.records.Load(),
		Reads: c.counts.reads.Load(), Writes: c.counts.writes.Load(),
		Conflicts: c.counts.conflicts.Load(), Unknown: c.counts.unknown.Load(),
	}
}

// submit passes an operation to the writer of its page and waits for the outcome.
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

// enqueue passes an operation to the writer of a slot, which it creates if there
// is none. It holds Claims.mu so that the writer isn't evicted in between.
func (c *Claims) enqueue(slot hysclaim.Slot, op *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyPrefix + slot.String()
	w, ok := c.writers[key]
	if !ok {
		c.evictIdleWriters()
		w = &writer{key: key, get: c.get, put: c.put, counts: &c.counts, writeInterval: c.minWriteInterval, minWriteInterval: c.minWriteInterval}
		c.writers[key] = w
	}
	w.enqueue(op)
}

// evictIdleWriters removes the least recently used of the idle writers until
// there is capacity for another one, or none is idle.
func (c *Claims) evictIdleWriters() {
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
