package hysgather

import (
	"time"

	"hyssopshore/core/hyslatency"
	"hyssopshore/core/hysservice"
)

// Detection of stalled dispatchers.
const (
	// A part counts as stalled after stallFactor times the stallPercentile of
	// the latencies within latencyWindow, but not before minStallDelay.
	stallPercentile = 99
	stallFactor     = 2
	minStallDelay   = 20 * time.Millisecond
	latencyWindow   = 2 * time.Second
)

// stallDelay returns how long a dispatcher may take before its part is also
// sent to the next one: a multiple of the usual latency of a part, but at most
// half of the remaining time, so that the next dispatcher has as much.
func (g *Gatherer) stallDelay(service hysservice.Name, remaining time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	usual, ok := g.window(service).Quantile(g.now(), stallPercentile)
	if !ok {
		return remaining / 2
	}
	return min(max(stallFactor*usual, minStallDelay), remaining/2)
}

// remainingStallDelay returns how much longer to wait for a send whose
// dispatcher has replied to other parts since: it is busy, and a second
// dispatcher would only add to the load of the same searchers. It is 0 for a
// dispatcher that has replied to nothing for the send's stall delay.
func (g *Gatherer) remainingStallDelay(ps *partSend) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	replied := g.lastReply[ps.to.ID]
	if replied.Before(ps.started) {
		return 0
	}
	return max(ps.stallDelay-g.now().Sub(replied), 0)
}

// recordLatency records the latency of a send that was replied to.
func (g *Gatherer) recordLatency(ps *partSend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lastReply[ps.to.ID] = now
	g.window(ps.part.Query.Service).Record(now, now.Sub(ps.started))
}

// window returns the latencies of a service's parts. The caller holds mu.
func (g *Gatherer) window(service hysservice.Name) *hyslatency.Window {
	w, ok := g.latency[service]
	if !ok {
		w = hyslatency.NewWindow(latencyWindow)
		g.latency[service] = w
	}
	return w
}
