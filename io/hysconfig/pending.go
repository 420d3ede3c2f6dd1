package hysconfig

import (
	"time"

	"hyssopshore/core/hysticket"
)

// pendingAudit holds the audit entries that this daemon has written recently and
// restores if the store loses them.
//
// Other daemons get a ticket from their peers before the watchers have read its
// audit entry. If the store is restored from a backup in between, a daemon that
// has the ticket but lacks the entry may be the first to write back, and only
// this daemon can restore the entry. The entry is lost if this daemon ends
// before the watchers have read it.
type pendingAudit struct {
	entries hysticket.Log
	// lastWrite is when entries were last added.
	lastWrite time.Time
}

// mayBeUnread reports whether there are entries that the watchers may not have
// read yet.
func (p *pendingAudit) mayBeUnread(now time.Time, maxAge time.Duration) bool {
	return len(p.entries) > 0 && now.Sub(p.lastWrite) < maxAge
}

// addPending adds the entries that this daemon has just written. It first drops
// those that the watchers have read by now.
func (k *Keeper) addPending(entries hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if !k.pending.mayBeUnread(now, k.timing.SlowRereadInterval) {
		k.pending.entries = nil
	}
	k.pending.entries = k.pending.entries.Merge(entries, maxLocalLogEntries)
	k.pending.lastWrite = now
}

// hasPending reports whether this daemon has pending entries.
func (k *Keeper) hasPending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending.mayBeUnread(k.now(), k.timing.SlowRereadInterval)
}

// headLacksPending reports whether the head lacks a pending entry.
func (k *Keeper) headLacksPending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending.mayBeUnread(k.now(), k.timing.SlowRereadInterval) && len(k.pending.entries.Without(k.head.Log)) > 0
}

// confirmPending removes the pending entries that are in the older part of the
// audit trail, and no longer in the head.
func (k *Keeper) confirmPending(trail hysticket.Log) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending.entries = k.pending.entries.Without(trail)
}
