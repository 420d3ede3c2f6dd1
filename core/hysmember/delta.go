package hysmember

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxGone bounds the removed entries that a Directory remembers for others.
const maxGone = 4096

// Version counts the changes of one Directory. Heartbeats are none.
type Version uint64

// Delta is what has changed in a Directory since a version.
type Delta struct {
	// Version is that of the Directory now.
	Version Version
	// Full is true if Entries are all that there are.
	Full     bool
	Entries  Entries
	Removals []Removal
	// Departures are the searchers that have said that they are leaving.
	Departures Departures
	// Digest is that of all entries, as they are listed.
	Digest Digest
}

// Digest is the same for two Directories with the same searchers listed. It
// tells a follower that it lacks something that is not told again: a searcher
// that it saw missing when it read the store itself, and its reader did not.
type Digest uint64

// digest is that of one entry.
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

// sameUse reports whether two entries of one id differ in nothing but their
// heartbeats.
func (e Entry) sameUse(other Entry) bool {
	e.Sequence, e.Revision = other.Sequence, other.Revision
	return e == other
}

// news remembers when entries changed. The caller holds the Directory's lock.
type news struct {
	version Version
	// oldest is the version since which all removals are remembered.
	oldest  Version
	stamps  map[SearcherID]Version
	gone    map[SearcherID]removal
	changed chan struct{}
}

type removal struct {
	version  Version
	revision Revision
}

// closedChannel stands for a change that has already happened.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newNews() news {
	return news{
		version: 1, oldest: 1, stamps: make(map[SearcherID]Version), gone: make(map[SearcherID]removal),
		changed: make(chan struct{}),
	}
}

// next counts a change and wakes those who wait for one.
func (n *news) next() Version {
	n.version++
	close(n.changed)
	n.changed = make(chan struct{})
	return n.version
}

func (n *news) put(id SearcherID) {
	n.stamps[id] = n.next()
	delete(n.gone, id)
}

func (n *news) drop(id SearcherID, revision Revision) {
	delete(n.stamps, id)
	n.gone[id] = removal{version: n.next(), revision: revision}
	if len(n.gone) > maxGone {
		n.forgetHalf()
	}
}

// forgetHalf forgets the older half of the removals.
func (n *news) forgetHalf() {
	versions := make([]Version, 0, len(n.gone))
	for _, g := range n.gone {
		versions = append(versions, g.version)
	}
	slices.Sort(versions)
	n.oldest = versions[len(versions)/2]
	maps.DeleteFunc(n.gone, func(_ SearcherID, g removal) bool { return g.version <= n.oldest })
}
