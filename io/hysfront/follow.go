package hysfront

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// Rhythm of the reads of the store.
const (
	// configurationWait is how long a watch for a configuration waits.
	configurationWait = 15 * time.Second
	// listPace is how often the changes of the list are read. They are read
	// together, since each heartbeat is one.
	listPace = 1200 * time.Millisecond
	// listWait is how long a watch waits if nothing has changed.
	listWait = 2 * time.Second
	// errorPause is the time between calls that fail.
	errorPause = 250 * time.Millisecond
)

// dependency is whether something that the daemon needs is there. It is safe
// for concurrent use.
type dependency struct {
	mu   sync.Mutex
	lost bool
	at   time.Time
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

// regain reports whether it was lost until now, and for how long.
func (d *dependency) regain() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		return 0, false
	}
	d.lost = false
	return time.Since(d.at), true
}

func (f *Front) storeFailed(call string, err error) {
	f.directory.Lose()
	if f.store.lose() {
		f.log.Warn("store lost", "call", call, "error", err)
	}
}

func (f *Front) storeServed() {
	f.directory.Regain(time.Now())
	if away, ok := f.store.regain(); ok {
		f.log.Info("store regained", "away", away)
	}
}

// settle notes how a call of the store ended and pauses after a failure.
func (f *Front) settle(ctx context.Context, call string, err error) {
	switch {
	case err == nil:
		f.storeServed()
		return
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrHistoryGone), errors.Is(err, ErrNone):
		f.storeServed()
	default:
		f.storeFailed(call, err)
	}
	sleep(ctx, errorPause)
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followConfiguration keeps the configuration at the newest.
func (f *Front) followConfiguration(ctx context.Context) {
	for after := hysmember.Revision(0); ctx.Err() == nil; {
		var c Configured
		var err error
		if after == 0 {
			c, err = f.source.Configuration(ctx)
		} else {
			c, err = f.source.WatchConfiguration(ctx, after, configurationWait)
		}
		f.settle(ctx, "configuration", err)
		if err != nil {
			// What changed meanwhile may be missing from a watch.
			after = 0
			continue
		}
		after = c.Revision
		f.configure(c)
	}
}

// configure puts a configuration in force unless a newer one is.
func (f *Front) configure(c Configured) {
	for _, s := range c.Skipped {
		f.log.Warn("route left out", "route", s.Route, "error", s.Err)
	}
	next, known := c.Configuration, f.state.Load()
	if next == nil || known != nil && next.Version <= known.Version {
		return
	}
	f.state.Store(next)
	f.log.Info("configuration in force", "version", next.Version, "revision", c.Revision, "routes", len(next.Routes))
	f.assign()
}

// followSearchers keeps the list of the searchers.
func (f *Front) followSearchers(ctx context.Context) {
	for after := hysmember.Revision(0); ctx.Err() == nil; {
		started := time.Now()
		next, err := f.readSearchers(ctx, after)
		f.settle(ctx, "searchers", err)
		f.noteChanges(f.directory.Settle(time.Now()))
		after = next
		if err == nil {
			sleep(ctx, listPace-time.Since(started))
		}
	}
}

// readSearchers reads the whole list, or what has changed after a revision. It
// returns where the next call goes on.
func (f *Front) readSearchers(ctx context.Context, after hysmember.Revision) (hysmember.Revision, error) {
	if after > 0 {
		u, err := f.source.WatchSearchers(ctx, after, listWait)
		if err != nil {
			return 0, err
		}
		f.update(u)
		return u.Revision, nil
	}
	l, err := f.source.Searchers(ctx)
	if err != nil {
		return 0, err
	}
	for _, m := range l.Malformed {
		f.log.Warn("entry not used", "searcher", m.ID, "revision", m.Revision, "error", m.Err)
	}
	// The store serves again: what it lacks now may come back for a while.
	f.storeServed()
	changes := f.directory.Replace(l.Entries, l.Began, time.Now())
	f.listed.Store(true)
	f.noteChanges(changes)
	return l.Began, nil
}

// update takes changes of the list over.
func (f *Front) update(u Updates) {
	f.storeServed()
	var changes []hysmember.Change
	for _, n := range u.Updates {
		if n.Malformed != nil {
			f.log.Warn("entry not used", "searcher", n.ID, "revision", n.Revision, "error", n.Malformed)
		}
		var c hysmember.Change
		var ok bool
		if n.Removed || n.Malformed != nil {
			c, ok = f.directory.Remove(n.ID, n.Revision, time.Now())
		} else {
			c, ok = f.directory.Put(n.Entry)
		}
		if ok {
			changes = append(changes, c)
		}
	}
	f.noteChanges(changes)
}

func (f *Front) noteChanges(changes []hysmember.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		f.log.Info("searcher "+c.What, "searcher", c.ID, "service", c.Service, "revision", c.Revision)
	}
	f.assign()
}
