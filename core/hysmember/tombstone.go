package hysmember

// tombstone is what is kept of an entry that was removed.
type tombstone struct {
	Removal
	// seenIn is the era, after that of the removal, in which an entry of the removed
	// process was seen.
	seenIn Era
}

// outdates reports whether an entry was written before the removal. A store that has come
// back from a copy lists what was removed since under later revisions. Heartbeats are not
// told to all, so that a higher sequence is no evidence: the process runs if it writes
// again within the era. One that is still listed, since it may come back, is not ended.
func (t tombstone) outdates(e Entry, stillListed bool) bool {
	switch {
	case t.Revision.IsZero():
		return false
	case t.Revision.Era >= e.Revision.Era:
		return !t.Revision.Before(e.Revision)
	case e.StartTime != t.StartTime:
		return e.StartTime < t.StartTime
	case stillListed:
		return false
	default:
		return t.seenIn < e.Revision.Era || e.Sequence <= t.Sequence
	}
}

// see records an entry of the removed process that a later era lists.
func (t tombstone) see(e Entry) tombstone {
	if e.Revision.Era <= t.Revision.Era || e.StartTime != t.StartTime {
		return t
	}
	t.seenIn = max(t.seenIn, e.Revision.Era)
	t.Sequence = max(t.Sequence, e.Sequence)
	return t
}

// markRemoved records a removal, and what is known of the removed entry.
func (d *Directory) markRemoved(r Removal, known Entry) {
	before := d.removed[r.ID]
	r.Revision = MaxRevision(r.Revision, before.Revision)
	for _, last := range []Removal{before.Removal, {StartTime: known.StartTime, Sequence: known.Sequence}} {
		if last.StartTime > r.StartTime || last.StartTime == r.StartTime && last.Sequence > r.Sequence {
			r.StartTime, r.Sequence = last.StartTime, last.Sequence
		}
	}
	d.removed[r.ID] = tombstone{Removal: r}
}
