package hysmember

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the search for a source.
const (
	// SearchInterval is the time between two rounds of a search that has just begun,
	// slowSearchInterval that of one that goes on for longer than quickSearchTime: then
	// the store most likely serves nobody.
	SearchInterval     = 100 * time.Millisecond
	slowSearchInterval = 400 * time.Millisecond
	quickSearchTime    = 1 * time.Second
)

// Distances of other instances from this one, the nearest first.
const (
	inZone = iota
	inRegion
	elsewhere
	distances
)

// candidatesPerRound is how many instances are asked in one round.
const candidatesPerRound = 3

// Sources decides from which other instance an instance gets updates while the store
// does not serve it. It is made for the loss of the store by a whole availability zone or
// by most instances at once, while changes go on: the nearest instances then know as
// little. So a round asks one instance of the zone, one of the region and one of
// another region, and those last that had nothing newer. It is not safe for concurrent
// use.
type Sources struct {
	now  func() time.Time
	self Instance
	// current is the source in use, adoptedAt when that began.
	current   InstanceID
	adoptedAt time.Time
	// triedAt is when an instance had nothing newer.
	triedAt map[InstanceID]time.Time
	// searchingSince is when the search began, zero if there is none.
	searchingSince time.Time
}

// NewSources returns the sources of an instance, none of which is in use. now is the
// clock.
func NewSources(self Instance, now func() time.Time) *Sources {
	return &Sources{now: now, self: self, triedAt: make(map[InstanceID]time.Time)}
}

// Current returns the source in use. One that is no longer listed is in use no longer.
func (s *Sources) Current(listed Instances) (Instance, bool) {
	at := slices.IndexFunc(listed, func(i Instance) bool { return i.ID == s.current })
	if at < 0 {
		s.current = ""
		return Instance{}, false
	}
	return listed[at], true
}

// AdoptedAt returns when the source in use was adopted, zero if there is none.
func (s *Sources) AdoptedAt() time.Time {
	if s.current == "" {
		return time.Time{}
	}
	return s.adoptedAt
}

// Adopt records that an instance has sent something newer, and becomes the source. It
// reports whether another one was in use.
func (s *Sources) Adopt(id InstanceID) bool {
	changed := s.current != id
	if changed {
		s.current, s.adoptedAt = id, s.now()
	}
	s.searchingSince = time.Time{}
	clear(s.triedAt)
	return changed
}

// Reject records that an instance has nothing newer, or does not answer.
func (s *Sources) Reject(id InstanceID) {
	s.triedAt[id] = s.now()
	if s.current == id {
		s.current = ""
	}
}

// Release records that no source is needed.
func (s *Sources) Release() {
	s.current, s.searchingSince = "", time.Time{}
	clear(s.triedAt)
}

// Candidates returns the instances that are asked in the next round of a search, the
// nearest first.
func (s *Sources) Candidates(listed Instances) Instances {
	if s.searchingSince.IsZero() {
		s.searchingSince = s.now()
	}
	untried, tried := s.sampleUntried(listed)
	var chosen, others Instances
	for _, u := range untried {
		first := min(len(u.kept), 1)
		chosen = append(chosen, u.kept[:first]...)
		others = append(others, u.kept[first:]...)
	}
	slices.SortFunc(tried, func(a, b Instance) int { return s.triedAt[a.ID].Compare(s.triedAt[b.ID]) })
	others = append(others, tried...)
	return append(chosen, others[:min(candidatesPerRound-len(chosen), len(others))]...)
}

// sampleUntried returns a few random instances of each distance that were not tried, and
// all that were.
func (s *Sources) sampleUntried(listed Instances) (untried [distances]sample, tried Instances) {
	for _, i := range listed {
		switch {
		case i.Address == "" || i.ID == s.self.ID:
		case !s.triedAt[i.ID].IsZero():
			tried = append(tried, i)
		case i.Zone == s.self.Zone:
			untried[inZone].add(i)
		case i.Region == s.self.Region:
			untried[inRegion].add(i)
		default:
			untried[elsewhere].add(i)
		}
	}
	return untried, tried
}

// sample holds as many instances as are asked in a round, each of those that were added
// with the same probability.
type sample struct {
	added int
	kept  Instances
}

func (m *sample) add(i Instance) {
	m.added++
	if len(m.kept) < candidatesPerRound {
		m.kept = append(m.kept, i)
		return
	}
	if at := rand.IntN(m.added); at < candidatesPerRound {
		m.kept[at] = i
	}
}

// Delay returns the time until the next round of the search.
func (s *Sources) Delay() time.Duration {
	if !s.searchingSince.IsZero() && s.now().Sub(s.searchingSince) > quickSearchTime {
		return slowSearchInterval
	}
	return SearchInterval
}
