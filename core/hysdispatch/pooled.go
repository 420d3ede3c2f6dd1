package hysdispatch

import (
	"maps"
	"sync"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hyslatency"
)

// pooledSpan is how far back the latencies of a group look. An instance with
// many others gets a query a second or less.
const pooledSpan = 10 * time.Second

// maxPooledGroups bounds the groups whose latencies are kept.
const maxPooledGroups = 256

// pooled holds the latencies of each group's sub-requests at all shards
// together. They stand for those of a shard that this instance sends to so
// seldom that it does not know its own: at many instances and shards that is
// every shard, while a group's queries ask all of them alike.
//
// Lock order: after the table's lock.
type pooled struct {
	mu     sync.Mutex
	groups map[hysgroup.Name]*pooledGroup
}

type pooledGroup struct {
	latency *hyslatency.Window
	used    time.Time
}

func newPooled() *pooled {
	return &pooled{groups: make(map[hysgroup.Name]*pooledGroup)}
}

// record adds the latency of a send.
func (p *pooled) record(now time.Time, group hysgroup.Name, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		p.forget(now)
		g = &pooledGroup{latency: hyslatency.NewWindow(pooledSpan)}
		p.groups[group] = g
	}
	g.used = now
	g.latency.Record(now, latency)
}

// forget makes room for another group.
func (p *pooled) forget(now time.Time) {
	if len(p.groups) < maxPooledGroups {
		return
	}
	maps.DeleteFunc(p.groups, func(_ hysgroup.Name, g *pooledGroup) bool { return now.Sub(g.used) > 2*pooledSpan })
	if len(p.groups) >= maxPooledGroups {
		clear(p.groups)
	}
}

// quantile returns a percentile, and false if too little is known.
func (p *pooled) quantile(now time.Time, group hysgroup.Name, percent float64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		return 0, false
	}
	return g.latency.Quantile(now, percent)
}
