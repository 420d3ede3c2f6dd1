package hysreach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopshore/core/hysmember"
)

// Sizes of samples and batches of probes.
const (
	// sampleSize is the number of searchers that are probed to find out whether any
	// is in reach.
	sampleSize = 4
	// maxSampled is how many searchers are looked at to find a sample in several
	// availability zones.
	maxSampled = 256
	// maxSuspects is the number of searchers of one service that are probed at once.
	maxSuspects = 16
	// quietBatch is the number of unreachable searchers that are probed at once while
	// none is reached, busyBatch the same once one was.
	quietBatch = 4
	busyBatch  = 16
)

// Times between probes.
const (
	// CheckInterval is the time between two calls of NextProbes.
	CheckInterval = 50 * time.Millisecond
	// suspectInterval is the shortest time between two probes of the searchers of a
	// service.
	suspectInterval = 250 * time.Millisecond
	// quietInterval is the time between two batches while no searcher is reached.
	quietInterval = 250 * time.Millisecond
	// busyTime is how long after a success probes go on in large batches.
	busyTime = time.Second
	// IdleInterval is the time without a sign of life after which a searcher is probed.
	IdleInterval = time.Second
	// maxProbeInterval bounds the time between two probes of one searcher. It begins
	// at quietInterval and doubles.
	maxProbeInterval = 2 * time.Second
)

// schedule decides which searchers are probed next.
type schedule struct {
	// order holds all searchers: the nearest of each service first, then the second
	// nearest, and so on. It is empty until it is needed.
	order  []*searcher
	cursor int
	// suspects are the services to which sends have failed.
	suspects map[*service]bool
	// nextBatchAt is when unreachable searchers are probed next.
	nextBatchAt time.Time
	succeededAt time.Time
	// idleProbe is the searcher that is probed because nothing is sent, nil if none is.
	idleProbe   *searcher
	idleProbeAt time.Time
}

// reset forgets the order and the suspects, because the list of the searchers has changed.
func (s *schedule) reset() {
	s.order, s.cursor = nil, 0
	clear(s.suspects)
}

// suspect records that a send to a searcher of a service has failed.
func (s *schedule) suspect(failed *service) {
	if s.suspects == nil {
		s.suspects = make(map[*service]bool)
	}
	s.suspects[failed] = true
}

// succeeded records that an unreachable searcher was reached, by a probe or otherwise, or
// another one by a probe.
func (s *schedule) succeeded(now time.Time) { s.succeededAt = now }

// busy reports whether a searcher was reached lately.
func (s *schedule) busy(now time.Time) bool { return now.Sub(s.succeededAt) < busyTime }

// endIdleProbe records the end of a probe, and reports whether it was made because nothing
// was sent.
func (s *schedule) endIdleProbe(probed *searcher) bool {
	idle := probed != nil && probed == s.idleProbe
	if idle {
		s.idleProbe = nil
	}
	return idle
}

// build sets the order of the searchers, if it is not set.
func (s *schedule) build(t *Tracker) {
	if len(s.order) > 0 {
		return
	}
	services := make([]*service, 0, len(t.services))
	for _, v := range t.services {
		services = append(services, v)
	}
	slices.SortFunc(services, func(a, b *service) int {
		return cmp.Compare(a.searchers[0].Searcher.ID, b.searchers[0].Searcher.ID)
	})
	for rank := 0; len(s.order) < len(t.searchers); rank++ {
		for _, v := range services {
			if rank < len(v.searchers) {
				s.order = append(s.order, v.searchers[rank])
			}
		}
	}
}

// sample returns searchers of as many availability zones as possible.
func (s *schedule) sample(t *Tracker) []*searcher {
	s.build(t)
	start := rand.IntN(max(len(s.order), 1))
	var sample, others []*searcher
	zones := make(map[hysmember.Zone]bool)
	for i := range min(len(s.order), maxSampled) {
		one := s.order[(start+i)%len(s.order)]
		if one.probing || one.unreachable() {
			continue
		}
		if zones[one.Searcher.Zone] {
			others = append(others, one)
			continue
		}
		zones[one.Searcher.Zone] = true
		sample = append(sample, one)
	}
	sample = append(sample, others...)
	return sample[:min(len(sample), sampleSize)]
}

