package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// prewarmInterval is the time between two attempts to open missing connections.
const prewarmInterval = 500 * time.Millisecond

// choosePrewarmed returns the searchers to which this daemon keeps a connection
// open: if it is a gatherer, the nearest replica of each shard of queries. More
// connections would do harm after a power loss, since the searchers count the old
// connections until those time out.
func (f *Front) choosePrewarmed(byService map[hysservice.Name][]hysdispatch.Replica) hysmember.Searchers {
	state, g := f.configuration(), f.gathererSet.Load()
	if state == nil || !g.isGatherer {
		return nil
	}
	var prewarmed hysmember.Searchers
	for service := range state.ShardServices() {
		var searchers hysmember.Searchers
		for _, r := range byService[service] {
			searchers = append(searchers, r.Searcher)
		}
		if nearest, ok := searchers.Nearest(f.settings.Instance, f.distance); ok {
			prewarmed = append(prewarmed, nearest)
		}
	}
	return prewarmed
}

// keepPrewarmed opens connections to the prewarmed searchers that have none.
func (f *Front) keepPrewarmed(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, prewarmInterval) {
		f.mu.Lock()
		prewarmed := f.prewarmed
		f.mu.Unlock()
		opened, failures := f.forward.Prewarm(ctx, prewarmed)
		if opened > 0 {
			f.log.Info("connections opened ahead", "count", opened, "wanted", len(prewarmed))
		}
		for id, err := range failures {
			f.log.Info("connection not opened in advance", "searcher", id, "error", err)
		}
	}
}
