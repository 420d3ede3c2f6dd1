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
)

// connectionCap is this daemon's share of the connections to a searcher.
func (f *Front) connectionCap(s hysmember.Searcher) int {
	state := f.configuration()
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
