package hysconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopshore/core/hysticket"
)

// Timing holds the intervals and timeouts of the background work.
type Timing struct {
	// WatchTimeout is how long one watch of the head lasts at most.
	WatchTimeout time.Duration
	// RereadInterval is the interval at which a watcher reads the head even if
	// its watch reports no change, and SlowRereadInterval that of the other
	// daemons. For SlowRereadInterval after a write, a daemon restores its audit
	// entry if the store loses it.
	RereadInterval     time.Duration
	SlowRereadInterval time.Duration
	// RereadTimeout bounds the first try of such a read. The second try has the
	// timeout of the store's client.
	RereadTimeout time.Duration
	// RetryDelay is the pause after a failed watch.
	RetryDelay time.Duration
	// CollectInterval is the interval at which a watcher collects garbage, and
	// GracePeriod how long a garbage page is kept.
	CollectInterval time.Duration
	GracePeriod     time.Duration
}

var defaultTiming = Timing{
	WatchTimeout:       20 * time.Second,
	RereadInterval:     time.Second,
	SlowRereadInterval: 30 * time.Second,
	RereadTimeout:      500 * time.Millisecond,
	RetryDelay:         200 * time.Millisecond,
	CollectInterval:    time.Minute,
	GracePeriod:        10 * time.Minute,
}

// WithTiming replaces the timing of the background work.
func WithTiming(t Timing) Option {
	return func(k *Keeper) { k.timing = t }
}

// Run watches the store, rereads the head and collects garbage until the context
// ends.
func (k *Keeper) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { k.watchHead(ctx) })
	wait.Go(func() { k.pollHead(ctx) })
	wait.Go(func() { k.runCollection(ctx) })
	wait.Wait()
}

// watchHead watches the head and applies its changes while this daemon is a
// watcher.
func (k *Keeper) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.isWatcher() {
			sleep(ctx, k.timing.RereadInterval)
			continue
		}
		k.mu.Lock()
		known := k.revision
		k.mu.Unlock()
		value, err := k.store.Watch(ctx, headKey, known, k.timing.WatchTimeout)
		if err == nil {
			err = k.applyHead(ctx, value)
		}
		if err != nil {
			sleep(ctx, k.timing.RetryDelay)
		}
	}
}

// pollHead reads the head at an interval, since a watch may hang without an
// error.
func (k *Keeper) pollHead(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		if k.isWatcher() || k.hasPending() || time.Since(last) >= k.timing.SlowRereadInterval {
			if err := k.refreshWithRetry(ctx); err == nil {
				last = time.Now()
			}
		}
		sleep(ctx, k.timing.RereadInterval*7/8+rand.N(k.timing.RereadInterval/4+1))
	}
}

// refreshWithRetry refreshes with a short timeout, since the connection may be
// dead, and after a failure once more with the timeout of the store's client.
func (k *Keeper) refreshWithRetry(ctx context.Context) error {
	short, cancel := context.WithTimeout(ctx, k.timing.RereadTimeout)
	defer cancel()
	if k.Refresh(short) == nil {
		return nil
	}
	return k.Refresh(ctx)
}

// Refresh reads the head, applies it, and writes back what the store has lost.
func (k *Keeper) Refresh(ctx context.Context) error {
	value, err := k.readHead(ctx)
	if err != nil {
		return fmt.Errorf("Keeper.Refresh: %w", err)
	}
	if err := k.applyHead(ctx, value); err != nil {
		return fmt.Errorf("Keeper.Refresh: %w", err)
	}
	if k.storeBehind() || k.headLacksPending() {
		return k.writeBack(ctx)
	}
	return nil
}

// storeBehind reports whether the store lacks objects that this daemon knows.
func (k *Keeper) storeBehind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Digest() != k.storedDigest && k.state.HighestNumber() > 0
}

// writeBack writes the objects and audit entries that this daemon has and the
// store lacks, for example after a restore from a backup. A daemon has only
// objects of accepted tickets, so all of them may be written.
func (k *Keeper) writeBack(ctx context.Context) error {
	value, err := k.readHead(ctx)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	head, stored, err := k.loadState(ctx, value)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	k.applyStored(head, stored, value.Revision)
	next := stored.Merge(k.State())
	behind := next.Digest() != stored.Digest()
	if !behind && !k.headLacksPending() {
		return nil
	}
	older, err := k.readTrail(ctx, head)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	// The older trail is read only here, so a pending entry that is missing in
	// the head may have been found in it.
	k.confirmPending(older)
	if !behind && !k.headLacksPending() {
		return nil
	}
	lost := k.Log().Without(head.Log).Without(older)
	entries := append(lost, k.writeBackEntry(stored, next))
	if err := k.commit(ctx, head, next, value.Revision, entries...); err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	return nil
}

func (k *Keeper) writeBackEntry(stored, next hysticket.State) hysticket.LogEntry {
	e := hysticket.LogEntry{
		Digest: next.Digest(), Author: string(k.instance), When: k.now().UTC(),
		Reason: "the store was behind the daemons: written back",
	}
	e.SetObjects(next.ObjectsNewerThan(stored))
	return e
}
