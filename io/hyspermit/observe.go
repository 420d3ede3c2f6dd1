package hyspermit

import (
	"log/slog"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/io/hysmetrics"
)

// LogLimits returns a function that logs each change of a searcher's rate limit, and
// each statement about one that can't be used.
func LogLimits(log *slog.Logger) hysdispatch.LimitFunc {
	return func(e hysdispatch.LimitEvent) {
		attributes := []any{"searcher", e.Searcher, "service", e.Service, "id", e.RequestID, "rate", float64(e.Limit.Rate),
			"sends", e.Sends, "held-back", e.HeldBack}
		if e.Problem != "" {
			log.Warn("rate limit not usable", append(attributes, "limited", e.Limit.Limited, "problem", e.Problem)...)
			return
		}
		log.Info("rate limit "+e.Change.String(), attributes...)
	}
}

// Metrics returns rate limits as the metrics show them.
func Metrics(limited hysdispatch.LimitedSearchers) hysmetrics.SearcherLimits {
	all := make(hysmetrics.SearcherLimits, 0, len(limited))
	for _, l := range limited {
		all = append(all, hysmetrics.SearcherLimit{
			Searcher: string(l.Searcher), Rate: float64(l.Rate), Part: float64(l.Part), Sends: l.Sends, HeldBack: l.HeldBack,
		})
	}
	return all
}
