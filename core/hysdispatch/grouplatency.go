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
func (l *groupLatencies) record(now time.Time, group hysgroup.Name, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.groups[group]
	if !ok {
		l.evict(now)
		g = &groupLatency{latency: hyslatency.NewWindow(groupLatencySpan)}
		l.groups[group] = g
	}
	g.lastUsed = now
	g.latency.Record(now, latency)
}

// evict does nothing below maxLatencyGroups. From there on it removes the groups that
// were not used lately, and all groups if there are still too many.
func (l *groupLatencies) evict(now time.Time) {
	if len(l.groups) < maxLatencyGroups {
		return
	}
	maps.DeleteFunc(l.groups, func(_ hysgroup.Name, g *groupLatency) bool { return now.Sub(g.lastUsed) > 2*groupLatencySpan })
	if len(l.groups) >= maxLatencyGroups {
		clear(l.groups)
	}
}

// quantile returns a percentile, or false if there are too few latencies.
func (l *groupLatencies) quantile(now time.Time, group hysgroup.Name, percent float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.groups[group]
	if !ok {
		return 0, false
	}
	return g.latency.Quantile(now, percent)
}
