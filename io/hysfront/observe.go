package hysfront

import (
	"context"
	"log/slog"

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
		"status", r.Status, "reason", r.Reason, "ms", r.Latency.Milliseconds(), "allowed-ms", r.Allowed.Milliseconds(),
		"shards", r.Shards, "answered", r.Answered, "missing", r.Missing, "sends", r.Sends, "searcher", r.Searcher,
		"retry-after-ms", r.RetryAfter.Milliseconds())
}
