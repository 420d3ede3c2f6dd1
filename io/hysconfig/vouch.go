package hysconfig

import (
	"hyssopshore/core/hysticket"
)

// The others learn a ticket from peers before the watchers have read its entry
// of the audit trail. If the store is restored in between, one that lacks the
// entry may be the first to write back. So the daemon that wrote an entry sees
// to it that it is there.

// vouch remembers the entries that this daemon has just written.
func (k *Keeper) vouch(entries hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.recent() {
		k.written = nil
	}
	k.written = k.written.Merge(entries, maxKnownLog)
	k.wrote = k.now()
}

// vouches reports whether this daemon has entries to look after.
func (k *Keeper) vouches() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recent() && len(k.written) > 0
}

// recent reports whether the watchers may not have read what was written. The
// caller holds the lock.
func (k *Keeper) recent() bool {
	return k.now().Sub(k.wrote) < k.timing.SlowReread
}

// unlogged returns the entries that this daemon wrote and the head lacks.
func (k *Keeper) unlogged() hysticket.Log {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.recent() {
		return nil
	}
	return k.written.Without(k.head.Log)
}

// found forgets the entries that have left the head for the older trail.
func (k *Keeper) found(trail hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.written = k.written.Without(trail)
}
