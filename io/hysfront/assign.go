package hysfront

import (
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// The least time that a request takes to a searcher and back, by where it is.
const (
	zoneDistance   = 400 * time.Microsecond
	regionDistance = time.Millisecond
	farDistance    = 16 * time.Millisecond
)

// assign gives the dispatcher the searchers of every service.
func (f *Front) assign() {
	if f.reviewGathering() {
		f.shareBudgets()
	}
	byService := make(map[hysservice.Name][]hysdispatch.Replica)
	listed := make(map[hysmember.SearcherID]hysmember.Address)
	for _, e := range f.directory.Entries() {
		byService[e.Searcher.Service] = append(byService[e.Searcher.Service], f.replica(e))
		listed[e.Searcher.ID] = e.Searcher.Address
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service := range f.assigned {
		if _, ok := byService[service]; !ok {
			byService[service] = nil
		}
	}
	for service, replicas := range byService {
		f.assigned[service] = true
		f.dispatcher.SetReplicas(service, replicas, 1)
	}
	f.warm = f.chooseWarm(byService)
	f.forward.Retain(func(id hysmember.SearcherID, address hysmember.Address) bool {
		return listed[id] == address
	})
}

// replica is a searcher as the dispatcher uses it.
func (f *Front) replica(e hysmember.Entry) hysdispatch.Replica {
	s := f.located(e.Searcher)
	return hysdispatch.Replica{
		Searcher: s, Incarnation: uint64(max(e.StartTime, 0)), Distance: f.distance(s),
		Slots:    min(e.Slots, f.connectionCap(s)),
		Holdings: []hyssnapshot.Holding{{Range: hyssnapshot.Range{To: hyssnapshot.KeySpace}}},
	}
}

// located adds the region of a searcher's availability zone.
func (f *Front) located(s hysmember.Searcher) hysmember.Searcher {
	s.Region = f.settings.Regions[s.Zone]
	return s
}

func (f *Front) distance(s hysmember.Searcher) time.Duration {
	switch {
	case s.Zone == f.settings.Zone:
		return zoneDistance
	case s.Region == f.settings.Region:
		return regionDistance
	default:
		return farDistance
	}
}
