package hysdispatch

import (
	"maps"
	"sync"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hyslatency"
)

// groupLatencySpan is how far back the latencies of a group reach. An instance of a
// large fleet gets a query a second or less.
const groupLatencySpan = 10 * time.Second

// maxLatencyGroups bounds the groups whose latencies are kept.
const maxLatencyGroups = 256

// groupLatencies holds the latencies of each group's sub-requests over all shards.
// They stand in for those of a shard to which this instance sends too rarely to know
// its latencies. With many instances and shards this is the case for every shard,
// while the queries of a group go to all shards alike.
//
// Lock order: after the table's lock.
type groupLatencies struct {
	mu     sync.Mutex
	groups map[hysgroup.Name]*groupLatency
}

type groupLatency struct {
	latency  *hyslatency.Window
	lastUsed time.Time
}

func newGroupLatencies() *groupLatencies {
	return &groupLatencies{groups: make(map[hysgroup.Name]*groupLatency)}
}

// record adds the latency of a send.
func (p *groupLatencies) record(now time.Time, group hysgroup.Name, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		p.evict(now)
		g = &groupLatency{latency: hyslatency.NewWindow(groupLatencySpan)}
		p.groups[group] = g
	}
	g.lastUsed = now
	g.latency.Record(now, latency)
}

// evict makes room for another group.
func (p *groupLatencies) evict(now time.Time) {
	if len(p.groups) < maxLatencyGroups {
		return
	}
	maps.DeleteFunc(p.groups, func(_ hysgroup.Name, g *groupLatency) bool { return now.Sub(g.lastUsed) > 2*groupLatencySpan })
	if len(p.groups) >= maxLatencyGroups {
		clear(p.groups)
	}
}

// quantile returns a percentile, or false if there are too few latencies.
func (p *groupLatencies) quantile(now time.Time, group hysgroup.Name, percent float64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		return 0, false
	}
	return g.latency.Quantile(now, percent)
}
