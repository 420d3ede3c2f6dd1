package hyspartial

import (
	"sync"
	"time"
)

// Weights of a new value in the smoothed lateness: it rises quickly with a
// larger value and falls slowly.
const (
	risingWeight  = 0.5
	fallingWeight = 0.05
)

// maxLeadShare bounds the lead time by a share of the query's goal.
const maxLeadShare = 0.1

// Lateness tracks how much later than planned the partial answers of this
// process are sent. This matters under load: a process with a small share of a
// processor has the replies of many shards to read when the goal comes, and
// merging what has arrived takes some more milliseconds. It is safe for
// concurrent use.
type Lateness struct {
	mu     sync.Mutex
	smooth time.Duration
}

// Observe records how late an answer was sent. Callers record only answers that
// were sent because they were due, not those that were complete earlier.
func (l *Lateness) Observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := fallingWeight
	if late > l.smooth {
		weight = risingWeight
	}
	l.smooth += time.Duration(weight * float64(max(late, 0)-l.smooth))
}

// LeadTime returns how much earlier than the goal an answer is due, to make up
// for the lateness. The goal is the time that the query may take from its
// arrival.
func (l *Lateness) LeadTime(goal time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.smooth, time.Duration(maxLeadShare*float64(goal)))
}
