package hysdispatch

import (
	"slices"
	"time"
)

// estimateSamples is how many latencies an estimate looks at.
const estimateSamples = 5

// estimate is the median of a replica's last latencies. It answers two loads
// that look alike at first: a replica that pauses for a moment now and then is
// still a good one, one whose every reply is slow is not.
type estimate struct {
	samples [estimateSamples]time.Duration
	count   int
}

func (e *estimate) add(latency time.Duration) {
	e.samples[e.count%estimateSamples] = latency
	e.count++
}

// value returns the median, 0 without any latency.
func (e *estimate) value() time.Duration {
	known := min(e.count, estimateSamples)
	if known == 0 {
		return 0
	}
	sorted := e.samples
	slices.Sort(sorted[:known])
	return sorted[(known-1)/2]
}
