package hysmember

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysservice"
)

// missingGrace is how long after the store is available again an entry may
// still be written anew if it expired during the outage.
const missingGrace = 2200 * time.Millisecond

// Entry is what a searcher has written about itself to the store.
type Entry struct {
	Searcher Searcher
	// Slots is how many requests the searcher runs at once.
	Slots int
	// StartTime is when the searcher process started, in Unix milliseconds, and
	// distinguishes the processes of one id. Sequence counts the reports of a
	// process.
	StartTime int64
	Sequence  int64
	Revision  Revision
}

// olderThan reports whether the searcher sent the entry before another one of
// its id. A delayed report may be written after a later one.
func (e Entry) olderThan(other Entry) bool {
	switch {
	case e.StartTime != other.StartTime:
		return e.StartTime < other.StartTime
	case e.Sequence != other.Sequence:
		return e.Sequence < other.Sequence
	default:
		return e.Revision.Before(other.Revision)
	}
}

// Entries is a list of entries.
type Entries []Entry

//go:generate go tool stringer -type=ChangeKind -linecomment -output=enum_string.go

// ChangeKind is what has happened to a searcher.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeNone      ChangeKind = iota // unchanged
	ChangeJoined                      // joined
	ChangeRestarted                   // restarted
	ChangeDraining                    // draining
	ChangeGone                        // gone
	ChangeUpdated                     // updated
)

// Change is how an entry differs from what was known.
type Change struct {
	ID       SearcherID
	Service  hysservice.Name
	Kind     ChangeKind
	Revision Revision
}

// Directory holds the searchers that the store lists, and those that expired
// while the store was unavailable and may come back. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	entries map[SearcherID]Entry
	// missing holds the time since which an entry is no longer listed.
	missing map[SearcherID]time.Time
	// removed holds how an id was last removed.
	removed map[SearcherID]tombstone
	// departures are the searchers that have announced that they are leaving.
	departures       map[SearcherID]departureRecord
	storeUnavailable bool
	storeAvailableAt time.Time
	changeLog        changeLog
	// digest is the digest of all entries together.
	digest Digest
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		entries:    make(map[SearcherID]Entry),
		missing:    make(map[SearcherID]time.Time),
		removed:    make(map[SearcherID]tombstone),
		departures: make(map[SearcherID]departureRecord),
		changeLog:  newChangeLog(),
	}
}

// MarkStoreUnavailable records that the store can't be reached.
func (d *Directory) MarkStoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeUnavailable = true
}

// MarkStoreAvailable records that the store answers.
func (d *Directory) MarkStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable {
		d.storeUnavailable, d.storeAvailableAt = false, now
	}
}

// BeginEra records that the store has come back from a copy. Entries that the copy lacks
// may be written anew, as after an outage.
func (d *Directory) BeginEra(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeAvailableAt = now
}

// Put stores an entry unless the same or a newer one of its searcher, or a later
// removal, is known.
func (d *Directory) Put(e Entry) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.put(e)
}

func (d *Directory) put(e Entry) (Change, bool) {
	id := e.Searcher.ID
	known, ok := d.entries[id]
	if ok && !known.olderThan(e) {
		return Change{}, false
	}
	if t := d.removed[id]; t.outdates(e, ok) {
		d.removed[id] = t.see(e)
		return Change{}, false
	}
	d.entries[id] = e
	delete(d.missing, id)
	if l, ok := d.departures[id]; ok && e.StartTime > l.startTime {
		delete(d.departures, id)
	}
	if ok && !e.sameExceptHeartbeat(known) {
		d.digest ^= known.digest()
	}
	if !ok || !e.sameExceptHeartbeat(known) {
		d.digest ^= e.digest()
		d.changeLog.put(id)
	}
	change := Change{ID: id, Service: e.Searcher.Service, Revision: e.Revision}
	switch {
	case !ok:
		change.Kind = ChangeJoined
	case e.StartTime != known.StartTime:
		change.Kind = ChangeRestarted
	case e.Searcher.Leaving && !known.Searcher.Leaving:
		change.Kind = ChangeDraining
	case !e.sameExceptHeartbeat(known):
		change.Kind = ChangeUpdated
	}
	return change, change.Kind != ChangeNone
}

// Remove records that an entry was removed from the store. The entry is dropped
// at once, unless the store is unavailable or has become available only
// recently.
func (d *Directory) Remove(id SearcherID, revision Revision, now time.Time) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.entries[id]
	if revision.Before(known.Revision) {
		return Change{}, false
	}
	d.markRemoved(Removal{ID: id, Revision: revision}, known)
	if !ok {
		return Change{}, false
	}
	return d.dropOrWait(known, now)
}

