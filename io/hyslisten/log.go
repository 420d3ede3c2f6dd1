package hyslisten

import (
	"log/slog"

	"hyssopshore/core/hysintake"
)

// WithLog logs evicted connections and failed accepts of a port. The log must not block.
func WithLog(log *slog.Logger, port string) Option {
	return func(l *Listener) {
		l.onEvicted = func(e hysintake.Eviction) {
			log.Info("connection evicted", "port", port, "reason", e.Reason.String(), "bytes", e.Bytes, "age-ms", e.Age.Milliseconds())
		}
		l.onFailed = func(err error) { log.Warn("connection not accepted", "port", port, "error", err) }
	}
}
