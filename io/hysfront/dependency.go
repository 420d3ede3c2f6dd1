package hysfront

import (
	"sync"
	"time"
)

// dependency is whether something that the daemon needs is there. It is safe
// for concurrent use.
type dependency struct {
	mu   sync.Mutex
	lost bool
	at   time.Time
	// served is when it was last there.
	served time.Time
}

// age is how long ago it was last there.
func (d *dependency) age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.served)
}

// lose reports whether it was there until now.
func (d *dependency) lose() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return false
	}
	d.lost, d.at = true, time.Now()
	return true
}

func (d *dependency) isLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// regain notes that it was there some time ago. It reports whether it was lost
// until now, and for how long.
func (d *dependency) regain(ago time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served = time.Now().Add(-ago)
	if !d.lost {
		return 0, false
	}
	d.lost = false
	return time.Since(d.at), true
}

func (f *Front) storeFailed(err error) {
	f.directory.MarkStoreUnavailable()
	if f.store.lose() {
		f.log.Warn("store lost", "error", err)
	}
}

// storeServed notes that the store has served this daemon, or the one that
// told it so, some time ago.
func (f *Front) storeServed(ago time.Duration) {
	f.directory.MarkStoreAvailable(time.Now())
	if away, ok := f.store.regain(ago); ok {
		f.log.Info("store regained", "away", away)
	}
}
