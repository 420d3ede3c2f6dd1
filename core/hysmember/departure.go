package hysmember

import (
	"maps"
	"slices"
)

// maxDepartures bounds the recorded departures of searchers that are not
// listed.
const maxDepartures = 4096

// Departure is a searcher process that has announced that it is leaving.
type Departure struct {
	ID SearcherID
	// StartTime distinguishes the processes of one id, in Unix milliseconds.
	StartTime int64
}

// Departures is a list of departures.
type Departures []Departure

// departureRecord is the process that is leaving, and the version at which its
// departure became known.
type departureRecord struct {
	startTime int64
	version   Version
}

// MarkLeaving records that a searcher has announced that it is leaving. This
// holds for the process with this start time, whatever the list or another
// instance says of it, and for as long as it may come back to the list.
func (d *Directory) MarkLeaving(departure Departure) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.markLeaving(departure)
}

// MarkAllLeaving records the departures that another instance sent.
func (d *Directory) MarkAllLeaving(all Departures) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.markAllLeaving(all)
}

func (d *Directory) markAllLeaving(all Departures) []Change {
	var changes []Change
	for _, departure := range all {
		if c, ok := d.markLeaving(departure); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (d *Directory) markLeaving(departure Departure) (Change, bool) {
	listed, ok := d.entries[departure.ID]
	known, marked := d.departures[departure.ID]
	if ok && listed.StartTime > departure.StartTime || marked && known.startTime >= departure.StartTime {
		return Change{}, false
	}
	d.departures[departure.ID] = departureRecord{startTime: departure.StartTime, version: d.changeLog.next()}
	d.expireDepartures()
	if !ok || listed.Searcher.Leaving {
		return Change{}, false
	}
	return Change{ID: departure.ID, Service: listed.Searcher.Service, Kind: ChangeDraining, Revision: listed.Revision}, true
}

// DeparturesSince returns the departures that became known after a version.
func (d *Directory) DeparturesSince(v Version) Departures {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departuresSince(v)
}

func (d *Directory) departuresSince(v Version) Departures {
	var all Departures
	for _, id := range slices.Sorted(maps.Keys(d.departures)) {
		if l := d.departures[id]; l.version > v {
			all = append(all, Departure{ID: id, StartTime: l.startTime})
		}
	}
	return all
}

// withDeparture returns an entry as leaving if its searcher has announced that
// it is leaving.
func (d *Directory) withDeparture(e Entry) Entry {
	if l, ok := d.departures[e.Searcher.ID]; ok && e.StartTime <= l.startTime {
		e.Searcher.Leaving = true
	}
	return e
}

// expireDepartures drops the older half of the departures of searchers that are
// not listed, if there are too many departures.
func (d *Directory) expireDepartures() {
	if len(d.departures) <= maxDepartures {
		return
	}
	var versions []Version
	for id, l := range d.departures {
		if _, listed := d.entries[id]; !listed {
			versions = append(versions, l.version)
		}
	}
	if len(versions) == 0 {
		return
	}
	slices.Sort(versions)
	middle := versions[len(versions)/2]
	maps.DeleteFunc(d.departures, func(id SearcherID, l departureRecord) bool {
		_, listed := d.entries[id]
		return !listed && l.version <= middle
	})
}
