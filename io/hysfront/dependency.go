package hysfront

import (
	"sync"
	"time"
)

// dependency tracks whether something that the daemon needs is available. It is
// safe for concurrent use.
type dependency struct {
	mu               sync.Mutex
	unavailable      bool
	unavailableSince time.Time
	// lastAvailable is when it was last available, markedAt when this was last found.
	lastAvailable time.Time
	markedAt      time.Time
}

// age returns the time since the dependency was last available.
func (d *dependency) age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastAvailable)
}

// markUnavailable records that the dependency is unavailable. It reports whether the
// dependency was available until now.
func (d *dependency) markUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return false
	}
	d.unavailable, d.unavailableSince = true, time.Now()
	return true
}

func (d *dependency) isUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unavailable
}

// markedSince reports whether the dependency was found available after a time.
func (d *dependency) markedSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.markedAt.After(at)
}

// markAvailable records that the dependency was available some time ago. It reports
// whether the dependency was unavailable until now, and for how long.
func (d *dependency) markAvailable(ago time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markedAt = time.Now()
	d.lastAvailable = d.markedAt.Add(-ago)
	if !d.unavailable {
		return 0, false
	}
	d.unavailable = false
	return time.Since(d.unavailableSince), true
}

// storeFailed records that the store does not serve this daemon.
func (f *Front) storeFailed(err error) {
	f.directory.MarkStoreUnavailable()
	if f.store.markUnavailable() {
		f.log.Warn("store unavailable", "error", err)
	}
}

// storeServed records that the store served this daemon, or the daemon that sent it
// updates, some time ago.
func (f *Front) storeServed(ago time.Duration) {
	f.directory.MarkStoreAvailable(time.Now())
	if outage, ok := f.store.markAvailable(ago); ok {
		f.log.Info("store available again", "away", outage)
	}
}
