package hysfront

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// Rhythm of the reads of the store.
const (
	// watchWait is how long a watch waits if nothing changes. It bounds how
	// long one that hears nothing of the changes is believed.
	watchWait = 2 * time.Second
	// busyPace is the time between watches that heard of nothing that matters.
	busyPace = 1200 * time.Millisecond
	// pace is the least time between watches.
	pace = 200 * time.Millisecond
	// minErrorPause and maxErrorPause bound the time between calls that fail.
	minErrorPause = 200 * time.Millisecond
	maxErrorPause = time.Second
	// maxDoublings keeps the pause from overflowing.
	maxDoublings = 8
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

// regain reports whether it was lost until now, and for how long.
func (d *dependency) regain() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served = time.Now()
	if !d.lost {
		return 0, false
	}
	d.lost = false
	return time.Since(d.at), true
}

func (f *Front) storeFailed(err error) {
	f.directory.Lose()
	if f.store.lose() {
		f.log.Warn("store lost", "error", err)
	}
}

func (f *Front) storeServed() {
	f.directory.Regain(time.Now())
	if away, ok := f.store.regain(); ok {
		f.log.Info("store regained", "away", away)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow keeps the configuration and the list of the searchers at the newest.
func (f *Front) follow(ctx context.Context) {
	after, failures := hysmember.Revision(0), 0
	for ctx.Err() == nil {
		next, rest, err := f.followOnce(ctx, after)
		f.noteChanges(f.directory.Settle(time.Now()))
		switch {
		case err == nil:
			after, failures = next, 0
			f.revision.Store(max(f.revision.Load(), int64(next)))
		case errors.Is(err, ErrHistoryGone):
			f.log.Info("history gone, reading everything again", "after", after)
			after = 0
		case ctx.Err() == nil:
			f.storeFailed(err)
			rest = min(minErrorPause<<min(failures, maxDoublings), maxErrorPause)
			failures++
		}
		sleep(ctx, rest)
	}
}

// followOnce reads everything, or what has changed after a revision. It returns
// where the next call goes on and how long it may wait.
func (f *Front) followOnce(ctx context.Context, after hysmember.Revision) (hysmember.Revision, time.Duration, error) {
	if after == 0 {
		s, err := f.source.Read(ctx)
		if err != nil {
			return 0, 0, fmt.Errorf("read everything: %w", err)
		}
		f.take(s)
		return s.Began, 0, nil
	}
	c, err := f.source.Watch(ctx, after, watchWait)
	if err != nil {
		return 0, 0, fmt.Errorf("watch after %d: %w", after, err)
	}
	if c.Events == 0 && c.Revision > after {
		// Something has changed that the watch was not told of.
		return 0, 0, fmt.Errorf("watch after %d heard nothing up to %d: %w", after, c.Revision, ErrHistoryGone)
	}
	changed := f.update(c)
	rest := pace
	if c.Events > 0 && !changed {
		rest = busyPace
	}
	return max(after, c.Revision), rest, nil
}

// configure puts a configuration in force unless a newer one is. It reports
// whether it did.
func (f *Front) configure(c Configured) bool {
	for _, s := range c.Skipped {
		f.log.Warn("route left out", "route", s.Route, "error", s.Err)
	}
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	next, known := c.Configuration, f.state.Load()
	if next == nil || known != nil && next.Version <= known.Version {
		return false
	}
	// Who learns that the daemon is ready already meets these limits.
	f.callers.adjust(next.Limits)
	f.state.Store(next)
	f.newest.Store(&c)
	f.log.Info("configuration in force", "version", next.Version, "revision", c.Revision, "routes", len(next.Routes))
	f.assign()
	if known == nil {
		close(f.configured)
	}
	return true
}

// take takes a snapshot of the store over.
func (f *Front) take(s Snapshot) {
	// What the store lacks now may come back for a while if it was away.
	f.storeServed()
	for _, m := range s.Malformed {
		f.log.Warn("entry not used", "searcher", m.ID, "revision", m.Revision, "error", m.Err)
	}
	changes := f.directory.Replace(s.Entries, s.Began, time.Now())
	f.listed.Store(true)
	f.noteChanges(changes)
	f.configure(s.Configured)
}

// update takes changes over and reports whether one mattered.
func (f *Front) update(c Changes) bool {
	f.storeServed()
	var changes []hysmember.Change
	for _, u := range c.Updates {
		if change, ok := f.updateEntry(u); ok {
			changes = append(changes, change)
		}
	}
	f.noteChanges(changes)
	return f.configure(c.Configured) || len(changes) > 0
}

func (f *Front) updateEntry(u Update) (hysmember.Change, bool) {
	if u.Malformed != nil {
		f.log.Warn("entry not used", "searcher", u.ID, "revision", u.Revision, "error", u.Malformed)
	}
	if u.Removed || u.Malformed != nil {
		return f.directory.Remove(u.ID, u.Revision, time.Now())
	}
	return f.directory.Put(u.Entry)
}

func (f *Front) noteChanges(changes []hysmember.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		f.log.Info("searcher "+c.Kind.String(), "searcher", c.ID, "service", c.Service, "revision", c.Revision)
	}
	f.assign()
}