// startProbe marks a searcher as being probed.
func (s *searcher) startProbe(now time.Time) Target {
	s.probing, s.probedAt = true, now
	return s.Target
}

// Busy reports whether NextProbes must be called regularly.
func (t *Tracker) Busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.awaiting() || len(t.unreachable) > 0 || len(t.schedule.suspects) > 0 || t.round != nil
}

// NextProbes returns the searchers to probe now, and what has changed because time has
// passed. Each target must be reported with Reached or ProbeFailed.
func (t *Tracker) NextProbes() (Targets, Changes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	changes := append(t.endHold(now), t.endPartition(now)...)
	targets := t.startRound(now)
	targets = append(targets, t.probeSuspects(now)...)
	targets = append(targets, t.probeIdle(now)...)
	return append(targets, t.probeUnreachable(now)...), changes
}

// probeIdle returns a searcher to probe if this instance has neither heard from any nor
// probed one for a while, so that it knows of a partition before its next send.
func (t *Tracker) probeIdle(now time.Time) Targets {
	last := t.at(&t.lastHeard)
	if t.schedule.idleProbeAt.After(last) {
		last = t.schedule.idleProbeAt
	}
	allLost := len(t.unreachable) == len(t.searchers)
	if t.round != nil || t.running.Load() > 0 || allLost || now.Sub(last) < IdleInterval {
		return nil
	}
	sample := t.schedule.sample(t)
	if len(sample) == 0 {
		return nil
	}
	t.schedule.idleProbe, t.schedule.idleProbeAt = sample[0], now
	return Targets{sample[0].startProbe(now)}
}

// probeSuspects returns the searchers of the suspected services from which nothing was
// heard since the failure.
func (t *Tracker) probeSuspects(now time.Time) Targets {
	var targets Targets
	for v := range t.schedule.suspects {
		if now.Sub(v.probedAt) < suspectInterval {
			continue
		}
		delete(t.schedule.suspects, v)
		v.probedAt = now
		count := 0
		for _, s := range v.searchers {
			if s.probing || s.unreachable() || t.at(&s.heardAt).After(v.suspectedAt) || count >= maxSuspects {
				continue
			}
			count++
			targets = append(targets, s.startProbe(now))
		}
	}
	return targets
}

// probeUnreachable returns the next unreachable searchers to probe.
func (t *Tracker) probeUnreachable(now time.Time) Targets {
	if len(t.unreachable) == 0 || now.Before(t.schedule.nextBatchAt) {
		return nil
	}
	batch, interval := quietBatch, quietInterval
	if t.schedule.busy(now) && !t.holding(now) {
		batch, interval = busyBatch, CheckInterval
	}
	t.schedule.nextBatchAt = now.Add(interval)
	t.schedule.build(t)
	var targets Targets
	for range t.schedule.order {
		if len(targets) >= batch {
			break
		}
		s := t.schedule.order[t.schedule.cursor%len(t.schedule.order)]
		t.schedule.cursor++
		if s.dueForProbe(now, t.schedule.busy(now) || !t.partitionedSince.IsZero()) {
			targets = append(targets, s.probeAgain(now))
		}
	}
	return targets
}

// dueForProbe reports whether an unreachable searcher is to be probed again: soon in a
// partition, which may end at any time, and while others are being reached.
func (s *searcher) dueForProbe(now time.Time, soon bool) bool {
	interval := s.probeInterval
	if soon {
		interval = min(interval, quietInterval)
	}
	return s.unreachable() && !s.probing && now.Sub(s.probedAt) >= interval
}

// probeAgain marks an unreachable searcher as being probed again.
func (s *searcher) probeAgain(now time.Time) Target {
	s.probeInterval = min(max(2*s.probeInterval, quietInterval), maxProbeInterval)
	return s.startProbe(now)
}
