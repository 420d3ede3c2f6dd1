package hysmember

import (
	"maps"
	"slices"
)

// maxLeavers bounds the searchers off the list that are remembered as leaving.
const maxLeavers = 4096

// Departure is one start of a searcher that has said itself that it is leaving.
type Departure struct {
	ID SearcherID
	// StartTime tells the starts of one id apart.
	StartTime int64
}

// Departures is a list of leavers.
type Departures []Departure

// leaver is when a Leaver became known.
type leaver struct {
	born    int64
	version Version
}

// MarkLeaving notes that a searcher has said that it is leaving. That holds for this
// start of it whatever the list or another instance says of it, and as long as it
// may come back to the list.
func (d *Directory) MarkLeaving(l Departure) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leave(l)
}

// MarkAllLeaving notes what another instance was told.
func (d *Directory) MarkAllLeaving(all Departures) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaveAll(all)
}

func (d *Directory) leaveAll(all Departures) []Change {
	var changes []Change
	for _, l := range all {
		if c, ok := d.leave(l); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (d *Directory) leave(l Departure) (Change, bool) {
	listed, ok := d.entries[l.ID]
	known, marked := d.leavers[l.ID]
	if ok && listed.StartTime > l.StartTime || marked && known.born >= l.StartTime {
		return Change{}, false
	}
	d.leavers[l.ID] = leaver{born: l.StartTime, version: d.news.next()}
	d.forgetLeavers()
	if !ok || listed.Searcher.Leaving {
		return Change{}, false
	}
	return Change{ID: l.ID, Service: listed.Searcher.Service, Kind: ChangeDraining, Revision: listed.Revision}, true
}

// DeparturesSince returns those that became known after a version.
func (d *Directory) DeparturesSince(v Version) Departures {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaversSince(v)
}

func (d *Directory) leaversSince(v Version) Departures {
	var all Departures
	for _, id := range slices.Sorted(maps.Keys(d.leavers)) {
		if l := d.leavers[id]; l.version > v {
			all = append(all, Departure{ID: id, StartTime: l.born})
		}
	}
	return all
}

// asUsed is an entry with what the searcher has said itself.
func (d *Directory) asUsed(e Entry) Entry {
	if l, ok := d.leavers[e.Searcher.ID]; ok && e.StartTime <= l.born {
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
