package hysconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopshore/core/hysticket"
)

// Timing of the background work.
type Timing struct {
	// WatchTimeout is how long one watch of the head lasts.
	WatchTimeout time.Duration
	// RereadInterval is how often a watcher reads the head though its watch tells
	// nothing, and SlowReread how often every other daemon does. For as long, a
	// daemon sees to it that what it wrote stays in the audit trail.
	RereadInterval     time.Duration
	SlowRereadInterval time.Duration
	// RereadTimeout bounds such a read; after one that failed the store's own
	// timeout does.
	RereadTimeout time.Duration
	// RetryDelay is the pause after a failed call of the store.
	RetryDelay time.Duration
	// CollectInterval is how often a watcher looks for garbage, and Grace how long a
	// page stays after it became garbage.
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

// Run follows the store until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { k.watch(ctx) })
	wait.Go(func() { k.reread(ctx) })
	wait.Go(func() { k.collect(ctx) })
	wait.Wait()
}

// watch waits for new heads while this daemon is a watcher.
func (k *Keeper) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.watcher() {
			pause(ctx, k.timing.RereadInterval)
			continue
		}
		k.mu.Lock()
		known := k.revision
		k.mu.Unlock()
		value, err := k.store.Watch(ctx, headKey, known, k.timing.WatchTimeout)
		if err == nil {
			err = k.learn(ctx, value)
		}
		if err != nil {
			pause(ctx, k.timing.RetryDelay)
		}
	}
}

// reread reads the head at an interval, in case the watch has gone silent.
func (k *Keeper) reread(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		if k.watcher() || k.vouches() || time.Since(last) >= k.timing.SlowRereadInterval {
			if err := k.refreshTwice(ctx); err == nil {
				last = time.Now()
			}
		}
		pause(ctx, k.timing.RereadInterval*7/8+rand.N(k.timing.RereadInterval/4+1))
	}
}

// refreshTwice refreshes with a short timeout, then with the store's own: the
// first attempt may have met a silent connection.
func (k *Keeper) refreshTwice(ctx context.Context) error {
	short, cancel := context.WithTimeout(ctx, k.timing.RereadTimeout)
	defer cancel()
	if k.Refresh(short) == nil {
		return nil
	}
	return k.Refresh(ctx)
}

// Refresh reads the head once, and writes back what the store has lost.
func (k *Keeper) Refresh(ctx context.Context) error {
	value, err := k.read(ctx)
	if err != nil {
		return fmt.Errorf("Keeper.Refresh: %w", err)
	}
	if err := k.learn(ctx, value); err != nil {
		return fmt.Errorf("Keeper.Refresh: %w", err)
	}
	if k.behind() || k.unlogged() {
		return k.writeBack(ctx)
	}
	return nil
}

// behind reports whether the store lacks objects that this daemon knows.
func (k *Keeper) behind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Digest() != k.stored && k.state.HighestNumber() > 0
}

// writeBack writes what this daemon knows and the store lacks, as after a
// restore from a backup. All that daemons know was accepted once.
func (k *Keeper) writeBack(ctx context.Context) error {
	value, err := k.read(ctx)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	head, stored, err := k.load(ctx, value)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	k.adopt(head, stored, value.Revision)
	next := stored.Merge(k.State())
	behind := next.Digest() != stored.Digest()
	if !behind && !k.unlogged() {
		return nil
	}
	trail, err := k.trail(ctx, head)
	if err != nil {
		return fmt.Errorf("Keeper.writeBack: %w", err)
	}
	// What this daemon sees to may be in the older trail, which is read only here.
	k.found(trail)
	if !behind && !k.unlogged() {
		return nil
	}
	lost := k.Log().Without(head.Log).Without(trail)
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
