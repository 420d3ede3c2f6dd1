package hysmember

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysservice"
)

// returnGrace is how long after the store's return an entry that lapsed while
// it was away may still come back.
const returnGrace = 2200 * time.Millisecond

// Revision orders the changes of the store.
type Revision int64

// Entry is what a searcher has written of itself to the store.
type Entry struct {
	Searcher Searcher
	// Slots is how many requests the searcher runs at once.
	Slots int
	// StartTime tells the starts of one id apart, Sequence its reports since.
	StartTime int64
	Sequence  int64
	Revision  Revision
}

// olderThan reports whether the searcher sent the entry before another of its
// id. A report that was held up may be written after a later one.
func (e Entry) olderThan(other Entry) bool {
	switch {
	case e.StartTime != other.StartTime:
		return e.StartTime < other.StartTime
	case e.Sequence != other.Sequence:
		return e.Sequence < other.Sequence
	default:
		return e.Revision < other.Revision
	}
}

// Entries is a list of entries.
type Entries []Entry

//go:generate go tool stringer -type=ChangeKind -linecomment -output=enum_string.go

// ChangeKind tells what has become of a searcher.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeNone      ChangeKind = iota // unchanged
	ChangeJoined                      // joined
	ChangeRestarted                   // restarted
	ChangeDraining                    // draining
	ChangeGone                        // gone
)

// Change tells how an entry differs from what was known.
type Change struct {
	ID       SearcherID
	Service  hysservice.Name
	Kind     ChangeKind
	Revision Revision
}

// Directory holds the searchers that the store lists, and those that lapsed
// while the store was away and may come back. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[SearcherID]Entry
	// missing holds since when an entry is no longer listed.
	missing map[SearcherID]time.Time
	// removed holds the revision at which an id was last removed.
	removed map[SearcherID]Revision
	// leavers are the searchers that have said themselves that they are leaving.
	leavers  map[SearcherID]leaver
	away     bool
	returned time.Time
	news     news
	// digest is that of all entries together.
	digest Digest
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		entries: make(map[SearcherID]Entry),
		missing: make(map[SearcherID]time.Time),
		removed: make(map[SearcherID]Revision),
		leavers: make(map[SearcherID]leaver),
		news:    newNews(),
	}
}

// MarkStoreUnavailable notes that the store can't be reached.
func (d *Directory) MarkStoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// MarkStoreAvailable notes that the store answers.
func (d *Directory) MarkStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		d.away, d.returned = false, now
	}
}

// Put takes an entry over unless a newer one is known.
func (d *Directory) Put(e Entry) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(e)
}

func (d *Directory) put(e Entry) (Change, bool) {
	id := e.Searcher.ID
	known, ok := d.entries[id]
	if ok && e.olderThan(known) || e.Revision <= d.removed[id] {
		return Change{}, false
	}
	d.entries[id] = e
	delete(d.missing, id)
	if l, ok := d.leavers[id]; ok && e.StartTime > l.born {
		delete(d.leavers, id)
	}
	if ok && !e.sameUse(known) {
		d.digest ^= known.digest()
	}
	if !ok || !e.sameUse(known) {
		d.digest ^= e.digest()
		d.news.put(id)
	}
	change := Change{ID: id, Service: e.Searcher.Service, Revision: e.Revision}
	switch {
	case !ok:
		change.Kind = ChangeJoined
	case e.StartTime != known.StartTime:
		change.Kind = ChangeRestarted
	case e.Searcher.Leaving && !known.Searcher.Leaving:
		change.Kind = ChangeDraining
	}
	return change, change.Kind != ChangeNone
}

// Remove notes that an entry was removed. It is gone at once, unless the store
// was away just now.
func (d *Directory) Remove(id SearcherID, revision Revision, now time.Time) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.entries[id]
	if revision < known.Revision {
		return Change{}, false
	}
	d.removed[id] = max(d.removed[id], revision)
	if !ok {
		return Change{}, false
	}
	return d.miss(known, now)
}

// miss drops an entry that is no longer listed, or waits for its return.
func (d *Directory) miss(known Entry, now time.Time) (Change, bool) {
	id := known.Searcher.ID
	if d.away || now.Sub(d.returned) < returnGrace && !d.returned.IsZero() {
		if _, ok := d.missing[id]; !ok {
			d.missing[id] = now
		}
		return Change{}, false
	}
	return d.drop(known), true
}

