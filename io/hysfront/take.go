package hysfront

import (
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
)

// configure puts a configuration in force unless a newer one is. It reports
// whether it did.
func (f *Front) configure(c StoredConfiguration) bool {
	for _, s := range c.Skipped {
		f.log.Warn("route left out", "route", s.Route, "error", s.Err)
	}
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	next, known := c.Decoded, f.configuration()
	if next == nil || known != nil && next.Version <= known.Version {
		return false
	}
	// Who learns that the daemon is ready already meets these limits.
	f.callers.adjust(next.Limits)
	f.newest.Store(&c)
	f.mu.Lock()
	f.configurationChanged = f.directory.BumpVersion()
	f.mu.Unlock()
	f.log.Info("configuration in force", "version", next.Version, "revision", c.Revision, "routes", len(next.Routes))
	f.assign()
	if known == nil {
		close(f.configured)
	}
	return true
}

// take takes a snapshot of the store over.
func (f *Front) take(s Snapshot) {
	// What the store lacks now may come back for a while if it was away.
	f.storeServed(0)
	for _, m := range s.Malformed {
		f.log.Warn("entry not used", "searcher", m.ID, "revision", m.Revision, "error", m.Err)
	}
	changes := f.directory.Replace(s.Entries, s.Revision, time.Now())
	f.listed.Store(true)
	f.noteChanges(changes)
	f.configure(s.Configuration)
}

// update takes changes over and reports whether one mattered.
func (f *Front) update(c Changes) bool {
	f.storeServed(0)
	var changes []hysmember.Change
	for _, u := range c.Updates {
		if change, ok := f.updateEntry(u); ok {
			changes = append(changes, change)
		}
	}
	f.noteChanges(changes)
	f.takeEvidence(c.Evidence)
	return f.configure(c.Configuration) || len(changes) > 0
}

func (f *Front) updateEntry(u Update) (hysmember.Change, bool) {
	if u.Malformed != nil {
		f.log.Warn("entry not used", "searcher", u.ID, "revision", u.Revision, "error", u.Malformed)
	}
	if u.Removed || u.Malformed != nil {
		return f.directory.Remove(u.ID, u.Revision, time.Now())
	}
	return f.directory.Put(u.Entry)
}

// noteLeaver notes that a searcher has said in a response that it is leaving.
func (f *Front) noteLeaver(l hysmember.Departure, id hysquery.RequestID) {
	change, ok := f.directory.MarkLeaving(l)
	if !ok {
		return
	}
	f.log.Info("searcher says that it is leaving", "searcher", l.ID, "born", l.StartTime, "id", id)
	f.noteChanges([]hysmember.Change{change})
}

func (f *Front) noteChanges(changes []hysmember.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Kind == hysmember.ChangeGone || c.Kind == hysmember.ChangeRestarted {
			f.searcherDown(c.ID)
		}
		f.log.Info("searcher "+c.Kind.String(), "searcher", c.ID, "service", c.Service, "revision", c.Revision)
	}
	f.assign()
}
