package hysdaemon

import (
	"context"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
)

// sendToSearcher sends a sub-request to a searcher. If the reply is marked as
// draining, this is reported to all instances, since the instance list and the
// searcher's own info may lag behind.
func (d *Daemon) sendToSearcher(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	// The mark is applied to the incarnation that was known when the sub-request
	// was sent, so that a late reply can't mark a later incarnation.
	info, known := d.view.Info(s.ID)
	d.prober.SendStarted()
	result := d.searchers.Send(ctx, s, sub)
	d.prober.SendEnded()
	if known && (result.Draining || result.Fault == hysdispatch.FaultDraining) {
		d.markDraining(info)
	}
	return result
}

func (d *Daemon) markDraining(info hysmember.Info) {
	if info.Draining {
		return
	}
	info.Draining = true
	d.view.Merge(info)
	d.drainingSearchers.Merge(info)
}

// reportedInfos returns the infos that this instance reports to its peers: of the
// searchers that it observes, and of those that announced to it that they are
// leaving.
func (d *Daemon) reportedInfos() []hysmember.Info {
	reported := make(map[hysmember.SearcherID]bool)
	var infos []hysmember.Info
	for _, s := range d.observed() {
		reported[s.ID] = true
		if info, ok := d.view.Info(s.ID); ok {
			infos = append(infos, info)
		}
	}
	for _, s := range d.view.List().Searchers {
		_, marked := d.drainingSearchers.Get(s.ID)
		info, ok := d.view.Info(s.ID)
		if marked && ok && info.Draining && !reported[s.ID] {
			infos = append(infos, info)
		}
	}
	return infos
}
