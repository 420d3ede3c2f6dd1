package hysdispatch

import (
	"slices"
	"time"
)

// estimateSamples is how many latencies an estimate is based on.
const estimateSamples = 5

// estimate is the median of a replica's last latencies. The median tells a good
// replica with an occasional pause from one whose replies are all slow.
type estimate struct {
	samples [estimateSamples]time.Duration
	count   int
}

func (e *estimate) add(latency time.Duration) {
	e.samples[e.count%estimateSamples] = latency
	e.count++
}

// value returns the median, or 0 without any latency.
func (e *estimate) value() time.Duration {
	known := min(e.count, estimateSamples)
	if known == 0 {
		return 0
	}
	sorted := e.samples
	slices.Sort(sorted[:known])
	return sorted[(known-1)/2]
}
