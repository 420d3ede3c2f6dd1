package hysfront

import (
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// Minimum round-trip times of a request to a searcher, by its location.
const (
	zoneDistance   = 400 * time.Microsecond
	regionDistance = time.Millisecond
	remoteDistance = 16 * time.Millisecond
)

// updateReplicas passes the listed searchers of every service to the dispatcher,
// chooses the connections to prewarm, and releases the connections to searchers
// that are no longer listed.
func (f *Front) updateReplicas() {
	if f.updateGatherers() {
		f.updateBudgets()
	}
	byService := make(map[hysservice.Name][]hysdispatch.Replica)
	listed := make(map[hysmember.SearcherID]hysmember.Address)
	for _, e := range f.directory.Entries() {
		byService[e.Searcher.Service] = append(byService[e.Searcher.Service], f.replica(e))
		listed[e.Searcher.ID] = e.Searcher.Address
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service := range f.knownServices {
		if _, ok := byService[service]; !ok {
			byService[service] = nil
		}
	}
	f.prober.SetTargets(targets(byService))
	for service, replicas := range byService {
		f.knownServices[service] = true
		f.dispatcher.SetReplicas(service, replicas, 1)
	}
	f.prewarmed = f.choosePrewarmed(byService)
	f.forward.Retain(func(id hysmember.SearcherID, address hysmember.Address) bool {
		return listed[id] == address
	})
}

// replica returns a listed searcher as a replica of the dispatcher.
func (f *Front) replica(e hysmember.Entry) hysdispatch.Replica {
	s := f.withRegion(e.Searcher)
	return hysdispatch.Replica{
		Searcher: s, Incarnation: uint64(max(e.StartTime, 0)), Distance: f.distance(s),
		Slots:    min(e.Slots, f.connectionCap(s)),
		Holdings: []hyssnapshot.Holding{{Range: hyssnapshot.Range{To: hyssnapshot.KeySpace}}},
	}
}

// withRegion returns a searcher with the region of its availability zone.
func (f *Front) withRegion(s hysmember.Searcher) hysmember.Searcher {
	s.Region = f.settings.Regions[s.Zone]
	return s
}

// distance returns the minimum round-trip time of a request to a searcher.
func (f *Front) distance(s hysmember.Searcher) time.Duration {
	switch {
	case s.Zone == f.settings.Zone:
		return zoneDistance
	case s.Region == f.settings.Region:
		return regionDistance
	default:
		return remoteDistance
	}
}
