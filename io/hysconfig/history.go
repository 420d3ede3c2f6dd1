package hysconfig

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"hyssopshore/core/hysticket"
	"hyssopshore/io/hysstore"
)

// Log returns the newest part of the audit trail, as known to this daemon.
func (k *Keeper) Log() hysticket.Log {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append(hysticket.Log(nil), k.log...)
}

// History returns the whole audit trail from the store. If the store can't be
// read, it returns the result of Log together with the error.
func (k *Keeper) History(ctx context.Context) (hysticket.Log, error) {
	value, err := k.readHead(ctx)
	if err != nil {
		return k.Log(), fmt.Errorf("Keeper.History: %w", err)
	}
	var head hysticket.Head
	if len(value.Data) == 0 {
		return k.Log(), nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return k.Log(), fmt.Errorf("Keeper.History: decode head: %w", err)
	}
	older, err := k.readTrail(ctx, head)
	if err != nil {
		return k.Log(), fmt.Errorf("Keeper.History: %w", err)
	}
	return append(older, head.Log...), nil
}

// readTrail reads the log entries that are no longer in the head, the newest
// last. It skips the pages that the store has lost.
func (k *Keeper) readTrail(ctx context.Context, head hysticket.Head) (hysticket.Log, error) {
	var trail hysticket.Log
	for _, ref := range head.Trail {
		value, err := k.store.Get(ctx, pagePrefix+ref.String())
		if errors.Is(err, hysstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read trail: %w", err)
		}
		var entries hysticket.Log
		if err := json.Unmarshal(value.Data, &entries); err != nil {
			return nil, fmt.Errorf("decode trail %s: %w", ref, err)
		}
		trail = append(trail, entries...)
	}
	return trail, nil
}
