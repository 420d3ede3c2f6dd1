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

// Digest is the same for two Directories with the same searchers listed. A
// follower detects by it that it lacks something that will not be sent again: a
// searcher that it found missing when it read the store itself, while its
// reader did not.
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
}

// sameExceptHeartbeat reports whether two entries of one id differ in their
// heartbeats at most.
func (e Entry) sameExceptHeartbeat(other Entry) bool {
	e.Sequence, e.Revision = other.Sequence, other.Revision
	return e == other
}

// changeLog records at which version each entry changed. The caller holds the
// Directory's lock.
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
	version  Version
	revision Revision
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
func (n *changeLog) next() Version {
	n.version++
	close(n.changed)
	n.changed = make(chan struct{})
	return n.version
}

// put records that an entry was added or changed.
func (n *changeLog) put(id SearcherID) {
	n.changedAt[id] = n.next()
	delete(n.removals, id)
}

// drop records that an entry was removed.
func (n *changeLog) drop(id SearcherID, revision Revision) {
	delete(n.changedAt, id)
	n.removals[id] = removalRecord{version: n.next(), revision: revision}
	if len(n.removals) > maxRemovals {
		n.expireHalf()
	}
}

// expireHalf drops the older half of the removals.
func (n *changeLog) expireHalf() {
	versions := make([]Version, 0, len(n.removals))
	for _, g := range n.removals {
		versions = append(versions, g.version)
	}
	slices.Sort(versions)
	n.oldest = versions[len(versions)/2]
	maps.DeleteFunc(n.removals, func(_ SearcherID, g removalRecord) bool { return g.version <= n.oldest })
}
