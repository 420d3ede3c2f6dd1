package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// Connections that are kept ahead of requests.
const (
	// standbyCount is how many searchers of a shard have one: the nearest, and
	// one for hedges.
	standbyCount = 2
	warmInterval = 500 * time.Millisecond
)

// chooseStandby returns the searchers of the shards of queries to which this
// daemon keeps a connection.
func (f *Front) chooseStandby(byService map[hysservice.Name][]hysdispatch.Replica) hysmember.Searchers {
	state := f.state.Load()
	if state == nil {
		return nil
	}
	var standby hysmember.Searchers
	for service := range state.Shards() {
		var searchers hysmember.Searchers
		for _, r := range byService[service] {
			searchers = append(searchers, r.Searcher)
		}
		standby = append(standby, searchers.Standby(f.settings.Instance, standbyCount, f.distance)...)
	}
	return standby
}

// keepWarm opens connections to the searchers that have lost theirs.
func (f *Front) keepWarm(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, warmInterval) {
		f.mu.Lock()
		standby := f.standby
		f.mu.Unlock()
		opened, failures := f.forward.Warm(ctx, standby)
		if opened > 0 {
			f.log.Info("connections opened ahead", "count", opened, "wanted", len(standby))
		}
		for id, err := range failures {
			f.log.Info("connection not opened ahead", "searcher", id, "error", err)
		}
	}
}
