package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// warmInterval is how often lost connections are opened again.
const warmInterval = 500 * time.Millisecond

// chooseWarm returns the searchers to which this daemon keeps a connection: the
// nearest one of each shard of queries. More would be in the way after a loss of
// power: the searchers count the connections of before until they time out.
func (f *Front) chooseWarm(byService map[hysservice.Name][]hysdispatch.Replica) hysmember.Searchers {
	state, g := f.configuration(), f.gathering.Load()
	if state == nil || !g.gathers {
		return nil
	}
	var warm hysmember.Searchers
	for service := range state.ShardServices() {
		var searchers hysmember.Searchers
		for _, r := range byService[service] {
			searchers = append(searchers, r.Searcher)
		}
		if nearest, ok := searchers.Nearest(f.settings.Instance, f.distance); ok {
			warm = append(warm, nearest)
		}
	}
	return warm
}

// keepWarm opens connections to the searchers that have lost theirs.
func (f *Front) keepWarm(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, warmInterval) {
		f.mu.Lock()
		warm := f.warm
		f.mu.Unlock()
		opened, failures := f.forward.Prewarm(ctx, warm)
		if opened > 0 {
			f.log.Info("connections opened ahead", "count", opened, "wanted", len(warm))
		}
		for id, err := range failures {
			f.log.Info("connection not opened ahead", "searcher", id, "error", err)
		}
	}
}
