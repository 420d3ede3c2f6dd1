package hysconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysticket"
	"hyssopshore/io/hysstore"
)

// maxTries is the number of tries for one ticket. A lost compare-and-swap and a
// write with an unknown effect use up one each.
const maxTries = 30

// applyTimeout bounds one call of Apply, with all its tries.
const applyTimeout = 10 * time.Second

// defaultConflictBackoff is the default of WithConflictBackoff.
const defaultConflictBackoff = 5 * time.Millisecond

// WithConflictBackoff sets the longest pause after the first lost
// compare-and-swap of a ticket. The pause is random; its upper bound grows by
// the same amount with each try.
func WithConflictBackoff(delay time.Duration) Option {
	return func(k *Keeper) { k.conflictBackoff = delay }
}

// Apply applies a ticket within 10 s. With ResultUnknown it isn't known whether
// the ticket took effect, and the same ticket may be sent again. An invalid
// ticket gets ResultConflict and an error that wraps hysticket.ErrInvalid.
//
// A write with an unknown effect is resolved by a retry. Either the head shows
// the ticket, or the retry writes at the same revision, after which the earlier
// write can no longer succeed.
func (k *Keeper) Apply(ctx context.Context, t hysticket.Ticket) (hysticket.Result, error) {
	t.Defaults()
	if err := t.Validate(); err != nil {
		return hysticket.ResultConflict, fmt.Errorf("Keeper.Apply: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	uncertain := false
	for i := range maxTries {
		result, err := k.applyOnce(ctx, t)
		switch {
		case errors.Is(err, hysstore.ErrUnknown):
			uncertain = true
		case errors.Is(err, hysstore.ErrConflict):
			sleep(ctx, rand.N(k.conflictBackoff*time.Duration(i+1)))
		case err != nil:
			return result, fmt.Errorf("Keeper.Apply: %w", err)
		case uncertain && result == hysticket.ResultAlreadyAccepted:
			return hysticket.ResultAccepted, nil
		default:
			return result, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return hysticket.ResultUnknown, fmt.Errorf("Keeper.Apply: ticket %d is not settled, send it again: %w", t.Number, hysstore.ErrUnknown)
}

func (k *Keeper) applyOnce(ctx context.Context, t hysticket.Ticket) (hysticket.Result, error) {
	value, err := k.readHead(ctx)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	head, stored, err := k.loadState(ctx, value)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	k.applyStored(head, stored, value.Revision)
	// The local log holds the entries of the head, and those that the store
	// has lost since they were read.
	if e, ok := k.Log().Find(t.Number); ok {
		return previousResult(t, e)
	}
	if k.storeBehind() {
		// Until the lost tickets are restored, the store would accept tickets
		// that they supersede.
		if err := k.writeBack(ctx); err != nil {
			return hysticket.ResultUnknown, err
		}
		return hysticket.ResultUnknown, fmt.Errorf("lost tickets were written back first: %w", hysstore.ErrConflict)
	}
	next, result, refusal := stored.Apply(t)
	switch result {
	case hysticket.ResultAccepted:
		err := k.commit(ctx, head, next, value.Revision, k.logEntry(t))
		return commitResult(err), err
	case hysticket.ResultAlreadyAccepted:
		return result, nil
	}
	older, err := k.readTrail(ctx, head)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	if e, ok := older.Find(t.Number); ok {
		return previousResult(t, e)
	}
	return result, refusal
}

// commitResult returns the result of a ticket from the error of commit.
func commitResult(err error) hysticket.Result {
	switch {
	case err == nil:
		return hysticket.ResultAccepted
	case errors.Is(err, hysticket.ErrInvalid):
		return hysticket.ResultConflict
	default:
		return hysticket.ResultUnknown
	}
}

// previousResult returns the result of a ticket whose number was accepted
// before: the same ticket again, or another one with the same number.
func previousResult(t hysticket.Ticket, e hysticket.LogEntry) (hysticket.Result, error) {
	if e.Digest == t.Digest() {
		return hysticket.ResultAlreadyAccepted, nil
	}
	return hysticket.ResultConflict, fmt.Errorf("ticket %d was accepted with other content from %s", t.Number, e.Author)
}

// commit writes the pages that changed since base, then the head that refers to
// them. Only the head is written with a compare-and-swap.
func (k *Keeper) commit(ctx context.Context, base hysticket.Head, next hysticket.State, revision hysstore.Revision, entries ...hysticket.LogEntry) error {
	k.mu.Lock()
	head := base.Next(k.generation)
	k.mu.Unlock()
	toWrite, err := head.Append(entries...)
	if err != nil {
		return err
	}
	pages, err := next.Paginate(head.Generation)
	if err != nil {
		return err
	}
	for i, page := range pages {
		if page.Ref.Hash == head.Pages[i].Hash {
			continue
		}
		head.Pages[i] = page.Ref
		toWrite = append(toWrite, page)
	}
	for _, page := range toWrite {
		if err := k.writePage(ctx, page); err != nil {
			return err
		}
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	written, err := k.store.Put(ctx, headKey, data, revision)
	if err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	k.applyStored(head, next, written)
	k.addPending(entries)
	return nil
}

// writePage writes a page unless it exists. The name of a page identifies its
// content, so a page that exists already has the right content.
func (k *Keeper) writePage(ctx context.Context, page hysticket.Page) error {
	if page.Ref.Hash == "" {
		return nil
	}
	_, err := k.store.Put(ctx, pagePrefix+page.Ref.String(), page.Data, 0)
	if err != nil && !errors.Is(err, hysstore.ErrConflict) {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func (k *Keeper) logEntry(t hysticket.Ticket) hysticket.LogEntry {
	e := hysticket.LogEntry{
		Number: t.Number, Digest: t.Digest(), Author: t.Author, Reason: t.Reason, When: k.now().UTC(),
	}
	e.SetObjects(t.Objects())
	return e
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
