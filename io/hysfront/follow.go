package hysfront

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// Timing of the reads of the store.
const (
	// readShare is the time between two reads, and the longest wait of a watch for
	// the next change, as a share of the time limit for applying a change.
	readShare       = 0.4
	maxReadInterval = 2 * time.Second
	// minWatchInterval is the minimum time between watches.
	minWatchInterval = 200 * time.Millisecond
	// catchUpInterval is the time between the watches of a daemon that lags behind
	// the store.
	catchUpInterval = 10 * time.Millisecond
	// minErrorBackoff and maxErrorBackoff bound the time between calls that fail.
	minErrorBackoff = 200 * time.Millisecond
	maxErrorBackoff = time.Second
	// maxBackoffDoublings keeps the backoff from overflowing.
	maxBackoffDoublings = 8
)

// Timing of following a reader.
const (
	// followWait is how long a reader may wait for changes before it answers. It
	// bounds the time until this daemon notices that the reader has stopped.
	followWait = 500 * time.Millisecond
	// followInterval is the minimum time between two requests to the reader.
	followInterval = 20 * time.Millisecond
	// followAgeMargin is by how much the age of the reader's state may exceed the
	// read interval.
	followAgeMargin = 800 * time.Millisecond
	// directReadTime is how long a daemon reads the store itself after its reader
	// has failed. firstDirectReadTime is the same for a daemon that has no state
	// yet: its reader may have been restarted with it.
	directReadTime      = 5 * time.Second
	firstDirectReadTime = 1 * time.Second
	// firstStartWait is how long a daemon waits for its reader when the whole
	// system starts for the first time, firstStartInterval the time between two
	// requests to it.
	firstStartWait     = 2 * time.Second
	firstStartInterval = 100 * time.Millisecond
)

// sleep waits for a time span or until the context ends.
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
	// after is the revision from which the next watch continues; zero if the full
	// state must be read.
	after    hysmember.Revision
	failures int
	// directReadUntil is the time until which the store is read directly, even if
	// there is a reader.
	directReadUntil time.Time
	// started is when this daemon began to follow the store.
	started time.Time
	// leavesFirstRead is set if this round leaves the first full read to the reader.
	// Another loop may get the state from there meanwhile.
	leavesFirstRead bool
}

// waitsForReader reports whether a daemon that has no state yet waits for its
// reader, which starts at the same time, instead of reading the full state itself.
func (f *Front) waitsForReader(p progress) bool {
	_, ok := f.reader()
	return ok && f.settings.FirstStart && !f.searchersKnown.Load() && !f.hasWaitingRequests() && time.Since(p.started) < firstStartWait
}

// follow keeps the configuration and the list of searchers up to date, from the
// store or from this daemon's reader, a daemon that reads the store for several
// others.
func (f *Front) follow(ctx context.Context) {
	select {
	case <-f.peersKnown:
	case <-f.requestWaiting:
	case <-ctx.Done():
	}
	p := progress{started: time.Now()}
	for ctx.Err() == nil {
		p.leavesFirstRead = f.waitsForReader(p)
		followed := f.followReader(ctx, &p)
		f.following.Store(followed)
		delay := followInterval
		switch {
		case followed:
		case p.leavesFirstRead && !f.hasWaitingRequests():
			delay = firstStartInterval
		default:
			delay = f.followStore(ctx, &p)
		}
		f.handleChanges(f.directory.ExpireMissing(time.Now()))
		sleep(ctx, delay)
	}
}

// followReader requests updates from this daemon's reader, if it has one. It
// reports whether the reader has sent a recent state.
func (f *Front) followReader(ctx context.Context, p *progress) bool {
	reader, ok := f.reader()
	readDirectly := f.hasWaitingRequests() && p.failures == 0
	if !ok || readDirectly || time.Now().Before(p.directReadUntil) {
		return false
	}
	pullCtx, stop := f.untilRequestWaits(ctx)
	age, err := f.pullFrom(pullCtx, reader, pull{wait: f.readerWait(), maxAge: f.maxReaderAge(), follows: true})
	stop()
	if err != nil {
		p.directReadUntil = time.Now().Add(f.directReadTime(*p))
		if ctx.Err() == nil {
			f.log.Warn("reader lost", "reader", reader.ID, "error", err)
		}
		return false
	}
	f.storeServed(age)
	if !f.following.Load() {
		f.log.Info("following reader", "reader", reader.ID, "revision", f.storeView.appliedRevision(), "age-ms", age.Milliseconds())
	}
	p.after, p.failures = hysmember.MaxRevision(p.after, f.storeView.appliedRevision()), 0
	return true
}

// readerWait returns how long the reader may wait for changes: not beyond the moment at
// which its state is too old to be followed.
func (f *Front) readerWait() time.Duration {
	if !f.searchersKnown.Load() {
		return followWait
	}
	return min(followWait, max(0, f.maxReaderAge()-f.storeView.age()))
}

// hasWaitingRequests reports whether callers' requests wait for state that this
// daemon does not have yet. This happens when all daemons start after a power
// loss: each of them gets requests at once, and the reader of its zone has no more
// state than the daemon itself. The daemon then reads the store directly.
func (f *Front) hasWaitingRequests() bool {
	if f.searchersKnown.Load() {
		return false
	}
	select {
	case <-f.requestWaiting:
		return true
	default:
		return false
	}
}

