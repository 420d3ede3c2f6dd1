// Package hysreach tracks which searchers this instance can reach, and decides
// whether the instance itself is cut off from them.
//
// It is made for partitions that hit one instance and not the others: its
// connections to searchers hang, are reset, or live on while new ones are refused,
// and callers and other instances still reach it. Each send alone fails only after
// its own timeout, which tells nothing about the next one. The tracker combines what
// is heard from all searchers: failures of sends, and silence after sends were started,
// raise a suspicion, which a few short probes confirm or clear. If a sample of the
// searchers fails and nothing is heard from any of them meanwhile, all count as out
// of reach until probes reach them again.
//
// A searcher is out of reach only by a probe that failed after the last sign of life,
// so a searcher that is slow, sheds load or fails requests is not: it answers. An
// instance without sends probes one searcher in each IdleInterval.
//
// The package sends nothing. Its user reports what happens and runs the probes, each
// of them one new connection.
//
// # Usage
//
//	t := hysreach.NewTracker(time.Now)
//	t.SetSearchers(targets)
//	t.SendStarted()
//	changes := t.Heard("s-1")
//	targets, changes := t.NextProbes()
//	changes = t.ProbeFailed(targets[0].Searcher.ID, began, hysreach.EvidenceTimeout)
//	if t.Lost("captains-desk") { ... }
package hysreach

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// Tracker tracks which searchers are in reach. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// started is the origin of the times that are kept as durations.
	started time.Time

	// What follows changes with each send, so it is not guarded by mu: the searchers by
	// their ids, when anything was last heard from any of them, the number of sends in
	// flight and since when there are any. calm is set while a sign of life changes
	// nothing else.
	index     atomic.Pointer[map[hysmember.SearcherID]*searcher]
	lastHeard atomic.Int64
	running   atomic.Int64
	busySince atomic.Int64
	calm      atomic.Bool

	mu        sync.Mutex
	searchers map[hysmember.SearcherID]*searcher
	services  map[hysservice.Name]*service
	// unreachable holds the searchers that are out of reach.
	unreachable map[*searcher]bool
	// allReachable is set while there are none, so that nothing is locked then.
	allReachable atomic.Bool
	// failure is the last evidence since which nothing was heard, from any searcher.
	failure Evidence
	round   *round
	// nextRoundAt is the earliest time of the next round, roundInterval the time
	// between two rounds that confirm nothing.
	nextRoundAt   time.Time
	roundInterval time.Duration
	// partitionedSince is zero unless no searcher was reached in a round. Until that is
	// over all services count as lost. rejoiningSince is when the first searcher was in
	// reach again, and rejoinedAt when the last partition ended.
	partitionedSince time.Time
	rejoiningSince   time.Time
	rejoinedAt       time.Time
	// holdTime is how long searchers must stay reachable in the current partition, 0
	// if they need not. lastHoldTime is what it was at the last relapse, and
	// reachableFrom since when some searchers have been reachable.
	holdTime      time.Duration
	lastHoldTime  time.Duration
	reachableFrom time.Time
	schedule      schedule
}

// NewTracker returns a tracker without searchers.
func NewTracker(now func() time.Time) *Tracker {
	t := &Tracker{
		now: now, started: now(), searchers: make(map[hysmember.SearcherID]*searcher),
		services: make(map[hysservice.Name]*service), unreachable: make(map[*searcher]bool),
	}
	t.index.Store(&map[hysmember.SearcherID]*searcher{})
	t.updateFlags()
	return t
}

// clock returns the time now as the time since the start.
func (t *Tracker) clock() int64 { return int64(t.now().Sub(t.started)) }

// at returns the time that a clock shows.
func (t *Tracker) at(clock *atomic.Int64) time.Time {
	return t.started.Add(time.Duration(clock.Load()))
}

