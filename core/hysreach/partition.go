package hysreach

import "time"

// Hold times. After a relapse the searchers must stay reachable for a while before
// they count so, twice as long after each further one.
const (
	relapseWindow = 10 * time.Second
	minHoldTime   = 500 * time.Millisecond
	maxHoldTime   = 4 * time.Second
)

// End of a partition.
const (
	// maxUnreachableShare is the share of the searchers that may still be out of reach.
	maxUnreachableShare = 0.1
	// maxRejoinTime is how long after the first searcher was in reach again a partition
	// ends at the latest.
	maxRejoinTime = time.Second
)

// beginPartition marks all searchers as out of reach. cause says why.
func (t *Tracker) beginPartition(now time.Time, cause Change) Changes {
	t.beginHold(now)
	before := t.lostServices()
	if t.partitionedSince.IsZero() {
		t.partitionedSince = now
	}
	t.rejoiningSince = time.Time{}
	for _, s := range t.searchers {
		if s.unreachable() {
			continue
		}
		s.unreachableSince, s.evidence = now, EvidenceInferred
		s.service.unreachable++
		t.unreachable[s] = true
	}
	t.updateFlags()
	cause.Kind = ChangePartitioned
	changes := Changes{t.change(cause)}
	return append(changes, t.compareServices(before, Change{Evidence: cause.Evidence})...)
}

// beginHold sets the hold time of a partition, by how long ago the last one ended.
func (t *Tracker) beginHold(now time.Time) {
	t.reachableFrom = time.Time{}
	if t.rejoinedAt.IsZero() || now.Sub(t.rejoinedAt) > relapseWindow {
		t.holdTime, t.lastHoldTime = 0, 0
		return
	}
	t.lastHoldTime = min(max(2*t.lastHoldTime, minHoldTime), maxHoldTime)
	t.holdTime = t.lastHoldTime
}

// hold reports whether searchers that probes reach don't count as reachable yet, since
// the last partition was over only for a short time.
func (t *Tracker) hold(now time.Time) bool {
	if t.partitionedSince.IsZero() || t.holdTime == 0 {
		return false
	}
	if t.reachableFrom.IsZero() {
		t.reachableFrom = now
	}
	return t.holding(now)
}

// holding reports whether the hold time is running.
func (t *Tracker) holding(now time.Time) bool {
	return !t.reachableFrom.IsZero() && now.Sub(t.reachableFrom) < t.holdTime
}

// endHold marks the searchers that were reached during the hold time as reachable once
// it is over.
func (t *Tracker) endHold(now time.Time) Changes {
	if t.reachableFrom.IsZero() || t.holding(now) {
		return nil
	}
	from := t.reachableFrom
	t.reachableFrom, t.holdTime = time.Time{}, 0
	var changes Changes
	for s := range t.unreachable {
		if !t.at(&s.heardAt).Before(from) {
			changes = append(changes, t.regain(s, now)...)
		}
	}
	return changes
}

// regain marks a searcher as reachable.
func (t *Tracker) regain(s *searcher, now time.Time) Changes {
	wasLost, lostSince, since := t.lost(s.service), s.service.lostSince, s.unreachableSince
	s.unreachableSince, s.evidence, s.probeInterval = time.Time{}, EvidenceNone, 0
	s.service.unreachable--
	delete(t.unreachable, s)
	t.updateFlags()
	t.schedule.succeeded(now)
	c := Change{Kind: ChangeSearcherRegained, Service: s.Searcher.Service, Searcher: s.Searcher.ID, Lasted: now.Sub(since)}
	changes := Changes{t.change(c)}
	if !t.partitionedSince.IsZero() && t.rejoiningSince.IsZero() {
		t.rejoiningSince = now
	}
	if wasLost && !t.lost(s.service) {
		c.Kind, c.Lasted = ChangeServiceRegained, now.Sub(lostSince)
		changes = append(changes, t.change(c))
	}
	return append(changes, t.endPartition(now)...)
}

// endPartition ends a partition once nearly all searchers are in reach, or some time
// after the first one. Until then only some replicas of each shard are, which can't
// carry the load.
func (t *Tracker) endPartition(now time.Time) Changes {
	if t.partitionedSince.IsZero() {
		return nil
	}
	nearlyAll := float64(len(t.unreachable)) <= maxUnreachableShare*float64(len(t.searchers))
	late := !t.rejoiningSince.IsZero() && now.Sub(t.rejoiningSince) >= maxRejoinTime
	if !nearlyAll && !late {
		return nil
	}
	before := t.lostServices()
	lasted := now.Sub(t.partitionedSince)
	t.partitionedSince, t.rejoiningSince, t.rejoinedAt = time.Time{}, time.Time{}, now
	t.updateFlags()
	changes := Changes{t.change(Change{Kind: ChangeRejoined, Lasted: lasted})}
	return append(changes, t.compareServices(before, Change{Partitioned: true})...)
}