// untilRequestWaits returns a context that ends when a request begins to wait for a
// daemon that has no state yet. If one already waits, the context does not end by
// itself: a direct read of the store has failed by then.
func (f *Front) untilRequestWaits(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.searchersKnown.Load() || f.hasWaitingRequests() {
		return context.WithCancel(ctx)
	}
	return untilClosed(ctx, f.requestWaiting)
}

// untilClosed returns a context that ends when a channel is closed.
func untilClosed(ctx context.Context, closed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// recordWaitingRequest records that a request waits for the first configuration.
func (f *Front) recordWaitingRequest() {
	f.requestWaitingOnce.Do(func() {
		f.log.Info("requests wait for the first configuration")
		close(f.requestWaiting)
	})
}

// directReadTime returns how long the store is read directly after the reader has
// failed.
func (f *Front) directReadTime(p progress) time.Duration {
	switch {
	case p.leavesFirstRead && !f.hasWaitingRequests():
		return 0
	case !f.searchersKnown.Load():
		return firstDirectReadTime
	default:
		return directReadTime
	}
}

// reader returns the daemon that reads the store for this one.
func (f *Front) reader() (hysmember.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reader, ok := f.announced.Reader(f.settings.Instance)
	return reader, ok && reader.Address != ""
}

// readInterval returns the time between watches that report no relevant change.
func (f *Front) readInterval() time.Duration {
	return min(time.Duration(readShare*float64(f.settings.changeWithin())), maxReadInterval)
}

// maxReaderAge returns the maximum age of the state of a daemon that reads the
// store and keeps up with it.
func (f *Front) maxReaderAge() time.Duration { return f.readInterval() + followAgeMargin }

// followStore reads from the store what this daemon does not have yet. It returns
// the time until the next read.
func (f *Front) followStore(ctx context.Context, p *progress) time.Duration {
	if !p.after.IsZero() {
		// Another daemon may have sent changes that this daemon has not read from
		// the store.
		p.after = hysmember.MaxRevision(p.after, f.storeView.appliedRevision())
	}
	next, delay, err := f.readStore(ctx, p.after)
	switch {
	case err == nil:
		p.after, p.failures = next, 0
		f.storeView.advance(next)
	case errors.Is(err, ErrHistoryCompacted):
		f.log.Info("watch history compacted; reading the full state again", "after", p.after)
		p.after = hysmember.Revision{}
	case errors.Is(err, ErrEraChanged):
		f.log.Info("the store has begun another era; reading the full state again", "after", p.after, "era", f.eras.Current())
		p.after, delay = hysmember.Revision{}, catchUpInterval
	case ctx.Err() == nil:
		f.storeFailed(err)
		delay = min(minErrorBackoff<<min(p.failures, maxBackoffDoublings), maxErrorBackoff)
		p.failures++
	}
	return delay
}

// readStore reads the full state, or the changes after a revision. It returns the
// revision from which the next call continues, and the time until then.
func (f *Front) readStore(ctx context.Context, after hysmember.Revision) (hysmember.Revision, time.Duration, error) {
	if after.IsZero() {
		began := time.Now()
		s, err := f.source.Read(ctx)
		if err != nil {
			return hysmember.Revision{}, 0, fmt.Errorf("read the full state: %w", err)
		}
		f.applySnapshot(s)
		f.storeView.markComplete(began)
		return s.Revision, 0, nil
	}
	// What the store has lost, and what it has given out again, is found only by reading
	// all of it.
	watchCtx, stop := f.untilEraEnds(ctx, after.Era)
	began, wait := time.Now(), f.watchWait()
	c, err := f.source.Watch(watchCtx, after, wait)
	stop()
	if current := f.eras.Current(); current != after.Era || err == nil && c.Revision.Era != after.Era {
		return hysmember.Revision{}, 0, fmt.Errorf("watch after %v: %w", after, ErrEraChanged)
	}
	if err != nil {
		return hysmember.Revision{}, 0, fmt.Errorf("watch after %v: %w", after, err)
	}
	if c.Events == 0 && after.Before(c.Revision) {
		// The store has changed, but the watch has reported no change.
		return hysmember.Revision{}, 0, fmt.Errorf("watch after %v reported no change up to %v: %w", after, c.Revision, ErrHistoryCompacted)
	}
	changed := f.applyChanges(c)
	return hysmember.MaxRevision(after, c.Revision), f.nextReadDelay(c, changed, answeredBy(began, wait)), nil
}

// watchWait returns how long a watch waits for the next change: until the state is as
// old as the read interval. A daemon whose state is much older counts as lagging.
func (f *Front) watchWait() time.Duration {
	return max(f.readInterval()-f.storeView.age(), minWatchInterval)
}

// answeredBy returns when the store has answered a watch at the latest: when its wait
// ended, however late the answer arrived.
func answeredBy(began time.Time, wait time.Duration) time.Time {
	if ended := began.Add(wait); ended.Before(time.Now()) {
		return ended
	}
	return time.Now()
}

// nextReadDelay returns the time until the next watch after one that reported
// changes. changed is set if any of them was relevant, answered is when the store
// answered.
func (f *Front) nextReadDelay(c Changes, changed bool, answered time.Time) time.Duration {
	if c.More {
		return catchUpInterval
	}
	f.storeView.markComplete(answered)
	if c.Events > 0 && !changed {
		return f.readInterval()
	}
	return minWatchInterval
}
