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

// runCollection collects garbage periodically while this daemon is a watcher.
func (k *Keeper) runCollection(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, k.timing.CollectInterval)
		if k.isWatcher() && ctx.Err() == nil {
			// A failed collection is repeated at the next interval.
			_, _ = k.CollectGarbage(ctx)
		}
	}
}

// CollectGarbage deletes the pages that have been garbage for the grace period:
// no head refers to them any more. It returns the number of deleted pages.
// Several daemons may collect at the same time.
func (k *Keeper) CollectGarbage(ctx context.Context) (int, error) {
	entries, err := k.store.List(ctx, pagePrefix)
	if err != nil {
		return 0, fmt.Errorf("Keeper.CollectGarbage: %w", err)
	}
	// The head is read after the list. A listed page of a later generation
	// than this head's is kept, since a later head may refer to it.
	value, err := k.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("Keeper.CollectGarbage: %w", err)
	}
	var head hysticket.Head
	if len(value.Data) == 0 {
		return 0, nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return 0, fmt.Errorf("Keeper.CollectGarbage: decode head: %w", err)
	}
	deleted := 0
	for _, entry := range k.expiredGarbage(&head, entries) {
		if err := k.store.Delete(ctx, entry.Key, entry.Revision); err != nil {
			return deleted, fmt.Errorf("Keeper.CollectGarbage: %w", err)
		}
		deleted++
	}
	return deleted, nil
}

// expiredGarbage records which of the listed pages are garbage now, and returns
// those that have been garbage for the grace period.
func (k *Keeper) expiredGarbage(head *hysticket.Head, entries []hysstore.Entry) []hysstore.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	previous := k.garbageSince
	k.garbageSince = make(map[hysticket.PageRef]time.Time, len(previous))
	var expired []hysstore.Entry
	for _, entry := range entries {
		ref, err := hysticket.ParsePageRef(strings.TrimPrefix(entry.Key, pagePrefix))
		if err != nil || !head.Deletable(ref) {
			continue
		}
		since, ok := previous[ref]
		if !ok {
			since = now
		}
		k.garbageSince[ref] = since
		if now.Sub(since) >= k.timing.GracePeriod {
			expired = append(expired, entry)
		}
	}
	return expired
}
