package hysfront

import (
	"net/http"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// ApplyConfiguration puts a configuration in force as the loops of a daemon do.
func (f *Front) ApplyConfiguration(c StoredConfiguration) bool {
	return f.applyConfiguration(c, arrival{})
}

// Version returns the version of the configuration in force.
func (f *Front) Version() int64 { return int64(f.configuration().Version) }

// ApplySnapshot applies a snapshot of the store.
func (f *Front) ApplySnapshot(s Snapshot) { f.applySnapshot(s) }

// Handler returns the handler of callers' requests.
func (f *Front) Handler() http.Handler { return f.ingress }

// SetInstances applies a list of announced instances.
func (f *Front) SetInstances(instances hysmember.Instances) { f.setInstances(instances) }

// Slack returns this daemon's share of the extra sends to a service.
func (f *Front) Slack(service hysservice.Name) float64 {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.slack(service)
}
