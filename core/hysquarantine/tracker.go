package hysquarantine

import (
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// crashLimit is how many attributed crashes make a request refused, if no
// searcher has answered it.
const crashLimit = 3

// Bounds of the lost sends that are kept because their searcher may have crashed.
const (
	// crashDetectionWindow is how long after a lost send the crash of its
	// searcher may be detected: the store removes a searcher's entry after
	// three missed heartbeats.
	crashDetectionWindow = 8 * time.Second
	// maxLostSearchers bounds the number of searchers with lost sends.
	maxLostSearchers        = 4096
	maxLostSendsPerSearcher = 64
)

// Tracker attributes the crashes of searchers to requests. Unlike a Gate, it
// delays no send. A crash is attributed to the requests whose sends to the
// searcher were lost shortly before it was detected. A request is refused after
// its third crash if no searcher has answered it. One answer proves that a
// request is harmless, so a request that only shared a crashed searcher is
// cleared by its next send.
//
// It guards against a request that crashes every searcher that runs it and is
// repeated at any instance: instances send each other their records, which merge
// in any order. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	now      func() time.Time
	registry *Registry
	proven   *ProvenCache
	lost     map[hysmember.SearcherID][]lostSend
}

// lostSend is a send that ended without an answer.
type lostSend struct {
	key Key
	// start identifies the start of the searcher that the send went to.
	start string
	at    time.Time
}

// NewTracker returns a tracker without records.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{
		now: now, registry: NewRegistry(now), proven: NewProvenCache(),
		lost: make(map[hysmember.SearcherID][]lostSend),
	}
}

// RefusedUntil reports whether a request is refused, and the time when its
// record expires.
func (t *Tracker) RefusedUntil(key Key) (time.Time, bool) {
	r := t.registry.Record(key)
	return r.Expires, len(r.CountedCrashes()) >= crashLimit
}

// RecordLoss records a send that ended without an answer. The start identifies
// the run of the searcher between two restarts. Sends of proven requests are
// ignored.
func (t *Tracker) RecordLoss(key Key, searcher hysmember.SearcherID, start string) {
	if t.proven.Contains(key) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict()
	if sends := t.lost[searcher]; len(sends) < maxLostSendsPerSearcher {
		t.lost[searcher] = append(sends, lostSend{key: key, start: start, at: t.now()})
	}
}

// evict does nothing below maxLostSearchers. From there on it removes the searchers
// whose last lost send is older than crashDetectionWindow, and all searchers if
// there are still too many.
func (t *Tracker) evict() {
	if len(t.lost) < maxLostSearchers {
		return
	}
	oldest := t.now().Add(-crashDetectionWindow)
	for searcher, sends := range t.lost {
		if sends[len(sends)-1].at.Before(oldest) {
			delete(t.lost, searcher)
		}
	}
	if len(t.lost) >= maxLostSearchers {
		clear(t.lost)
	}
}

// RecordCrash records that a searcher has crashed. It returns the records of the
// requests that the crash is attributed to, to be sent to the other instances.
func (t *Tracker) RecordCrash(searcher hysmember.SearcherID) Records {
	t.mu.Lock()
	sends := t.lost[searcher]
	delete(t.lost, searcher)
	t.mu.Unlock()
	oldest := t.now().Add(-crashDetectionWindow)
	var attributed Records
	for _, l := range sends {
		if l.at.Before(oldest) || t.proven.Contains(l.key) {
			continue
		}
		t.registry.AttributeCrash(Crash{Searcher: searcher, Event: l.start}, l.key)
		attributed = append(attributed, t.registry.Record(l.key))
	}
	return attributed
}

// RecordAnswer records that a searcher has answered a request. If that clears
// the request of crash suspicion, it returns the record and true; the record is
// to be sent to the other instances.
func (t *Tracker) RecordAnswer(key Key) (Record, bool) {
	t.proven.Add(key)
	if len(t.registry.Record(key).CountedCrashes()) == 0 {
		return Record{}, false
	}
	t.registry.Lift(key)
	return t.registry.Record(key), true
}

// Merge merges the records of other instances and reports whether that changed
// any record.
func (t *Tracker) Merge(records Records) bool {
	changed := false
	for _, r := range records {
		before := t.registry.Record(r.Key)
		t.registry.Merge(Records{r})
		after := t.registry.Record(r.Key)
		changed = changed || !slices.Equal(before.Crashes, after.Crashes) || !slices.Equal(before.Lifted, after.Lifted)
	}
	return changed
}

// Records returns the records that have not expired.
func (t *Tracker) Records() Records { return t.registry.Records() }
