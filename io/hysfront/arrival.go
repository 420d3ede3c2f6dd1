package hysfront

import (
	"time"

	"hyssopshore/core/hysmember"
)

//go:generate go tool stringer -type=updateWay -linecomment -output=enum_string.go

// updateWay is the way by which updates reach this daemon.
type updateWay uint8

// The ways of updates.
const (
	wayFullRead updateWay = iota // full-read
	wayWatch                     // watch
	wayReader                    // reader
	wayInstance                  // instance
)

// arrival is how and when updates have reached this daemon, for its log.
type arrival struct {
	way updateWay
	// from is the daemon that sent them, "" for the store.
	from hysmember.InstanceID
	at   time.Time
}

// logInForce logs and counts a configuration that has just been put in force. It was
// written after the state that was complete before, so that the age of that one is the
// longest time that the change can have taken. The first one has no such bound.
func (f *Front) logInForce(c StoredConfiguration, a arrival, first bool) {
	fields := []any{"version", c.Decoded.Version, "revision", c.Revision, "routes", len(c.Decoded.Routes),
		"way", a.way.String(), "from", a.from, "applied-in-ms", time.Since(a.at).Milliseconds()}
	if !first {
		lag := f.storeView.age()
		f.metrics.ObserveConfiguration(a.way.String(), lag)
		fields = append(fields, "late-at-most-ms", lag.Milliseconds())
	}
	f.log.Info("configuration in force", fields...)
}