// dropOrWait drops an entry that is no longer listed, or keeps it as missing
// during and shortly after an outage of the store.
func (d *Directory) dropOrWait(known Entry, now time.Time) (Change, bool) {
	id := known.Searcher.ID
	if d.storeUnavailable || now.Sub(d.storeAvailableAt) < missingGrace && !d.storeAvailableAt.IsZero() {
		if _, ok := d.missing[id]; !ok {
			d.missing[id] = now
		}
		return Change{}, false
	}
	return d.drop(known), true
}

// drop removes an entry at once.
func (d *Directory) drop(known Entry) Change {
	id := known.Searcher.ID
	delete(d.entries, id)
	delete(d.missing, id)
	d.digest ^= known.digest()
	d.changeLog.drop(d.removed[id].Removal)
	return Change{ID: id, Service: known.Searcher.Service, Kind: ChangeGone, Revision: d.removed[id].Revision}
}

// Replace applies a full listing that was read at listRevision: entries that it
// lacks are no longer listed, unless they were written since.
func (d *Directory) Replace(listed Entries, listRevision Revision, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, present := d.putAll(listed)
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if known := d.entries[id]; !present[id] && !listRevision.Before(known.Revision) {
			d.markRemoved(Removal{ID: id, Revision: listRevision}, known)
			if c, ok := d.dropOrWait(known, now); ok {
				changes = append(changes, c)
			}
		}
	}
	return changes
}

// Apply applies the state that another instance knows up to a revision. That
// instance has already waited for missing entries to come back.
func (d *Directory) Apply(delta Delta, revision Revision) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, present := d.putAll(delta.Entries)
	for _, r := range delta.Removals {
		changes = append(changes, d.applyRemoval(r)...)
	}
	changes = append(changes, d.markAllLeaving(delta.Departures)...)
	if !delta.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if !present[id] {
			changes = append(changes, d.applyRemoval(Removal{ID: id, Revision: revision})...)
		}
	}
	return changes
}

// applyRemoval drops an entry unless it was written after its removal.
func (d *Directory) applyRemoval(r Removal) []Change {
	known, ok := d.entries[r.ID]
	if r.Revision.Before(known.Revision) {
		return nil
	}
	d.markRemoved(r, known)
	if !ok {
		return nil
	}
	return []Change{d.drop(known)}
}

// Since returns what has changed since a version.
func (d *Directory) Since(v Version) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	delta := Delta{Version: d.changeLog.version, Full: v < d.changeLog.oldest || v > d.changeLog.version, Digest: d.digest}
	if delta.Full {
		v = 0
	}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if d.changeLog.changedAt[id] > v {
			delta.Entries = append(delta.Entries, d.entries[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.changeLog.removals)) {
		if r := d.changeLog.removals[id]; !delta.Full && r.version > v {
			delta.Removals = append(delta.Removals, r.Removal)
		}
	}
	delta.Departures = d.departuresSince(v)
	return delta
}

// ConfirmedRevision returns the highest revision, at most upTo, before the
// removals of all missing entries. No higher one may be sent to another
// instance: one that reads the store from the sent revision on must still read
// the removals that have not taken effect here.
func (d *Directory) ConfirmedRevision(upTo Revision) Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.missing {
		before := d.removed[id].Revision
		before.Number--
		upTo = MinRevision(upTo, before)
	}
	return upTo
}

// Digest returns the digest of all entries.
func (d *Directory) Digest() Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest
}

// BumpVersion counts a change of other state that is sent together with the
// entries, and returns the new version.
func (d *Directory) BumpVersion() Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changeLog.next()
}

// Version returns the version of the last change.
func (d *Directory) Version() Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changeLog.version
}

// Changed returns a channel that is closed once something has changed since a
// version.
func (d *Directory) Changed(since Version) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since != d.changeLog.version {
		return closedChannel
	}
	return d.changeLog.changed
}

// putAll stores entries and also returns the set of their ids.
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

// MissingExpireAt returns when the missing entries may be dropped, and false if there
// are none or the store is unavailable.
func (d *Directory) MissingExpireAt() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeAvailableAt.Add(missingGrace), len(d.missing) > 0 && !d.storeUnavailable
}

// ExpireMissing drops the entries that have not come back within the grace
// period after the store became available again.
func (d *Directory) ExpireMissing(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable || now.Sub(d.storeAvailableAt) < missingGrace {
		return nil
	}
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.missing)) {
		if c, ok := d.dropOrWait(d.entries[id], now); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// StartTime returns the start of a searcher process as last known, in Unix
// milliseconds, or 0 if the searcher is not listed.
func (d *Directory) StartTime(id SearcherID) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[id].StartTime
}

// Entries returns all entries, ordered by id. Searchers that have announced
// that they are leaving are marked so.
func (d *Directory) Entries() Entries {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(Entries, 0, len(d.entries))
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		all = append(all, d.withDeparture(d.entries[id]))
	}
	return all
}