// updateFlags updates the flags that are read without mu. The caller holds it.
func (t *Tracker) updateFlags() {
	all := len(t.unreachable) == 0 && t.partitionedSince.IsZero()
	t.allReachable.Store(all)
	t.calm.Store(all && t.failure == EvidenceNone)
}

// SetSearchers replaces the searchers; those that are leaving are not tracked. A
// searcher that is new or has started anew counts as reachable, unless this instance is
// cut off from all.
func (t *Tracker) SetSearchers(targets Targets) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	lostBefore := t.lostServices()
	known, next := t.searchers, make(map[hysmember.SearcherID]*searcher, len(targets))
	t.searchers, t.services = next, make(map[hysservice.Name]*service)
	clear(t.unreachable)
	for _, target := range targets {
		if target.Searcher.Leaving {
			continue
		}
		s, ok := known[target.Searcher.ID]
		if !ok || !s.sameStart(target) {
			s = &searcher{}
			if !t.partitionedSince.IsZero() {
				s.unreachableSince, s.evidence = t.now(), EvidenceInferred
			}
		}
		s.Target = target
		t.add(s)
	}
	for _, s := range t.services {
		slices.SortFunc(s.searchers, func(a, b *searcher) int {
			return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Searcher.ID, b.Searcher.ID))
		})
	}
	t.index.Store(&next)
	t.schedule.reset()
	t.updateFlags()
	return append(t.compareServices(lostBefore, Change{}), t.endPartition(t.now())...)
}

func (t *Tracker) add(s *searcher) {
	t.searchers[s.Searcher.ID] = s
	known, ok := t.services[s.Searcher.Service]
	if !ok {
		known = &service{}
		t.services[s.Searcher.Service] = known
	}
	known.searchers = append(known.searchers, s)
	s.service = known
	if s.unreachable() {
		known.unreachable++
		t.unreachable[s] = true
	}
}

// change completes a change with the state of the tracker.
func (t *Tracker) change(c Change) Change {
	c.SilentFor = t.now().Sub(t.at(&t.lastHeard))
	c.Unreachable, c.Searchers = len(t.unreachable), len(t.searchers)
	c.Partitioned = c.Partitioned || !t.partitionedSince.IsZero()
	return c
}

// SendStarted records that a send is in flight, and reports whether there was none
// before.
func (t *Tracker) SendStarted() bool {
	if t.running.Add(1) > 1 {
		return false
	}
	if !t.unanswered() {
		t.busySince.Store(t.clock())
	}
	return true
}

// unanswered reports whether nothing was heard since sends were in flight. They may have
// been cancelled meanwhile, since another searcher or instance was asked.
func (t *Tracker) unanswered() bool { return t.busySince.Load() > t.lastHeard.Load() }

// awaiting reports whether sends are in flight or unanswered.
func (t *Tracker) awaiting() bool { return t.running.Load() > 0 || t.unanswered() }

// SendEnded records the end of a send.
func (t *Tracker) SendEnded() { t.running.Add(-1) }

// Heard records a sign of life of a searcher: a response, or a connection that was
// established for a send.
func (t *Tracker) Heard(id hysmember.SearcherID) Changes {
	now := t.clock()
	t.lastHeard.Store(now)
	s, ok := (*t.index.Load())[id]
	if ok {
		s.heardAt.Store(now)
	}
	if t.calm.Load() {
		return nil
	}
	return t.heard(id, false)
}

// Reached records that a probe has reached a searcher.
func (t *Tracker) Reached(id hysmember.SearcherID) Changes { return t.heard(id, true) }

func (t *Tracker) heard(id hysmember.SearcherID, byProbe bool) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lastHeard.Store(t.clock())
	t.failure = EvidenceNone
	t.updateFlags()
	s, ok := t.searchers[id]
	if byProbe {
		t.roundReached(id)
	}
	if byProbe && !t.schedule.endIdleProbe(s) {
		t.schedule.succeeded(now)
	}
	if !ok {
		return nil
	}
	s.heardAt.Store(t.clock())
	if byProbe {
		s.probing = false
	}
	if !s.unreachable() || byProbe && t.hold(now) {
		return nil
	}
	return t.regain(s, now)
}

