package hysquarantine

import (
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// crashLimit is how many crashes of searchers a request may have been in, with
// no answer from any, before it is refused.
const crashLimit = 3

// Bounds of the sends that were lost and may have crashed their searcher.
const (
	// lostSpan is how long after a lost send its searcher may turn out to have
	// crashed: the store drops an entry after three heartbeats.
	lostSpan = 8 * time.Second
	// maxLostSearchers bounds the searchers whose lost sends are kept.
	maxLostSearchers = 4096
	maxLostSends     = 64
)

// Tracker blames requests for the crashes of searchers without holding any back:
// it stands beside the sends where a Gate stands before them. A request that was
// lost at searchers which then turned out to have crashed, and that no searcher
// has answered, is refused after the third crash. One answer proves that a
// request is harmless, so that those that only shared a crashed searcher are
// cleared by their next send.
//
// It answers the load of one request that crashes each searcher that runs it and
// is sent again and again, at any daemon: crashes are told to the others by
// records that merge in any order. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	now      func() time.Time
	registry *Registry
	proven   *ProvenCache
	lost     map[hysmember.SearcherID][]loss
}

// loss is a send that ended without an answer.
type loss struct {
	key Key
	// event tells the starts of the searcher apart.
	event string
	at    time.Time
}

// NewTracker returns a watch that knows nothing.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{
		now: now, registry: NewRegistry(now), proven: NewProvenCache(),
		lost: make(map[hysmember.SearcherID][]loss),
	}
}

// RefusedUntil reports whether a request is refused, and until when.
func (w *Tracker) RefusedUntil(key Key) (time.Time, bool) {
	r := w.registry.Record(key)
	return r.Expires, len(r.CountedCrashes()) >= crashLimit
}

// RecordLoss notes a send that ended without an answer at a start of a searcher.
func (w *Tracker) RecordLoss(key Key, searcher hysmember.SearcherID, event string) {
	if w.proven.Contains(key) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget()
	if sends := w.lost[searcher]; len(sends) < maxLostSends {
		w.lost[searcher] = append(sends, loss{key: key, event: event, at: w.now()})
	}
}

// forget drops the sends that are too old to be blamed, once there are many.
func (w *Tracker) forget() {
	if len(w.lost) < maxLostSearchers {
		return
	}
	limit := w.now().Add(-lostSpan)
	for searcher, sends := range w.lost {
		if sends[len(sends)-1].at.Before(limit) {
			delete(w.lost, searcher)
		}
	}
	if len(w.lost) >= maxLostSearchers {
		clear(w.lost)
	}
}

// RecordCrash notes that a searcher has crashed, and returns the records of the
// requests that are blamed for it, for the other daemons.
func (w *Tracker) RecordCrash(searcher hysmember.SearcherID) Records {
	w.mu.Lock()
	sends := w.lost[searcher]
	delete(w.lost, searcher)
	w.mu.Unlock()
	limit := w.now().Add(-lostSpan)
	var blamed Records
	for _, l := range sends {
		if l.at.Before(limit) || w.proven.Contains(l.key) {
			continue
		}
		w.registry.AttributeCrash(Crash{Searcher: searcher, Event: l.event}, l.key)
		blamed = append(blamed, w.registry.Record(l.key))
	}
	return blamed
}

// RecordAnswer notes that a searcher has answered a request. If that clears it, its
// record is returned for the other daemons.
func (w *Tracker) RecordAnswer(key Key) (Record, bool) {
	w.proven.Add(key)
	if len(w.registry.Record(key).CountedCrashes()) == 0 {
		return Record{}, false
	}
	w.registry.Lift(key)
	return w.registry.Record(key), true
}

// Merge takes in the records of other daemons, and reports whether they told
// anything new.
func (w *Tracker) Merge(records Records) bool {
	news := false
	for _, r := range records {
		before := w.registry.Record(r.Key)
		w.registry.Merge(Records{r})
		after := w.registry.Record(r.Key)
		news = news || !slices.Equal(before.Crashes, after.Crashes) || !slices.Equal(before.Lifted, after.Lifted)
	}
	return news
}

// Records returns the records that have not expired.
func (w *Tracker) Records() Records { return w.registry.Records() }
