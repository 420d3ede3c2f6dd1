package hysfront

import (
	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// Shares of what all daemons use together.
const (
	// defaultInstanceCount stands for the number of daemons until it has been read.
	defaultInstanceCount = 9
	// connectionShare is the share of a searcher's connection limit that is used.
	// The rest leaves room for restarts.
	connectionShare = 0.8
	// slackShare is the share of the budget's slack that is used.
	slackShare = 0.8
	// gathererShare is the gatherers' share at the shards of queries. The other
	// daemons need the rest while no gatherer answers them.
	gathererShare = 0.75
)

// connectionCap returns this daemon's share of the connections to a searcher.
func (f *Front) connectionCap(s hysmember.Searcher) int {
	state := f.configuration()
	if state == nil {
		return 1
	}
	limit := state.Services[s.Service].MaxConnections
	if limit == 0 {
		limit = hysservice.DefaultSearcherConnections
	}
	return max(1, int(connectionShare*float64(limit)*f.share(s.Service)))
}

// budget returns a new retry budget with this daemon's share of the extra sends to
// a service.
func (f *Front) budget(service hysservice.Name) *hysbudget.Budget {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	// What this daemon spent before a restart is unknown, so there is no slack for
	// one window.
	b := hysbudget.New(f.settings.RetryShare, f.slack(service), hysbudget.WithWindow(f.settings.RetryWindow),
		hysbudget.WithSlackFrom(f.started.Add(f.settings.RetryWindow)))
	f.budgets[service] = b
	return b
}

// slack returns this daemon's share of the extra sends to a service, beyond those
// that its requests allow. Until the number of daemons is known there is none. While
// the list has become shorter, the daemons that it lacks may still use theirs. The
// caller holds budgetMu.
func (f *Front) slack(service hysservice.Name) float64 {
	peak := f.peakInstances.Load()
	if peak == 0 {
		return 0
	}
	listed := float64(f.instanceCount.Load()) / float64(peak)
	return slackShare * f.settings.RetrySlack * f.share(service) * min(listed, 1)
}

// share returns this daemon's share of what all daemons use together at a service.
// At the shards of queries most of it belongs to the gatherers.
func (f *Front) share(service hysservice.Name) float64 {
	g := f.gathererSet.Load()
	switch {
	case g == nil || !g.shardServices[service] || g.otherCount == 0:
		return 1 / float64(f.instanceCount.Load())
	case g.isGatherer:
		return gathererShare / float64(max(g.gathererCount, 1))
	default:
		return (1 - gathererShare) / float64(g.otherCount)
	}
}

// updateBudgets adjusts the budgets to the number of daemons.
func (f *Front) updateBudgets() {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	for service, b := range f.budgets {
		b.SetSlack(f.slack(service))
	}
}
