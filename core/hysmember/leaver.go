package hysmember

import (
	"maps"
	"slices"
)

// maxLeavers bounds the searchers off the list that are remembered as leaving.
const maxLeavers = 4096

// Leaver is one start of a searcher that has said itself that it is leaving.
type Leaver struct {
	ID SearcherID
	// Born tells the starts of one id apart.
	Born int64
}

// Leavers is a list of leavers.
type Leavers []Leaver

// leaver is when a Leaver became known.
type leaver struct {
	born    int64
	version Version
}

// Leave notes that a searcher has said that it is leaving. That holds for this
// start of it whatever the list or another instance says of it, and as long as it
// may come back to the list.
func (d *Directory) Leave(l Leaver) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leave(l)
}

// LeaveAll notes what another instance was told.
func (d *Directory) LeaveAll(all Leavers) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaveAll(all)
}

func (d *Directory) leaveAll(all Leavers) []Change {
	var changes []Change
	for _, l := range all {
		if c, ok := d.leave(l); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (d *Directory) leave(l Leaver) (Change, bool) {
	listed, ok := d.entries[l.ID]
	known, marked := d.leavers[l.ID]
	if ok && listed.Born > l.Born || marked && known.born >= l.Born {
		return Change{}, false
	}
	d.leavers[l.ID] = leaver{born: l.Born, version: d.news.next()}
	d.forgetLeavers()
	if !ok || listed.Searcher.Leaving {
		return Change{}, false
	}
	return Change{ID: l.ID, Service: listed.Searcher.Service, Kind: ChangeDraining, Revision: listed.Revision}, true
}

// LeaversSince returns those that became known after a version.
func (d *Directory) LeaversSince(v Version) Leavers {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaversSince(v)
}

func (d *Directory) leaversSince(v Version) Leavers {
	var all Leavers
	for _, id := range slices.Sorted(maps.Keys(d.leavers)) {
		if l := d.leavers[id]; l.version > v {
			all = append(all, Leaver{ID: id, Born: l.born})
		}
	}
	return all
}

// asUsed is an entry with what the searcher has said itself.
func (d *Directory) asUsed(e Entry) Entry {
	if l, ok := d.leavers[e.Searcher.ID]; ok && e.Born <= l.born {
		e.Searcher.Leaving = true
	}
	return e
}

// forgetLeavers drops the older half of those that are not listed if there are
// too many.
func (d *Directory) forgetLeavers() {
	if len(d.leavers) <= maxLeavers {
		return
	}
	var versions []Version
	for id, l := range d.leavers {
		if _, listed := d.entries[id]; !listed {
			versions = append(versions, l.version)
		}
	}
	if len(versions) == 0 {
		return
	}
	slices.Sort(versions)
	middle := versions[len(versions)/2]
	maps.DeleteFunc(d.leavers, func(id SearcherID, l leaver) bool {
		_, listed := d.entries[id]
		return !listed && l.version <= middle
	})
}
