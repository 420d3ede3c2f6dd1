package hysfront

import (
	"context"
	"fmt"
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
	// catchUpPause is that of a daemon that lags behind the store.
	catchUpPause = 10 * time.Millisecond
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
	// ownReadTime is how long the store is read after a reader has failed,
	// firstReadTime the same for a daemon that knows nothing yet: its reader may
	// have been restarted with it.
	ownReadTime   = 5 * time.Second
	firstReadTime = 1 * time.Second
	// firstPatience is how long a daemon waits for its reader when the whole
	// system starts for the first time, firstPause the time between two questions.
	firstPatience = 2 * time.Second
	firstPause    = 100 * time.Millisecond
)

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
	// began is when this daemon began to follow.
	began time.Time
}

// awaitsReader reports whether a daemon that knows nothing waits for its reader,
// which starts at the same time, instead of reading everything itself.
func (f *Front) awaitsReader(p progress) bool {
	_, ok := f.reader()
	return ok && f.settings.FirstStart && !f.listed.Load() && !f.callersWait() && time.Since(p.began) < firstPatience
}

// follow keeps the configuration and the list of the searchers at the newest,
// from the store or from the daemon that reads it for some others.
func (f *Front) follow(ctx context.Context) {
	select {
	case <-f.neighboursRead:
	case <-f.wanted:
	case <-ctx.Done():
	}
	p := progress{began: time.Now()}
	for ctx.Err() == nil {
		followed := f.followReader(ctx, &p)
		f.following.Store(followed)
		rest := followPause
		switch {
		case followed:
		case f.awaitsReader(p):
			rest = firstPause
		default:
			rest = f.followStore(ctx, &p)
		}
		f.noteChanges(f.directory.ExpireMissing(time.Now()))
		sleep(ctx, rest)
	}
}

// followReader asks this daemon's reader for news, if it has one. It reports
// whether the reader told what it knows.
func (f *Front) followReader(ctx context.Context, p *progress) bool {
	reader, ok := f.reader()
	atOnce := f.callersWait() && p.failures == 0
	if !ok || atOnce || time.Now().Before(p.ownUntil) {
		return false
	}
	asking, stop := f.untilCallersWait(ctx)
	age, err := f.askInstance(asking, reader, followWait, f.longestAge())
	stop()
	if err != nil {
		p.ownUntil = time.Now().Add(f.ownReadTime(*p))
		if ctx.Err() == nil {
			f.log.Warn("reader lost", "reader", reader.ID, "error", err)
		}
		return false
	}
	f.storeServed(age)
	if !f.following.Load() {
		f.log.Info("reader followed", "reader", reader.ID, "revision", f.knowledge.upTo(), "age-ms", age.Milliseconds())
	}
	p.after, p.failures = max(p.after, f.knowledge.upTo()), 0
	return true
}

// callersWait reports whether callers wait for what this daemon does not know yet.
// It answers the load after all daemons have lost power: each has callers at once,
// and the reader of its zone knows no more than it does. The daemon then reads the
// store itself.
func (f *Front) callersWait() bool {
	if f.listed.Load() {
		return false
	}
	select {
	case <-f.wanted:
		return true
	default:
		return false
	}
}

// untilCallersWait returns a context that ends when a caller waits for a daemon that
// knows nothing. Once one has waited it does not end by itself: the store has failed
// then.
func (f *Front) untilCallersWait(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if f.listed.Load() || f.callersWait() {
		return ctx, cancel
	}
	go func() {
		select {
		case <-f.wanted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// want notes that a caller waits for the first configuration.
func (f *Front) want() {
	f.wantOnce.Do(func() {
		f.log.Info("callers wait for the first configuration")
		close(f.wanted)
	})
}

// ownReadTime is how long the store is read after the reader has failed.
func (f *Front) ownReadTime(p progress) time.Duration {
	switch {
	case f.awaitsReader(p):
		return 0
	case !f.listed.Load():
		return firstReadTime
	default:
		return ownReadTime
	}
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
	return min(time.Duration(readShare*float64(f.settings.changeWithin())), maxPace)
}

// longestAge is how old the knowledge of a daemon is at most that reads the store
// and keeps up with it.
func (f *Front) longestAge() time.Duration { return f.readPace() + followSlack }

// followStore reads from the store what it has not told yet.
func (f *Front) followStore(ctx context.Context, p *progress) time.Duration {
	if p.after > 0 {
		// Another daemon may have told what the store has not.
		p.after = max(p.after, f.knowledge.upTo())
	}
	next, rest, err := f.followOnce(ctx, p.after)
	switch {
	case err == nil:
		p.after, p.failures = next, 0
		f.knowledge.raise(next)
	case errors.Is(err, ErrHistoryCompacted):
		f.log.Info("history gone, reading everything again", "after", p.after)
		p.after = 0
	case ctx.Err() == nil:
		f.storeFailed(err)
		rest = min(minErrorPause<<min(p.failures, maxDoublings), maxErrorPause)
		p.failures++
	}
	return rest
}

// followOnce reads everything, or what has changed after a revision. It returns
// where the next call goes on and how long it may wait.
func (f *Front) followOnce(ctx context.Context, after hysmember.Revision) (hysmember.Revision, time.Duration, error) {
	if after == 0 {
		began := time.Now()
		s, err := f.source.Read(ctx)
		if err != nil {
			return 0, 0, fmt.Errorf("read everything: %w", err)
		}
		f.take(s)
		f.knowledge.complete(began)
		return s.Revision, 0, nil
	}
	c, err := f.source.Watch(ctx, after, f.readPace())
	if err != nil {
		return 0, 0, fmt.Errorf("watch after %d: %w", after, err)
	}
	if c.Events == 0 && c.Revision > after {
		// Something has changed that the watch was not told of.
		return 0, 0, fmt.Errorf("watch after %d heard nothing up to %d: %w", after, c.Revision, ErrHistoryCompacted)
	}
	changed := f.update(c)
	return max(after, c.Revision), f.rest(c, changed), nil
}

// rest is the time until the next watch after one that told changes, some of
// which mattered.
func (f *Front) rest(c Changes, changed bool) time.Duration {
	if c.More {
		return catchUpPause
	}
	f.knowledge.complete(time.Now())
	if c.Events > 0 && !changed {
		return f.readPace()
	}
	return pace
}
