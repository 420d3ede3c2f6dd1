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

// maxRaces is how many lost compare-and-swaps one batch survives.
const maxRaces = 50

// The pause between the writes of one page. It doubles after a lost
// compare-and-swap, so that many daemons do not exhaust the store.
const (
	defaultPause = 5 * time.Millisecond
	maxPause     = 250 * time.Millisecond
)

// maxOrphans is how many unsettled claims of one page are remembered.
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

// operation is one claim, or with an answer one record.
type operation struct {
	id     hysquery.RequestID
	window hysclaim.Window
	nonce  hysclaim.Nonce
	answer *hysquery.Answer
	done   chan outcome
	state  atomic.Int32
}

// abandon reports whether the caller gave up before an outcome was delivered.
// Its claim is then never used.
func (o *operation) abandon() bool {
	return o.state.CompareAndSwap(statePending, stateAbandoned)
}

func (o *operation) abandoned() bool { return o.state.Load() == stateAbandoned }

// deliver reports whether the caller gets the outcome.
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

// writer writes one page. At most one goroutine runs it at a time; that one
// alone uses the fields below mu's.
type writer struct {
	key    string
	get    GetFunc
	put    PutFunc
	counts *counters

	mu      sync.Mutex
	queue   []*operation
	running bool
	used    time.Time

	// page is the last content seen in the store; it is current if fresh.
	page     *hysclaim.Page
	fresh    bool
	revision hysstore.Revision
	// gap is the time between two writes, at least pause.
	gap   time.Duration
	pause time.Duration
	wrote time.Time
	// orphans are claims whose callers gave up, and which may stand or may
	// still take effect. They are recorded as not run.
	orphans map[hysquery.RequestID]hysclaim.Nonce
}

func (w *writer) enqueue(op *operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, op)
	w.used = time.Now()
	if !w.running {
		w.running = true
		go w.run()
	}
}

// idle returns when the writer was last used, and whether it can be dropped.
func (w *writer) idle() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used, !w.running
}

// run commits batches until none is waiting.
func (w *writer) run() {
	for {
		time.Sleep(time.Until(w.wrote.Add(w.gap)))
		batch := w.take()
		if len(batch) == 0 {
			return
		}
		w.commit(context.Background(), batch)
	}
}

func (w *writer) take() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	w.queue = nil
	w.running = len(batch) > 0
	return batch
}

// commit brings a batch into the page. A write with an unknown effect is
// settled by reading the page back: either it shows the nonces, or the next
// write at the same revision makes the lost one fail.
func (w *writer) commit(ctx context.Context, batch []*operation) {
	sent := false
	for range maxRaces {
		kept := w.fresh
		if err := w.load(ctx); err != nil {
			w.fail(batch, sent, err)
			return
		}
		batch = w.pending(batch, sent)
		next, outcomes, changed := w.apply(batch)
		if !changed && kept && unanswered(outcomes) {
			// Another daemon may have recorded the answer meanwhile.
			w.fresh = false
			continue
		}
		if !changed {
			w.deliver(batch, outcomes)
			return
		}
		err := w.write(ctx, next)
		switch {
		case err == nil:
			w.orphans = nil
			w.deliver(batch, outcomes)
			return
		case errors.Is(err, hysstore.ErrUnknown):
			sent = true
		case !errors.Is(err, hysstore.ErrConflict):
			w.fail(batch, sent, err)
			return
		}
	}
	w.fail(batch, sent, fmt.Errorf("lost %d races: %w", maxRaces, hysstore.ErrConflict))
}

// load reads the page unless the kept one is current.
func (w *writer) load(ctx context.Context) error {
	if w.fresh {
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
	// A restored store may have lost claims that this daemon has seen.
	page.Merge(w.page)
	w.page, w.revision, w.fresh = page, value.Revision, true
	return nil
}

// pending drops the operations whose callers gave up.
func (w *writer) pending(batch []*operation, sent bool) []*operation {
	kept := batch[:0]
	for _, op := range batch {
		if !op.abandoned() {
			kept = append(kept, op)
		} else if sent {
			w.orphan(op)
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

// unanswered reports whether a claim of another caller has no answer yet.
func unanswered(outcomes []outcome) bool {
	for _, o := range outcomes {
		if o.claim.ID != "" && !o.won && o.claim.Answer == nil {
			return true
		}
	}
	return false
}

// write swaps the page for the next one. After any error the kept page may be
// out of date.
func (w *writer) write(ctx context.Context, next *hysclaim.Page) error {
	data, err := next.Encode()
	if err != nil {
		return fmt.Errorf("write %s: %w", w.key, err)
	}
	w.counts.writes.Add(1)
	revision, err := w.put(ctx, w.key, data, w.revision)
	w.wrote = time.Now()
	if err == nil {
		w.page, w.revision = next, revision
		w.gap = max(w.gap*7/8, w.pause)
		return nil
	}
	w.fresh = false
	if errors.Is(err, hysstore.ErrUnknown) {
		w.counts.unknown.Add(1)
	}
	if errors.Is(err, hysstore.ErrConflict) {
		w.counts.conflicts.Add(1)
		w.gap = min(2*w.gap, maxPause)
		time.Sleep(rand.N(w.gap + 1))
	}
	return fmt.Errorf("write %s: %w", w.key, err)
}

// deliver tells the callers. A claim whose caller gave up meanwhile is kept as
// an orphan.
func (w *writer) deliver(batch []*operation, outcomes []outcome) {
	for i, op := range batch {
		if !op.deliver(outcomes[i]) && outcomes[i].won {
			w.orphan(op)
		}
	}
}

// fail tells the callers that they have no claim. If a write was sent, it may
// still take effect.
func (w *writer) fail(batch []*operation, sent bool, err error) {
	w.fresh = false
	for _, op := range batch {
		op.deliver(outcome{err: err})
		if sent {
			w.orphan(op)
		}
	}
}

func (w *writer) orphan(op *operation) {
	if op.answer != nil || len(w.orphans) >= maxOrphans {
		return
	}
	if w.orphans == nil {
		w.orphans = make(map[hysquery.RequestID]hysclaim.Nonce)
	}
	w.orphans[op.id] = op.nonce
}
