package hysfront

import (
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
)

// applyConfiguration puts a configuration in force unless the current one is as new
// or newer. It reports whether it did.
func (f *Front) applyConfiguration(c StoredConfiguration, a arrival) bool {
	if c.Err != nil {
		f.log.Error("configuration not usable", "way", a.way.String(), "from", a.from, "error", c.Err)
	}
	for _, s := range c.Skipped {
		f.log.Warn("invalid route ignored", "route", s.Route, "error", s.Err)
	}
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	next, current := c.Decoded, f.configuration()
	if next == nil || current != nil && next.Version <= current.Version {
		return false
	}
	// The limits apply before any caller can learn that the daemon is ready.
	f.callerServer.setLimits(next.Limits)
	f.inForce.Store(&c)
	f.mu.Lock()
	f.configurationChanged = f.directory.BumpVersion()
	f.mu.Unlock()
	f.logInForce(c, a, current == nil)
	f.updateReplicas()
	if current == nil {
		close(f.configured)
	}
	return true
}

// applySnapshot applies a snapshot of the store.
func (f *Front) applySnapshot(s Snapshot) {
	arrived := arrival{way: wayFullRead, at: time.Now()}
	// After an outage of the store, entries that are missing now may still
	// reappear.
	f.storeServed(0)
	f.observeEra(s.Revision.Era)
	for _, m := range s.Malformed {
		f.log.Warn("malformed searcher entry ignored", "searcher", m.ID, "revision", m.Revision, "error", m.Err)
	}
	changes := f.directory.Replace(s.Entries, s.Revision, time.Now())
	f.scheduleExpiry()
	f.searchersKnown.Store(true)
	f.handleChanges(changes)
	f.applyConfiguration(s.Configuration, arrived)
}

// applyChanges applies changes and reports whether any of them was relevant.
func (f *Front) applyChanges(c Changes) bool {
	arrived := arrival{way: wayWatch, at: time.Now()}
	f.storeServed(0)
	var changes []hysmember.Change
	for _, u := range c.Updates {
		if change, ok := f.applyUpdate(u); ok {
			changes = append(changes, change)
		}
	}
	f.handleChanges(changes)
	f.scheduleExpiry()
	f.applyEvidence(c.Evidence)
	return f.applyConfiguration(c.Configuration, arrived) || len(changes) > 0
}

// applyUpdate applies one change of the list of searchers. The bool reports whether
// it changed anything.
func (f *Front) applyUpdate(u Update) (hysmember.Change, bool) {
	if u.Malformed != nil {
		f.log.Warn("malformed searcher entry ignored", "searcher", u.ID, "revision", u.Revision, "error", u.Malformed)
	}
	if u.Removed || u.Malformed != nil {
		return f.directory.Remove(u.ID, u.Revision, time.Now())
	}
	return f.directory.Put(u.Entry)
}

// recordDeparture records that a searcher has announced in a response that it is
// leaving.
func (f *Front) recordDeparture(d hysmember.Departure, id hysquery.RequestID) {
	change, ok := f.directory.MarkLeaving(d)
	if !ok {
		return
	}
	f.log.Info("searcher announced that it is leaving", "searcher", d.ID, "born", d.StartTime, "id", id)
	f.handleChanges([]hysmember.Change{change})
}

// handleChanges logs changes of the list of searchers, attributes the crashes among
// them, and updates the dispatcher's replicas.
func (f *Front) handleChanges(changes []hysmember.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Kind == hysmember.ChangeGone || c.Kind == hysmember.ChangeRestarted {
			f.attributeCrash(c.ID)
		}
		f.log.Info("searcher "+c.Kind.String(), "searcher", c.ID, "service", c.Service, "revision", c.Revision)
	}
	f.updateReplicas()
}
