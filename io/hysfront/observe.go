package hysfront

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysmetrics"
)

// measureInterval is how often the metrics of states are set.
const measureInterval = 2 * time.Second

// measure keeps the metrics of the daemon's state at the newest.
func (f *Front) measure(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, measureInterval) {
		entries := f.directory.Entries()
		usable := 0
		for _, e := range entries {
			if !e.Searcher.Leaving {
				usable++
			}
		}
		f.metrics.Set(hysmetrics.Gauges{
			Ready: f.ready(), Leaving: f.leaving.Load(), StoreAge: f.store.age(), Staleness: f.knowledge.age(),
			MembersListed: len(entries), MembersUsable: usable,
			Instances: f.instances.Load(), DroppedLines: f.droppedLines(),
		})
		for _, service := range f.services() {
			load := f.dispatcher.Load(service)
			f.metrics.SetService(service, hysmetrics.ServiceGauges{
				Waiting: load.Waiting, Running: load.Running, Slots: load.Slots, RetryBudget: load.BudgetRemaining,
			})
		}
	}
}

// services are those that have had searchers.
func (f *Front) services() []hysservice.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.assigned))
}

// observe counts and logs a request that has ended.
func (f *Front) observe(r hysingress.Record) {
	if r.Delegated {
		// The instance whose caller it is counts the request.
		f.metrics.ObserveDelegation("for-another")
	} else {
		f.metrics.ObserveRouteRequest(string(r.Route), r.Outcome.String(), r.Latency, r.Sends)
	}
	level := slog.LevelInfo
	if r.Outcome != hysingress.OutcomeServed && r.Outcome != hysingress.OutcomePartial {
		level = slog.LevelWarn
	}
	f.log.Log(context.Background(), level, "request "+r.Outcome.String(),
		"id", r.ID, "route", r.Route, "service", r.Service, "configuration", r.Configuration,
		"status", r.Status, "reason", r.Reason, "ms", r.Latency.Milliseconds(), "goal-ms", r.Goal.Milliseconds(), "allowed-ms", r.Allowed.Milliseconds(), "returning", r.Returning,
		"shards", r.Shards, "answered", r.Answered, "missing", r.Missing, "sends", r.Sends, "searcher", r.Searcher, "gathered-by", r.GatheredBy, "for-another", r.Delegated,
		"retry-after-ms", r.RetryAfter.Milliseconds())
}

// send sends a sub-request, and counts and logs what a searcher has not
// answered.
func (f *Front) send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	if until, refused := f.suspect(sub.Fingerprint); refused {
		return hysdispatch.Result{
			Fault: hysdispatch.FaultQuarantined, NotRun: true, RetryAfter: time.Until(until),
			Reason: "the request crashed searchers and is quarantined",
		}
	}
	started, born := time.Now(), f.directory.StartTime(s.ID)
	result := f.forward.Send(ctx, s, sub)
	f.judge(s, sub, result)
	if result.Draining {
		f.noteLeaver(hysmember.Departure{ID: s.ID, StartTime: born}, sub.RequestID)
	}
	f.metrics.ObserveSend(string(sub.Service), result.Fault.String(), time.Since(started))
	if result.Fault != hysdispatch.FaultNone {
		f.log.Info("send "+result.Fault.String(), "id", sub.RequestID, "service", sub.Service, "searcher", s.ID,
			"address", s.Address, "not-run", result.NotRun, "reason", result.Reason, "retry-after-ms", result.RetryAfter.Milliseconds(), "ms", time.Since(started).Milliseconds())
	}
	return result
}
