package hysclaims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysquery"
	"hyssopshore/io/hysstore"
)

// maxTries is the number of tries for one batch. A lost compare-and-swap, a
// write with an unknown effect and a reread of the cached page use up one each.
const maxTries = 50

// Limits of the interval between two writes of one page. The interval doubles
// after a lost compare-and-swap, so that many daemons don't overload the store.
const (
	defaultMinWriteInterval = 5 * time.Millisecond
	maxWriteInterval        = 250 * time.Millisecond
)

// maxOrphans is the largest number of orphans of one page.
const maxOrphans = 1024

// States of an operation.
const (
	statePending int32 = iota
	stateDelivered
	stateAbandoned
)

type outcome struct {
	claim hysclaim.Claim
	won   bool
	err   error
}

// operation is a claim, or a record if it has an answer.
type operation struct {
	id     hysquery.RequestID
	window hysclaim.Window
	nonce  hysclaim.Nonce
	answer *hysquery.Answer
	done   chan outcome
	state  atomic.Int32
}

// abandon marks an operation whose caller no longer waits, and returns false if
// its outcome was delivered before. The claim of an abandoned operation is never
// used.
func (o *operation) abandon() bool {
	return o.state.CompareAndSwap(statePending, stateAbandoned)
}

func (o *operation) abandoned() bool { return o.state.Load() == stateAbandoned }

// deliver passes the outcome to the caller, and returns false if the operation
// was abandoned before.
func (o *operation) deliver(result outcome) bool {
	if !o.state.CompareAndSwap(statePending, stateDelivered) {
		return false
	}
	o.done <- result
	return true
}

func (o *operation) apply(p *hysclaim.Page) outcome {
	if o.answer != nil {
		p.RecordAnswer(o.id, o.nonce, *o.answer)
		return outcome{}
	}
	claim, won, err := p.Claim(o.window, o.id, o.nonce)
	return outcome{claim: claim, won: won, err: err}
}

// writer writes one page. At most one goroutine runs it at a time, and only that
// goroutine uses the fields from page on.
type writer struct {
	key    string
	get    GetFunc
	put    PutFunc
	counts *counters

	// mu guards queue, running and lastUsed.
	mu       sync.Mutex
	queue    []*operation
	running  bool
	lastUsed time.Time

	// page is the last known content of the stored page, and revision its
	// revision. Unless current is true, another daemon may have changed it.
	page     *hysclaim.Page
	current  bool
	revision hysstore.Revision
	// writeInterval is the interval between two writes, at least
	// minWriteInterval.
	writeInterval    time.Duration
	minWriteInterval time.Duration
	lastWrite        time.Time
	// orphans are claims that were abandoned, but may have taken effect or may
	// still do so. The next write records them as not run.
	orphans map[hysquery.RequestID]hysclaim.Nonce
}

func (w *writer) enqueue(op *operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, op)
	w.lastUsed = time.Now()
	if !w.running {
		w.running = true
		go w.run()
	}
}

// idle returns when the writer was last used, and whether it can be evicted.
func (w *writer) idle() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastUsed, !w.running
}

// run commits batches until the queue is empty.
func (w *writer) run() {
	for {
		time.Sleep(time.Until(w.lastWrite.Add(w.writeInterval)))
		batch := w.takeBatch()
		if len(batch) == 0 {
			return
		}
		w.commit(context.Background(), batch)
	}
}

func (w *writer) takeBatch() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	w.queue = nil
	w.running = len(batch) > 0
	return batch
}

// commit applies a batch to the page and writes it. A write with an unknown
// effect is resolved by reading the page again. Either the page contains the
// nonces of the batch, or the next try writes at the same revision, after which
// the earlier write can no longer succeed.
func (w *writer) commit(ctx context.Context, batch []*operation) {
	uncertain := false
	for range maxTries {
		cached := w.current
		if err := w.load(ctx); err != nil {
			w.failBatch(batch, uncertain, err)
			return
		}
		batch = w.dropAbandoned(batch, uncertain)
		next, outcomes, changed := w.apply(batch)
		if !changed && cached && hasUnansweredClaim(outcomes) {
			// Another daemon may have recorded the answer since the page was
			// cached, so it is read again.
			w.current = false
			continue
		}
		if !changed {
			w.deliverBatch(batch, outcomes)
			return
		}
		err := w.write(ctx, next)
		switch {
		case err == nil:
			w.orphans = nil
			w.deliverBatch(batch, outcomes)
			return
		case errors.Is(err, hysstore.ErrUnknown):
			uncertain = true
		case !errors.Is(err, hysstore.ErrConflict):
			w.failBatch(batch, uncertain, err)
			return
		}
	}
	w.failBatch(batch, uncertain, fmt.Errorf("lost %d races: %w", maxTries, hysstore.ErrConflict))
}

