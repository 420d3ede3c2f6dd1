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
	"hyssopshore/io/hyspermit"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 2 * time.Second

// updateGauges keeps the gauges of the daemon's state up to date until the context
// ends.
func (f *Front) updateGauges(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, gaugeInterval) {
		entries := f.directory.Entries()
		usable := 0
		for _, e := range entries {
			if !e.Searcher.Leaving {
				usable++
			}
		}
		f.metrics.Set(hysmetrics.Gauges{
			Ready: f.ready(), Leaving: f.draining.Load(), StoreAge: f.store.age(), Staleness: f.storeView.age(),
			MembersListed: len(entries), MembersUsable: usable,
			Instances: f.instanceCount.Load(), DroppedLines: f.droppedLines(), StoreEra: int64(f.eras.Current()),
		})
		f.metrics.SetReach(f.reach.Status())
		f.metrics.SetLimits(hyspermit.Metrics(f.dispatcher.LimitedSearchers()))
		for _, service := range f.services() {
			load := f.dispatcher.Load(service)
			f.metrics.SetService(service, hysmetrics.ServiceGauges{
				Waiting: load.Waiting, Running: load.Running, Slots: load.Slots, RetryBudget: load.BudgetRemaining,
			})
		}
	}
}

// services returns the services that have or had searchers.
func (f *Front) services() []hysservice.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.knownServices))
}

// observe counts and logs a request that has ended.
func (f *Front) observe(r hysingress.Record) {
	if r.Delegated {
		// The entry instance counts the request.
		f.metrics.ObserveDelegation("for-another")
	} else {
		f.metrics.ObserveRouteRequest(string(r.Route), r.Outcome.String(), r.Latency, r.Sends)
	}
	level := slog.LevelInfo
	if r.Outcome != hysingress.OutcomeServed && r.Outcome != hysingress.OutcomePartial {
		level = slog.LevelWarn
	}
	log := f.log
	if r.Queue.Replicas > 0 {
		q := r.Queue
		log = log.With("waiting", q.Waiting, "running", q.Running, "serving", q.Serving, "replicas", q.Replicas,
			"expected-wait-ms", q.ExpectedWait.Milliseconds(), "mean-ms", q.MeanTime.Milliseconds())
	}
	log.Log(context.Background(), level, "request "+r.Outcome.String(),
		"id", r.ID, "route", r.Route, "service", r.Service, "configuration", r.Configuration,
		"status", r.Status, "reason", r.Reason, "ms", r.Latency.Milliseconds(), "goal-ms", r.Goal.Milliseconds(), "allowed-ms", r.Allowed.Milliseconds(), "returning", r.Returning,
		"shards", r.Shards, "answered", r.Answered, "missing", r.Missing, "sends", r.Sends, "max-shard-runs", r.MaxShardRuns, "used-attempts", r.UsedAttempts, "max-attempts", r.MaxAttempts, "searcher", r.Searcher, "gathered-by", r.GatheredBy, "for-another", r.Delegated, "confirmed", r.Confirmed, "relayed", r.Relayed, "relayed-to", r.RelayedTo,
		"retry-after-ms", r.RetryAfter.Milliseconds())
}

// send sends a sub-request to a searcher. It counts every send and logs those that
// fail.
func (f *Front) send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	if until, refused := f.quarantined(sub.Fingerprint); refused {
		return hysdispatch.Result{
			Fault: hysdispatch.FaultQuarantined, NotRun: true, RetryAfter: time.Until(until),
			Reason: "the request crashed searchers and is quarantined",
		}
	}
	started, startTime := time.Now(), f.directory.StartTime(s.ID)
	f.prober.SendStarted()
	result := f.forward.Send(ctx, s, sub)
	f.prober.SendEnded()
	f.recordResult(s, sub, result)
	if result.Draining {
		f.recordDeparture(hysmember.Departure{ID: s.ID, StartTime: startTime}, sub.RequestID)
	}
	f.metrics.ObserveSend(string(sub.Service), result.Fault.String(), time.Since(started))
	if result.Fault != hysdispatch.FaultNone {
		f.log.Info("send "+result.Fault.String(), "id", sub.RequestID, "service", sub.Service, "searcher", s.ID,
			"address", s.Address, "not-run", result.NotRun, "reason", result.Reason, "retry-after-ms", result.RetryAfter.Milliseconds(), "ms", time.Since(started).Milliseconds())
	}
	return result
}
