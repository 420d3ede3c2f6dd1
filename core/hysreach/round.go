package hysreach

import (
	"time"

	"hyssopshore/core/hysmember"
)

// ProbeTimeout is how long a probe may take to establish a connection.
const ProbeTimeout = 150 * time.Millisecond

// stallTime is how long nothing may be heard from any searcher, after sends were started,
// before some are probed.
const stallTime = 150 * time.Millisecond

// Bounds of the time between two rounds. It doubles while rounds confirm nothing.
const (
	minRoundInterval = 200 * time.Millisecond
	maxRoundInterval = 4 * time.Second
)

// round is a probe of a sample of all searchers.
type round struct {
	began    time.Time
	evidence Evidence
	pending  map[hysmember.SearcherID]bool
	probed   int
}

// suspicion returns the evidence that this instance may be cut off from all
// searchers.
func (t *Tracker) suspicion(now time.Time) Evidence {
	if t.failure != EvidenceNone {
		return t.failure
	}
	quietSince := t.started.Add(time.Duration(max(t.lastHeard.Load(), t.busySince.Load())))
	if t.awaiting() && now.Sub(quietSince) >= stallTime {
		return EvidenceStalled
	}
	return EvidenceNone
}

// startRound starts a round if there is a suspicion, and returns the searchers to
// probe.
func (t *Tracker) startRound(now time.Time) Targets {
	evidence := t.suspicion(now)
	allLost := len(t.unreachable) == len(t.searchers)
	if evidence == EvidenceNone || t.round != nil || allLost || now.Before(t.nextRoundAt) {
		return nil
	}
	sample := t.schedule.sample(t)
	if len(sample) == 0 {
		return nil
	}
	t.round = &round{began: now, evidence: evidence, pending: make(map[hysmember.SearcherID]bool), probed: len(sample)}
	var targets Targets
	for _, s := range sample {
		t.round.pending[s.Searcher.ID] = true
		targets = append(targets, s.startProbe(now))
	}
	return targets
}

// roundReached records that one searcher of the round was reached.
func (t *Tracker) roundReached(id hysmember.SearcherID) {
	if t.round == nil || !t.round.pending[id] {
		return
	}
	delete(t.round.pending, id)
	if len(t.round.pending) == 0 {
		t.clearRound(t.now())
	}
}

// roundFailed records that one searcher of the round was not reached, and decides after
// the last one.
func (t *Tracker) roundFailed(id hysmember.SearcherID, now time.Time) Changes {
	r := t.round
	if r == nil || !r.pending[id] {
		return nil
	}
	delete(r.pending, id)
	if len(r.pending) > 0 {
		return nil
	}
	if len(t.unreachable) == len(t.searchers) {
		// The probe of the last one has shown it.
		t.round = nil
		return nil
	}
	heard := t.at(&t.lastHeard).After(r.began)
	suspended := now.Sub(r.began) > 2*ProbeTimeout
	if heard || suspended {
		t.clearRound(now)
		return nil
	}
	t.round, t.roundInterval, t.nextRoundAt = nil, 0, now
	return t.beginPartition(now, Change{Evidence: r.evidence, Probed: r.probed})
}

// clearRound ends a round that has confirmed nothing.
func (t *Tracker) clearRound(now time.Time) {
	t.round = nil
	t.roundInterval = min(max(2*t.roundInterval, minRoundInterval), maxRoundInterval)
	t.nextRoundAt = now.Add(t.roundInterval)
}
