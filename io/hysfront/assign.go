package hysfront

import (
	"time"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// Shares of what all daemons use together.
const (
	// unknownInstances stands for their number until it has been read.
	unknownInstances = 9
	// connectionPart is the part of a searcher's connections that is used, so
	// that restarts have room.
	connectionPart = 0.8
	// slackPart is the part of the budget's slack that is used.
	slackPart = 0.8
)

// The least time that a request takes to a searcher and back, by where it is.
const (
	zoneDistance   = 400 * time.Microsecond
	regionDistance = time.Millisecond
	farDistance    = 16 * time.Millisecond
)

// assign gives the dispatcher the searchers of every service.
func (f *Front) assign() {
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
		Searcher: s, Incarnation: uint64(max(e.Born, 0)), Distance: f.distance(s),
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

// connectionCap is this daemon's share of the connections to a searcher.
func (f *Front) connectionCap(s hysmember.Searcher) int {
	state := f.state.Load()
	if state == nil {
		return 1
	}
	limit := state.Services[s.Service].MaxConnections
	if limit == 0 {
		limit = hysservice.DefaultSearcherConnCount
	}
	return max(1, int(connectionPart*float64(limit)/float64(f.instances.Load())))
}

// budget returns this daemon's share of the extra sends to a service.
func (f *Front) budget(service hysservice.Name) *hysbudget.Budget {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	b := hysbudget.New(f.settings.RetryShare, f.slack())
	f.budgets[service] = b
	return b
}

// slack is this daemon's share of the extra sends that may be saved up. The
// caller holds budgetMu.
func (f *Front) slack() float64 {
	return slackPart * f.settings.RetrySlack / float64(f.instances.Load())
}

// shareBudgets adjusts the budgets to the number of daemons.
func (f *Front) shareBudgets() {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	for _, b := range f.budgets {
		b.SetLimit(f.slack())
	}
}
