package hyslimit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopshore/core/hysmember"
)

// groupsPerRegion is the number of groups into which the searchers of a region are
// divided. The searchers of a group have the same allocator, so that an instance sends
// few messages however many searchers are limited.
const groupsPerRegion = 4

// Group identifies searchers with the same allocator.
type Group struct {
	Region hysmember.Region
	Number int
}

// GroupOf returns the group of a searcher in a region.
func GroupOf(id hysmember.SearcherID, region hysmember.Region) Group {
	return Group{Region: region, Number: int(xxhash.Sum64String(string(id)) % groupsPerRegion)}
}

// Skipped is why an instance does not ask the allocator that is first in rank.
type Skipped uint8

// The reasons to ask the second in rank.
const (
	SkippedNot      Skipped = iota // not
	SkippedDeclined                // declined
	SkippedSilent                  // silent
)

// Place is the place of an instance among the candidates of a group.
type Place uint8

// The places.
const (
	PlaceNone   Place = iota // none
	PlaceFirst               // first
	PlaceSecond              // second
)

// Standing is what an instance is among the candidates of a group, by its own list.
type Standing struct {
	Place Place
	// Settled is set if the order has been the same for so long that all instances know
	// it: for the first in rank that it is first, for the second the whole order.
	Settled bool
	// Joined is set if the instance was not listed for all of that time.
	Joined bool
	// WasFirst is set if the instance is second only since another one was listed before
	// it, and everybody knows it as the first before that.
	WasFirst bool
	// HandedOver is set if all that were candidates in that time are known to hand out
	// nothing.
	HandedOver bool
}

// Mode returns in which mode an instance with the standing answers an ask, where skipped
// is why the first in rank was not asked. It returns false if it does not answer.
//
// Only one instance may hand out the whole limit, but the lists of instances differ for a
// while after each change. So an instance hands out the whole only if all know that it is
// its place, or if those that others may still ask hand out nothing. Otherwise it hands out
// the deputy's part, which is safe beside another one that hands out the whole. It does not
// decline an ask that its own list does not explain: the asking instance would go on to the
// next one, and tell it that nobody else hands out anything. Only one that joins declines,
// so that the one that was first before it goes on.
func (s Standing) Mode(skipped Skipped) (Mode, bool) {
	switch {
	case s.Place == PlaceNone, s.Place == PlaceFirst && s.Joined:
		return 0, false
	case s.Place == PlaceFirst && (s.Settled || s.HandedOver):
		return ModeFull, true
	case s.Place == PlaceSecond && skipped == SkippedDeclined && (s.Settled || s.WasFirst):
		return ModeFull, true
	default:
		return ModeDeputy, true
	}
}

// AwaitsHandover reports whether the instance has become the first in rank, and does not
// know yet whether those that were candidates before still hand out permits.
func (s Standing) AwaitsHandover() bool {
	return s.Place == PlaceFirst && !s.Settled && !s.Joined && !s.HandedOver
}

// listing is a list of instances that was in force for a time.
type listing struct {
	instances hysmember.Instances
	// until is when the next one replaced it; zero for the newest one.
	until time.Time
	known map[Group]hysmember.Instances
}

// candidates returns the first instances in the order of a group.
func (l *listing) candidates(g Group) hysmember.Instances {
	known, ok := l.known[g]
	if !ok {
		order := hysmember.Rank(l.instances.Strong(), fmt.Sprint("rate-limit-", g.Number), g.Region)
		known = order[:min(candidates, len(order))]
		l.known[g] = known
	}
	return known
}

// placeOf returns the place of an instance in a group.
func (l *listing) placeOf(id hysmember.InstanceID, g Group) Place {
	at := slices.IndexFunc(l.candidates(g), func(i hysmember.Instance) bool { return i.ID == id })
	return []Place{PlaceNone, PlaceFirst, PlaceSecond}[at+1]
}

// hasOrder reports whether a listing has the same candidates of a group as another one.
func (l *listing) hasOrder(other *listing, g Group) bool {
	return slices.EqualFunc(l.candidates(g), other.candidates(g), func(a, b hysmember.Instance) bool { return a.ID == b.ID })
}

// Ranking finds the allocators of the searchers. It is safe for concurrent use.
type Ranking struct {
	now func() time.Time
	// spread is the time within which all instances know a change of the list.
	spread time.Duration

	mu sync.Mutex
	// listings are those that were in force within the last spread, the newest one last.
	listings []*listing
	// silenced are the instances that are known to hand out nothing to a group since the
	// newest listing is in force.
	silenced map[Group]map[hysmember.InstanceID]bool
}

