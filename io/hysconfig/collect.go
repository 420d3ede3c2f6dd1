package hysconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"hyssopshore/core/hysticket"
	"hyssopshore/io/hysstore"
)

// collect deletes garbage at an interval while this daemon is a watcher.
func (k *Keeper) collect(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, k.timing.CollectInterval)
		if k.watcher() && ctx.Err() == nil {
			// What fails is tried again at the next interval.
			_, _ = k.CollectGarbage(ctx)
		}
	}
}

// CollectGarbage deletes the pages that no head refers to any more and that have been
// garbage for the grace period. It returns how many it deleted. Several
// daemons may collect at once.
func (k *Keeper) CollectGarbage(ctx context.Context) (int, error) {
	entries, err := k.store.List(ctx, pagePrefix)
	if err != nil {
		return 0, fmt.Errorf("Keeper.Collect: %w", err)
	}
	// The head is read after the list: a listed page of a later generation
	// than the head's is not garbage.
	value, err := k.read(ctx)
	if err != nil {
		return 0, fmt.Errorf("Keeper.Collect: %w", err)
	}
	var head hysticket.Head
	if len(value.Data) == 0 {
		return 0, nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return 0, fmt.Errorf("Keeper.Collect: decode head: %w", err)
	}
	deleted := 0
	for _, entry := range k.ripe(&head, entries) {
		if err := k.store.Delete(ctx, entry.Key, entry.Revision); err != nil {
			return deleted, fmt.Errorf("Keeper.Collect: %w", err)
		}
		deleted++
	}
	return deleted, nil
}

// ripe returns the entries that have been garbage for the grace period.
func (k *Keeper) ripe(head *hysticket.Head, entries []hysstore.Entry) []hysstore.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	seen := k.garbage
	k.garbage = make(map[hysticket.PageRef]time.Time, len(seen))
	var ripe []hysstore.Entry
	for _, entry := range entries {
		ref, err := hysticket.ParsePageRef(strings.TrimPrefix(entry.Key, pagePrefix))
		if err != nil || !head.Deletable(ref) {
			continue
		}
		first, ok := seen[ref]
		if !ok {
			first = now
		}
		k.garbage[ref] = first
		if now.Sub(first) >= k.timing.GracePeriod {
			ripe = append(ripe, entry)
		}
	}
	return ripe
}
