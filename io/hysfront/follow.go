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
	// readShare is the share of the time in which a change must be in force
	// that may pass between two reads, and while a watch hears nothing.
	readShare = 0.4
	maxPace   = 2 * time.Second
	// pace is the least time between watches.
	pace = 200 * time.Millisecond
	// minErrorPause and maxErrorPause bound the time between calls that fail.
	minErrorPause = 200 * time.Millisecond
	maxErrorPause = time.Second
	// maxDoublings keeps the pause from overflowing.
	maxDoublings = 8
)

// Rhythm of following a reader.
const (
	// followWait is how long a reader may wait for news. It bounds how long one
	// that has stopped is believed.
	followWait = 500 * time.Millisecond
	// followPause is the least time between two questions.
	followPause = 20 * time.Millisecond
	// followSlack is how much older than a reader's pace its news may be.
	followSlack = 800 * time.Millisecond
	// ownReadTime is how long the store is read after a reader has failed.
	ownReadTime = 5 * time.Second
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
	f.directory.Lose()
	if f.store.lose() {
		f.log.Warn("store lost", "error", err)
	}
}

// storeServed notes that the store has served this daemon, or the one that
// told it so, some time ago.
func (f *Front) storeServed(ago time.Duration) {
	f.directory.Regain(time.Now())
	if away, ok := f.store.regain(ago); ok {
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

// progress is how far a daemon has followed the store.
type progress struct {
	// after is the revision from which the next watch goes on; 0 if everything
	// is to be read.
	after    hysmember.Revision
	failures int
	// ownUntil is until when the store is read whoever else does.
	ownUntil time.Time
}

// follow keeps the configuration and the list of the searchers at the newest,
// from the store or from the daemon that reads it for some others.
func (f *Front) follow(ctx context.Context) {
	var p progress
	for ctx.Err() == nil {
		rest := f.followReader(ctx, &p)
		if !f.following.Load() {
			rest = f.followStore(ctx, &p)
		}
		f.noteChanges(f.directory.Settle(time.Now()))
		sleep(ctx, rest)
	}
}

// followReader asks this daemon's reader for news, if it has one.
func (f *Front) followReader(ctx context.Context, p *progress) time.Duration {
	reader, ok := f.reader()
	if !ok || p.after == 0 || time.Now().Before(p.ownUntil) {
		f.following.Store(false)
		return 0
	}
	age, err := f.askInstance(ctx, reader, followWait, f.readPace()+followSlack)
	if err != nil {
		f.following.Store(false)
		p.ownUntil = time.Now().Add(ownReadTime)
		if ctx.Err() == nil {
			f.log.Warn("reader lost", "reader", reader.ID, "error", err)
		}
		return 0
	}
	f.storeServed(age)
	if !f.following.Swap(true) {
		f.log.Info("reader followed", "reader", reader.ID, "revision", f.revision.Load())
	}
	p.after, p.failures = max(p.after, hysmember.Revision(f.revision.Load())), 0
	return followPause
}

// reader is the daemon that reads the store for this one.
func (f *Front) reader() (hysmember.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reader, ok := f.announced.Reader(f.settings.Instance)
	return reader, ok && reader.Address != ""
}

// readPace is the time between watches that heard of nothing that matters.
func (f *Front) readPace() time.Duration {
	return min(time.Duration(readShare*float64(f.settings.ApplyWithin)), maxPace)
}

// followStore reads from the store what it has not told yet.
func (f *Front) followStore(ctx context.Context, p *progress) time.Duration {
	next, rest, err := f.followOnce(ctx, p.after)
	switch {
	case err == nil:
		p.after, p.failures = next, 0
		f.raiseRevision(next)
	case errors.Is(err, ErrHistoryGone):
		f.log.Info("history gone, reading everything again", "after", p.after)
		p.after = 0
	case ctx.Err() == nil:
		f.storeFailed(err)
		rest = min(minErrorPause<<min(p.failures, maxDoublings), maxErrorPause)
		p.failures++
	}
	return rest
}

// raiseRevision notes up to which revision this daemon knows everything.
func (f *Front) raiseRevision(revision hysmember.Revision) {
	for {
		known := f.revision.Load()
		if known >= int64(revision) || f.revision.CompareAndSwap(known, int64(revision)) {
			return
		}
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
	c, err := f.source.Watch(ctx, after, f.readPace())
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
		rest = f.readPace()
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
	f.mu.Lock()
	f.configurationChanged = f.directory.Stamp()
	f.mu.Unlock()
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
	f.storeServed(0)
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
	f.storeServed(0)
	var changes []hysmember.Change
	for _, u := range c.Updates {
		if change, ok := f.updateEntry(u); ok {
			changes = append(changes, change)
		}
	}
	f.noteChanges(changes)
	f.mergeSuspects(c.Suspects)
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
		if c.Kind == hysmember.ChangeGone || c.Kind == hysmember.ChangeRestarted {
			f.searcherDown(c.ID)
		}
		f.log.Info("searcher "+c.Kind.String(), "searcher", c.ID, "service", c.Service, "revision", c.Revision)
	}
	f.assign()
}
