package hysfront

import (
	"context"
	"log/slog"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysingress"
)

// observe counts and logs a request that has ended.
func (f *Front) observe(r hysingress.Record) {
	f.metrics.ObserveRequest(string(r.Route), r.Outcome.String(), r.Latency, r.Sends)
	level := slog.LevelInfo
	if r.Outcome != hysingress.OutcomeServed && r.Outcome != hysingress.OutcomePartial {
		level = slog.LevelWarn
	}
	f.log.Log(context.Background(), level, "request "+r.Outcome.String(),
		"id", r.ID, "route", r.Route, "service", r.Service, "configuration", r.Configuration,
		"status", r.Status, "reason", r.Reason, "ms", r.Latency.Milliseconds(), "allowed-ms", r.Allowed.Milliseconds(), "returning", r.Returning,
		"shards", r.Shards, "answered", r.Answered, "missing", r.Missing, "sends", r.Sends, "searcher", r.Searcher,
		"retry-after-ms", r.RetryAfter.Milliseconds())
}

// send sends a sub-request, and counts and logs what a searcher has not
// answered.
func (f *Front) send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	started := time.Now()
	result := f.forward.Send(ctx, s, sub)
	f.metrics.ObserveSend(string(sub.Service), result.Fault.String(), time.Since(started))
	if result.Fault != hysdispatch.FaultNone {
		f.log.Info("send "+result.Fault.String(), "id", sub.RequestID, "service", sub.Service, "searcher", s.ID,
			"address", s.Address, "not-run", result.NotSent, "reason", result.Reason, "ms", time.Since(started).Milliseconds())
	}
	return result
}
