package hysdispatch

import (
	"math"
	"time"
)

// faultWeight is the weight of a new result in a replica's share of faults.
const faultWeight = 0.15

// faultHalfLife is the time in which the share of an idle replica halves, so that a
// replica that failed is tried again.
const faultHalfLife = 4 * time.Second

// faultPenalty is the cost of a fault in addition to the send: the send of a retry
// and a part of the budget.
const faultPenalty = 150 * time.Millisecond

// reliability is the share of a replica's results that were faults, smoothed
// exponentially. Searchers that refuse or fail a part of their requests may still
// count as healthy and answer the others fast, so that latency alone would prefer
// them.
type reliability struct {
	faults  float64
	updated time.Time
}

func (r *reliability) record(now time.Time, fault bool) {
	current := r.share(now)
	target := 0.0
	if fault {
		target = 1
	}
	r.faults = current + faultWeight*(target-current)
	r.updated = now
}

func (r *reliability) share(now time.Time) float64 {
	idle := now.Sub(r.updated).Seconds() / faultHalfLife.Seconds()
	return r.faults * math.Exp2(-max(idle, 0))
}

// cost is the expected cost of faults for a send, as a time.
func (r *reliability) cost(now time.Time) time.Duration {
	return time.Duration(r.share(now) * float64(faultPenalty))
}