func (d *Directory) drop(known Entry) Change {
	id := known.Searcher.ID
	delete(d.entries, id)
	delete(d.missing, id)
	d.digest ^= known.digest()
	d.news.drop(id, d.removed[id])
	return Change{ID: id, Service: known.Searcher.Service, Kind: ChangeGone, Revision: d.removed[id]}
}

// Replace takes a whole listing over, which began at a revision: what it lacks
// is no longer listed, unless it was written since.
func (d *Directory) Replace(listed Entries, began Revision, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, present := d.putAll(listed)
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if known := d.entries[id]; !present[id] && known.Revision <= began {
			d.removed[id] = max(d.removed[id], began)
			if c, ok := d.miss(known, now); ok {
				changes = append(changes, c)
			}
		}
	}
	return changes
}

// Apply takes over what another instance knows, up to a revision, which has
// waited for what might come back.
func (d *Directory) Apply(x Delta, revision Revision) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, present := d.putAll(x.Entries)
	for _, g := range x.Removals {
		changes = append(changes, d.forget(g)...)
	}
	changes = append(changes, d.leaveAll(x.Departures)...)
	if !x.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if !present[id] {
			changes = append(changes, d.forget(Removal{ID: id, Revision: revision})...)
		}
	}
	return changes
}

// forget drops an entry unless it was written after it went.
func (d *Directory) forget(g Removal) []Change {
	known, ok := d.entries[g.ID]
	if known.Revision > g.Revision {
		return nil
	}
	d.removed[g.ID] = max(d.removed[g.ID], g.Revision)
	if !ok {
		return nil
	}
	return []Change{d.drop(known)}
}

// Since returns what has changed since a version.
func (d *Directory) Since(v Version) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := Delta{Version: d.news.version, Full: v < d.news.oldest || v > d.news.version, Digest: d.digest}
	if x.Full {
		v = 0
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if d.news.stamps[id] > v {
			x.Entries = append(x.Entries, d.entries[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.news.gone)) {
		if g := d.news.gone[id]; !x.Full && g.version > v {
			x.Removals = append(x.Removals, Removal{ID: id, Revision: g.revision})
		}
	}
	x.Departures = d.leaversSince(v)
	return x
}

// ConfirmedRevision is up to which revision, but no further than a given one, nothing waits
// for its return. What others are told as known must not go further: a daemon that
// goes on from there reads the removals itself that are still waited out here.
func (d *Directory) ConfirmedRevision(upTo Revision) Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.missing {
		upTo = min(upTo, d.removed[id]-1)
	}
	return upTo
}

// Digest is that of all entries.
func (d *Directory) Digest() Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest
}

// BumpVersion counts a change of something that is told together with the entries.
func (d *Directory) BumpVersion() Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news.next()
}

// Version is that of the last change.
func (d *Directory) Version() Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news.version
}

// Changed returns a channel that is closed once something has changed since a
// version.
func (d *Directory) Changed(since Version) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since != d.news.version {
		return closedChannel
	}
	return d.news.changed
}

// putAll takes entries over and returns their ids too.
func (d *Directory) putAll(listed Entries) ([]Change, map[SearcherID]bool) {
	var changes []Change
	present := make(map[SearcherID]bool, len(listed))
	for _, e := range listed {
		present[e.Searcher.ID] = true
		if c, ok := d.put(e); ok {
			changes = append(changes, c)
		}
	}
	return changes, present
}

// ExpireMissing drops the entries that have not come back since the store returned.
func (d *Directory) ExpireMissing(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away || now.Sub(d.returned) < returnGrace {
		return nil
	}
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.missing)) {
		if c, ok := d.miss(d.entries[id], now); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// StartTime returns the start of a searcher as last known, 0 if it is not listed.
func (d *Directory) StartTime(id SearcherID) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[id].StartTime
}

// Entries returns what is known, in the order of the ids, with what the searchers
// have said themselves.
func (d *Directory) Entries() Entries {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(Entries, 0, len(d.entries))
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		all = append(all, d.asUsed(d.entries[id]))
	}
	return all
}