// Failed records a send that failed before a response was received. began is when it
// started.
func (t *Tracker) Failed(id hysmember.SearcherID, began time.Time, e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.searchers[id]
	if !ok || t.at(&s.heardAt).After(began) {
		return
	}
	if t.at(&t.lastHeard).Before(began) {
		t.failure = e
		t.updateFlags()
	}
	s.service.suspectedAt = t.now()
	t.schedule.suspect(s.service)
	if s.unreachable() {
		s.evidence = e
	}
}

// ProbeFailed records that a probe, which began at a time, has not reached a searcher.
func (t *Tracker) ProbeFailed(id hysmember.SearcherID, began time.Time, e Evidence) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s, ok := t.searchers[id]
	if !ok {
		return t.roundFailed(id, now)
	}
	s.probing = false
	var changes Changes
	idle := t.schedule.endIdleProbe(s)
	if t.provesUnreachable(s, began, now, e) {
		if idle && t.at(&t.lastHeard).Before(began) {
			t.failure = e
		}
		changes = t.lose(s, now, e)
	}
	if !t.reachableFrom.IsZero() && !t.at(&s.heardAt).Before(t.reachableFrom) {
		// It was reached during the hold time, and is not any more.
		t.reachableFrom = time.Time{}
	}
	return append(changes, t.roundFailed(id, now)...)
}

// provesUnreachable reports whether a failed probe shows that a searcher is out of
// reach. A probe that took much longer than its timeout says more about this process,
// which may have been suspended.
func (t *Tracker) provesUnreachable(s *searcher, began, now time.Time, e Evidence) bool {
	return !t.at(&s.heardAt).After(began) && now.Sub(began) <= 2*ProbeTimeout && e != EvidenceRefusedInUse
}

// lose marks a searcher as out of reach. The last one to be lost begins a partition.
func (t *Tracker) lose(s *searcher, now time.Time, e Evidence) Changes {
	s.evidence = e
	if s.unreachable() {
		return nil
	}
	wasLost := t.lost(s.service)
	s.unreachableSince = now
	s.service.unreachable++
	t.unreachable[s] = true
	t.updateFlags()
	var changes Changes
	if !wasLost && s.service.allUnreachable() {
		s.service.lostSince = now
		changes = Changes{t.change(Change{Kind: ChangeServiceLost, Service: s.Searcher.Service, Searcher: s.Searcher.ID, Evidence: e})}
	}
	if len(t.unreachable) < len(t.searchers) {
		return changes
	}
	return append(changes, t.beginPartition(now, Change{Evidence: e, Searcher: s.Searcher.ID})...)
}

// Lost reports whether no searcher of a service is in reach, though there are some.
func (t *Tracker) Lost(name hysservice.Name) bool {
	if t.allReachable.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	return ok && t.lost(s)
}

// LostCount returns how many of some services are lost.
func (t *Tracker) LostCount(names []hysservice.Name) int {
	if t.allReachable.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, name := range names {
		if s, ok := t.services[name]; ok && t.lost(s) {
			count++
		}
	}
	return count
}

// Reachable reports whether a searcher is not known to be out of reach.
func (t *Tracker) Reachable(id hysmember.SearcherID) bool {
	if t.allReachable.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.searchers[id]
	return !ok || !s.unreachable()
}

// Suspicious reports whether it is being found out whether any searcher is in reach.
func (t *Tracker) Suspicious() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.round != nil
}

// Status returns the state of the tracker.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{
		Searchers: len(t.searchers), Unreachable: len(t.unreachable), LostServices: len(t.lostServices()),
		Partitioned: !t.partitionedSince.IsZero(), SilentFor: t.now().Sub(t.at(&t.lastHeard)),
	}
}
