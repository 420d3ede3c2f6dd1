package hysmember

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRemovals bounds the removed entries that a Directory keeps for its
// followers.
const maxRemovals = 4096

// Version counts the changes of one Directory. A heartbeat is not a change.
type Version uint64

// Delta is what has changed in a Directory since a version.
type Delta struct {
	// Version is the current version of the Directory.
	Version Version
	// Full is true if Entries is the full state.
	Full     bool
	Entries  Entries
	Removals []Removal
	// Departures are the searchers that have announced that they are leaving.
	Departures Departures
	// Digest is the digest of all entries, as they are listed.
	Digest Digest
}

// Digest is the same for two Directories with the same searchers listed. By
// comparing digests, a follower detects that it lacks something that will not
// be sent again: a searcher that it found missing when it read the store
// itself, while its reader did not.
type Digest uint64

// digest returns the digest of one entry.
func (e Entry) digest() Digest {
	d := xxhash.New()
	s := e.Searcher
	for _, part := range []string{string(s.ID), string(s.Service), string(s.Address), string(s.Zone)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = fmt.Fprint(d, s.Leaving, " ", e.Slots, " ", e.StartTime)
	return Digest(d.Sum64())
}

// Removal is an entry that is no longer listed, as of a revision.
type Removal struct {
	ID       SearcherID
	Revision Revision
	// StartTime and Sequence are those of the last entry that was known, 0 if none was.
	StartTime int64
	Sequence  int64
}

// sameExceptHeartbeat reports whether two entries of one id differ in their
// heartbeats at most.
func (e Entry) sameExceptHeartbeat(other Entry) bool {
	e.Sequence, e.Revision = other.Sequence, other.Revision
	return e == other
}

// changeLog records the version at which each entry changed. The caller holds
// the Directory's lock.
type changeLog struct {
	version Version
	// oldest is the version since which all removals are kept.
	oldest    Version
	changedAt map[SearcherID]Version
	removals  map[SearcherID]removalRecord
	// changed is closed at the next change.
	changed chan struct{}
}

// removalRecord is when an entry was removed.
type removalRecord struct {
	Removal
	version Version
}

// closedChannel is returned for a change that has already happened.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newChangeLog() changeLog {
	return changeLog{
		version: 1, oldest: 1, changedAt: make(map[SearcherID]Version), removals: make(map[SearcherID]removalRecord),
		changed: make(chan struct{}),
	}
}

// next counts a change and wakes those who wait for one.
func (l *changeLog) next() Version {
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.version
}

// put records that an entry was added or changed.
func (l *changeLog) put(id SearcherID) {
	l.changedAt[id] = l.next()
	delete(l.removals, id)
}

// drop records that an entry was removed.
func (l *changeLog) drop(r Removal) {
	delete(l.changedAt, r.ID)
	l.removals[r.ID] = removalRecord{Removal: r, version: l.next()}
	if len(l.removals) > maxRemovals {
		l.expireHalf()
	}
}

// expireHalf drops the older half of the removals.
func (l *changeLog) expireHalf() {
	versions := make([]Version, 0, len(l.removals))
	for _, r := range l.removals {
		versions = append(versions, r.version)
	}
	slices.Sort(versions)
	l.oldest = versions[len(versions)/2]
	maps.DeleteFunc(l.removals, func(_ SearcherID, r removalRecord) bool { return r.version <= l.oldest })
}
