// Package hyslatency keeps the quantiles of recent latencies.
//
// # Usage
//
//	w := hyslatency.NewWindow(time.Second)
//	w.Record(now, latency)
//	p95, ok := w.Quantile(now, 95)
//
// A Window is not safe for concurrent use; its owner holds a lock.
package hyslatency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	maxMicroseconds   = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
	// minSamples is how many latencies a quantile needs.
	minSamples = 20
)

// Window holds the latencies of the current and of the previous span.
type Window struct {
	span     time.Duration
	started  time.Time
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

// NewWindow returns an empty window that covers the last one to two spans.
func NewWindow(span time.Duration) *Window {
	return &Window{
		span:     span,
		current:  hdrhistogram.New(1, maxMicroseconds, significantDigits),
		previous: hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

// Record adds a latency. Latencies above one minute are recorded as one minute.
func (w *Window) Record(now time.Time, latency time.Duration) {
	w.rotate(now)
	us := min(max(latency.Microseconds(), 1), maxMicroseconds)
	// The value is within the bounds, so that recording can't fail.
	_ = w.current.RecordValue(us)
}

// Quantile returns a percentile, from 0 to 100, of the latencies of the current or
// the previous span, whichever has more. It returns false while there are too few.
func (w *Window) Quantile(now time.Time, percent float64) (time.Duration, bool) {
	w.rotate(now)
	h := w.current
	if w.previous.TotalCount() > h.TotalCount() {
		h = w.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond, true
}

func (w *Window) rotate(now time.Time) {
	if now.Sub(w.started) < w.span {
		return
	}
	w.started = now
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
}
