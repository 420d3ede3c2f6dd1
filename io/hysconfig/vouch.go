package hysconfig

import (
	"time"

	"hyssopshore/core/hysticket"
)

// vouched are the entries of the audit trail that a daemon has written lately and sees
// to. The others learn a ticket from peers before the watchers have read its entry; if
// the store is restored in between, one that lacks the entry may be the first to write
// back. Should the daemon end before the watchers have read it, the entry is lost.
type vouched struct {
	entries hysticket.Log
	// wrote is when the last of them was written.
	wrote time.Time
}

// recent reports whether the watchers may not have read them yet.
func (v *vouched) recent(now time.Time, span time.Duration) bool {
	return len(v.entries) > 0 && now.Sub(v.wrote) < span
}

// vouch remembers the entries that this daemon has just written.
func (k *Keeper) vouch(entries hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if !k.vouched.recent(now, k.timing.SlowRereadInterval) {
		k.vouched.entries = nil
	}
	k.vouched.entries = k.vouched.entries.Merge(entries, maxKnownLog)
	k.vouched.wrote = now
}

// vouches reports whether this daemon has entries to see to.
func (k *Keeper) vouches() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.vouched.recent(k.now(), k.timing.SlowRereadInterval)
}

// unlogged reports whether the head lacks entries that this daemon sees to.
func (k *Keeper) unlogged() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.vouched.recent(k.now(), k.timing.SlowRereadInterval) && len(k.vouched.entries.Without(k.head.Log)) > 0
}

// found forgets the entries that have left the head for the older trail.
func (k *Keeper) found(trail hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vouched.entries = k.vouched.entries.Without(trail)
}
