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

// maxRaces is how many lost compare-and-swaps one ticket survives.
const maxRaces = 30

// applyTimeout bounds the work on one ticket.
const applyTimeout = 10 * time.Second

// defaultRaceDelay is the longest pause after the first lost compare-and-swap.
const defaultRaceDelay = 5 * time.Millisecond

// WithConflictBackoff sets the longest pause after the first lost compare-and-swap.
func WithConflictBackoff(delay time.Duration) Option {
	return func(k *Keeper) { k.raceDelay = delay }
}

// Apply applies a ticket. ResultUnknown means that the store did not tell
// whether it took effect: the same ticket may be sent again.
//
// A write with an unknown effect is settled by trying again: either the head
// shows the ticket, or the next compare-and-swap at the same revision makes
// the lost one fail.
func (k *Keeper) Apply(ctx context.Context, t hysticket.Ticket) (hysticket.Result, error) {
	t.Defaults()
	if err := t.Validate(); err != nil {
		return hysticket.ResultConflict, fmt.Errorf("Keeper.Apply: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	sent := false
	for i := range maxRaces {
		result, err := k.applyOnce(ctx, t)
		switch {
		case errors.Is(err, hysstore.ErrUnknown):
			sent = true
		case errors.Is(err, hysstore.ErrConflict):
			pause(ctx, rand.N(k.raceDelay*time.Duration(i+1)))
		case err != nil:
			return result, fmt.Errorf("Keeper.Apply: %w", err)
		case sent && result == hysticket.ResultAlreadyAccepted:
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
	value, err := k.read(ctx)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	head, stored, err := k.load(ctx, value)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	k.adopt(head, stored, value.Revision)
	// The log of this daemon has that of the head, and what a store lost.
	if e, ok := k.Log().Find(t.Number); ok {
		return known(t, e)
	}
	if k.behind() {
		// A store that lost tickets must not accept what they supersede.
		if err := k.writeBack(ctx); err != nil {
			return hysticket.ResultUnknown, err
		}
		return hysticket.ResultUnknown, fmt.Errorf("written back first: %w", hysstore.ErrConflict)
	}
	next, result, refused := stored.Apply(t)
	switch result {
	case hysticket.ResultAccepted:
		err := k.commit(ctx, head, next, value.Revision, k.entry(t))
		return committed(err), err
	case hysticket.ResultAlreadyAccepted:
		return result, nil
	}
	trail, err := k.trail(ctx, head)
	if err != nil {
		return hysticket.ResultUnknown, err
	}
	if e, ok := trail.Find(t.Number); ok {
		return known(t, e)
	}
	return result, refused
}

// committed is the result of a ticket after an attempt to write it.
func committed(err error) hysticket.Result {
	switch {
	case err == nil:
		return hysticket.ResultAccepted
	case errors.Is(err, hysticket.ErrInvalid):
		return hysticket.ResultConflict
	default:
		return hysticket.ResultUnknown
	}
}

// known is the result of a ticket whose number was accepted before.
func known(t hysticket.Ticket, e hysticket.LogEntry) (hysticket.Result, error) {
	if e.Digest == t.Digest() {
		return hysticket.ResultAlreadyAccepted, nil
	}
	return hysticket.ResultConflict, fmt.Errorf("ticket %d was accepted with other content from %s", t.Number, e.Author)
}

// commit writes the changed pages, then the head that refers to them.
func (k *Keeper) commit(ctx context.Context, base hysticket.Head, next hysticket.State, revision hysstore.Revision, entries ...hysticket.LogEntry) error {
	k.mu.Lock()
	head := base.Next(k.generation)
	k.mu.Unlock()
	written, err := head.Append(entries...)
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
		written = append(written, page)
	}
	for _, page := range written {
		if err := k.writePage(ctx, page); err != nil {
			return err
		}
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	now, err := k.store.Put(ctx, headKey, data, revision)
	if err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	k.adopt(head, next, now)
	k.vouch(entries)
	return nil
}

// writePage writes a page unless it is there already. Its name tells its
// content, so that a repeated write does no harm.
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

func (k *Keeper) entry(t hysticket.Ticket) hysticket.LogEntry {
	e := hysticket.LogEntry{
		Number: t.Number, Digest: t.Digest(), Author: t.Author, Reason: t.Reason, When: k.now().UTC(),
	}
	e.SetObjects(t.Objects())
	return e
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
