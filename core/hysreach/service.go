package hysreach

import (
	"time"

	"hyssopshore/core/hysservice"
)

// service is a service with its searchers, the nearest first.
type service struct {
	searchers []*searcher
	// unreachable is the number of searchers that are out of reach.
	unreachable int
	lostSince   time.Time
	// suspectedAt is when a send to one of the searchers last failed, probedAt when they
	// were last probed for that.
	suspectedAt time.Time
	probedAt    time.Time
}

// allUnreachable reports whether each searcher of the service is out of reach.
func (s *service) allUnreachable() bool {
	return len(s.searchers) > 0 && s.unreachable == len(s.searchers)
}

// lost reports whether no searcher of a service counts as in reach.
func (t *Tracker) lost(s *service) bool {
	return s.allUnreachable() || !t.partitionedSince.IsZero() && len(s.searchers) > 0
}

// lostServices returns since when each lost service is lost.
func (t *Tracker) lostServices() map[hysservice.Name]time.Time {
	lost := make(map[hysservice.Name]time.Time)
	if len(t.unreachable) == 0 && t.partitionedSince.IsZero() {
		return lost
	}
	for name, s := range t.services {
		if t.lost(s) {
			lost[name] = s.lostSince
		}
	}
	return lost
}

// compareServices returns the services that were lost or regained, where before holds
// those that were lost. One that has no searchers any more is not lost.
func (t *Tracker) compareServices(before map[hysservice.Name]time.Time, cause Change) Changes {
	now := t.now()
	var changes Changes
	for name, s := range t.services {
		c := cause
		c.Service = name
		since, wasLost := before[name]
		switch lost := t.lost(s); {
		case lost && wasLost:
			s.lostSince = since
		case lost:
			s.lostSince = now
			c.Kind = ChangeServiceLost
			changes = append(changes, t.change(c))
		case wasLost:
			c.Kind, c.Lasted = ChangeServiceRegained, now.Sub(since)
			changes = append(changes, t.change(c))
		}
	}
	for name, since := range before {
		if _, listed := t.services[name]; !listed {
			c := cause
			c.Service, c.Kind, c.Lasted = name, ChangeServiceRegained, now.Sub(since)
			changes = append(changes, t.change(c))
		}
	}
	return changes
}