// RankingOption configures a Ranking.
type RankingOption func(*Ranking)

// WithRankingClock replaces the clock.
func WithRankingClock(now func() time.Time) RankingOption {
	return func(r *Ranking) { r.now = now }
}

// NewRanking returns a ranking without instances. spread is the time within which all
// instances know a change of the list.
func NewRanking(spread time.Duration, options ...RankingOption) *Ranking {
	r := &Ranking{now: time.Now, spread: spread}
	for _, o := range options {
		o(r)
	}
	return r
}

// SetInstances replaces the instances. The first list counts as known to all.
func (r *Ranking) SetInstances(instances hysmember.Instances) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest := r.newest(); newest != nil {
		if slices.Equal(newest.instances, instances) {
			return
		}
		newest.until = r.now()
	}
	r.listings, r.silenced = append(r.listings, newListing(instances)), nil
	r.expire()
}

// Reset replaces the instances by a list that all know.
func (r *Ranking) Reset(instances hysmember.Instances) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listings = []*listing{newListing(instances)}
}

func newListing(instances hysmember.Instances) *listing {
	return &listing{instances: instances, known: make(map[Group]hysmember.Instances)}
}

// newest returns the listing in force, nil if there is none. The caller holds mu.
func (r *Ranking) newest() *listing {
	if len(r.listings) == 0 {
		return nil
	}
	return r.listings[len(r.listings)-1]
}

// expire removes the listings that nobody can have any more. The caller holds mu.
func (r *Ranking) expire() {
	oldest := r.now().Add(-r.spread)
	r.listings = slices.DeleteFunc(r.listings, func(l *listing) bool { return !l.until.IsZero() && l.until.Before(oldest) })
}

// candidates is the number of instances that may be the allocator of a group.
const candidates = 2

// Candidates returns the allocator of a group and the one that is second in rank. They
// are of the region of the group if it has instances, and not among the weakest ones.
func (r *Ranking) Candidates(g Group) hysmember.Instances {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest := r.newest(); newest != nil {
		return newest.candidates(g)
	}
	return nil
}

// StandingOf returns the standing of an instance in a group.
func (r *Ranking) StandingOf(id hysmember.InstanceID, g Group) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	newest := r.newest()
	if newest == nil {
		return Standing{}
	}
	s := Standing{Place: newest.placeOf(id, g), Settled: true, WasFirst: r.listings[0].placeOf(id, g) == PlaceFirst}
	for _, l := range r.listings {
		before := l.placeOf(id, g)
		s.WasFirst = s.WasFirst && before != PlaceNone
		s.Settled = s.Settled && before == s.Place && (s.Place == PlaceFirst || l.hasOrder(newest, g))
		s.Joined = s.Joined || before == PlaceNone && !l.instances.Contains(id)
	}
	s.WasFirst = s.WasFirst && s.Place == PlaceSecond
	s.HandedOver = len(r.predecessors(id, g)) == 0
	return s
}

// Predecessors returns the instances that some may still ask in place of an instance that
// has become the first in rank of a group, and that may hand out the whole limit.
func (r *Ranking) Predecessors(id hysmember.InstanceID, g Group) hysmember.Instances {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.predecessors(id, g)
}

// predecessors does the same. The caller holds mu.
func (r *Ranking) predecessors(id hysmember.InstanceID, g Group) hysmember.Instances {
	var all hysmember.Instances
	for _, l := range r.listings {
		for n, c := range l.candidates(g) {
			// Who is second now, and was never first, knows no other first than id.
			isSecond := n > 0 && r.newest().placeOf(c.ID, g) == PlaceSecond
			if c.ID != id && !isSecond && !r.silenced[g][c.ID] && !all.Contains(c.ID) {
				all = append(all, c)
			}
		}
	}
	return all
}

// Silence records that an instance hands out nothing to a group. It stands until the list
// changes.
func (r *Ranking) Silence(id hysmember.InstanceID, g Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silenced == nil {
		r.silenced = make(map[Group]map[hysmember.InstanceID]bool)
	}
	if r.silenced[g] == nil {
		r.silenced[g] = make(map[hysmember.InstanceID]bool)
	}
	r.silenced[g][id] = true
}
