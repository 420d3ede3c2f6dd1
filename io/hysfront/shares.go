package hysfront

import (
	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
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
	// gathererPart is what the gatherers have of it at the shards of queries; the
	// others need some while no gatherer answers them.
	gathererPart = 0.75
)

// connectionCap is this daemon's share of the connections to a searcher.
func (f *Front) connectionCap(s hysmember.Searcher) int {
	state := f.configuration()
	if state == nil {
		return 1
	}
	limit := state.Services[s.Service].MaxConnections
	if limit == 0 {
		limit = hysservice.DefaultSearcherConnections
	}
	return max(1, int(connectionPart*float64(limit)*f.part(s.Service)))
}

// budget returns this daemon's share of the extra sends to a service.
func (f *Front) budget(service hysservice.Name) *hysbudget.Budget {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	// What this daemon spent before it was started again is not known, and counts
	// for a window.
	b := hysbudget.New(f.settings.RetryShare, f.slack(service), hysbudget.WithWindow(f.settings.RetryWindow),
		hysbudget.WithSlackFrom(f.started.Add(f.settings.RetryWindow)))
	f.budgets[service] = b
	return b
}

// slack is this daemon's share of the extra sends to a service besides those that
// its requests allow. The caller holds budgetMu.
func (f *Front) slack(service hysservice.Name) float64 {
	return slackPart * f.settings.RetrySlack * f.part(service)
}

// part is this daemon's part of what all daemons use together at a service. At
// the shards of queries most of it is the gatherers'.
func (f *Front) part(service hysservice.Name) float64 {
	g := f.gathering.Load()
	switch {
	case g == nil || !g.shards[service] || g.others == 0:
		return 1 / float64(f.instances.Load())
	case g.gathers:
		return gathererPart / float64(max(g.gatherers, 1))
	default:
		return (1 - gathererPart) / float64(g.others)
	}
}

// shareBudgets adjusts the budgets to the number of daemons.
func (f *Front) shareBudgets() {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	for service, b := range f.budgets {
		b.SetSlack(f.slack(service))
	}
}
