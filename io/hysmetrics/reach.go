package hysmetrics

import "hyssopshore/core/hysreach"

// SetReach updates the gauges of what this instance can reach.
func (m *Metrics) SetReach(s hysreach.Status) {
	m.scope.Gauge("partitioned").Update(boolValue(s.Partitioned))
	m.scope.Gauge("searchers_unreachable").Update(float64(s.Unreachable))
	m.scope.Gauge("services_unreachable").Update(float64(s.LostServices))
	m.scope.Gauge("searchers_silent_seconds").Update(s.SilentFor.Seconds())
}