// load reads the page unless the cached one is current.
func (w *writer) load(ctx context.Context) error {
	if w.current {
		return nil
	}
	w.counts.reads.Add(1)
	value, err := w.get(ctx, w.key)
	if err != nil && !errors.Is(err, hysstore.ErrNotFound) {
		return fmt.Errorf("read %s: %w", w.key, err)
	}
	page, err := hysclaim.DecodePage(value.Data)
	if err != nil {
		return fmt.Errorf("read %s: %w", w.key, err)
	}
	// A store restored from a backup may have lost claims that this daemon has
	// read or written before.
	page.Merge(w.page)
	w.page, w.revision, w.current = page, value.Revision, true
	return nil
}

// dropAbandoned removes the abandoned operations from a batch. If an earlier
// write of the batch has an unknown effect, their claims become orphans.
func (w *writer) dropAbandoned(batch []*operation, uncertain bool) []*operation {
	kept := batch[:0]
	for _, op := range batch {
		if !op.abandoned() {
			kept = append(kept, op)
		} else if uncertain {
			w.addOrphan(op)
		}
	}
	return kept
}

func (w *writer) apply(batch []*operation) (*hysclaim.Page, []outcome, bool) {
	next := w.page.Clone()
	for id, nonce := range w.orphans {
		next.RecordAnswer(id, nonce, hysquery.NotRun(id, "an earlier send was given up before it ran", 0))
	}
	outcomes := make([]outcome, len(batch))
	for i, op := range batch {
		outcomes[i] = op.apply(next)
	}
	return next, outcomes, !next.UnchangedSince(w.page)
}

// hasUnansweredClaim reports whether a claim of another caller has no answer yet.
func hasUnansweredClaim(outcomes []outcome) bool {
	for _, o := range outcomes {
		if o.claim.ID != "" && !o.won && o.claim.Answer == nil {
			return true
		}
	}
	return false
}

// write replaces the stored page by the next one with a compare-and-swap. After
// an error the cached page may be out of date.
func (w *writer) write(ctx context.Context, next *hysclaim.Page) error {
	data, err := next.Encode()
	if err != nil {
		return fmt.Errorf("write %s: %w", w.key, err)
	}
	w.counts.writes.Add(1)
	revision, err := w.put(ctx, w.key, data, w.revision)
	w.lastWrite = time.Now()
	if err == nil {
		w.page, w.revision = next, revision
		w.writeInterval = max(w.writeInterval*7/8, w.minWriteInterval)
		return nil
	}
	w.current = false
	if errors.Is(err, hysstore.ErrUnknown) {
		w.counts.unknown.Add(1)
	}
	if errors.Is(err, hysstore.ErrConflict) {
		w.counts.conflicts.Add(1)
		w.writeInterval = min(2*w.writeInterval, maxWriteInterval)
		time.Sleep(rand.N(w.writeInterval + 1))
	}
	return fmt.Errorf("write %s: %w", w.key, err)
}

// deliverBatch delivers the outcomes to the callers. A claim that was won, but
// abandoned in the meantime, becomes an orphan.
func (w *writer) deliverBatch(batch []*operation, outcomes []outcome) {
	for i, op := range batch {
		if !op.deliver(outcomes[i]) && outcomes[i].won {
			w.addOrphan(op)
		}
	}
}

// failBatch delivers an error to the callers. If an earlier write of the batch has
// an unknown effect, it may still succeed, so the claims become orphans.
func (w *writer) failBatch(batch []*operation, uncertain bool, err error) {
	w.current = false
	for _, op := range batch {
		op.deliver(outcome{err: err})
		if uncertain {
			w.addOrphan(op)
		}
	}
}

func (w *writer) addOrphan(op *operation) {
	if op.answer != nil || len(w.orphans) >= maxOrphans {
		return
	}
	if w.orphans == nil {
		w.orphans = make(map[hysquery.RequestID]hysclaim.Nonce)
	}
	w.orphans[op.id] = op.nonce
}
