package hysfront

import (
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// storeView is the revision of the store up to which this daemon has applied
// everything, and the last time at which there was nothing more to apply. The time
// of the store's last answer may be later: the store may have more changes than it
// returns at once. storeView is safe for concurrent use.
type storeView struct {
	mu       sync.Mutex
	revision hysmember.Revision
	asOf     time.Time
}

// advance records that everything up to a revision is applied.
func (v *storeView) advance(revision hysmember.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision = hysmember.MaxRevision(v.revision, revision)
}

// markComplete records that there was nothing more to apply at a time.
func (v *storeView) markComplete(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asOf.After(v.asOf) {
		v.asOf = asOf
	}
}

// appliedRevision returns the revision up to which everything is applied.
func (v *storeView) appliedRevision() hysmember.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// age returns the time since there was nothing more to apply.
func (v *storeView) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.asOf)
}
