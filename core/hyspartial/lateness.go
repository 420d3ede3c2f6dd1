package hyspartial

import (
	"sync"
	"time"
)

// Weights of a new value in the lateness: it rises at once with one that is larger,
// and falls slowly.
const (
	risingWeight  = 0.5
	fallingWeight = 0.05
)

// maxLatenessPart bounds the lateness by a part of a query's goal.
const maxLatenessPart = 0.1

// Lateness is how much later than they are due the answers in part leave this
// process, as observed. It answers this load: a small share of a processor has the
// parts of many shards to read when the goal comes, and to merge what has arrived
// takes it some milliseconds more. It is safe for concurrent use.
type Lateness struct {
	mu     sync.Mutex
	smooth time.Duration
}

// Observe notes how late an answer has left that was given since it was due.
func (l *Lateness) Observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := fallingWeight
	if late > l.smooth {
		weight = risingWeight
	}
	l.smooth += time.Duration(weight * float64(max(late, 0)-l.smooth))
}

// LeadTime returns how much earlier an answer is due for it, where the goal is a time
// after the request.
func (l *Lateness) LeadTime(goal time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.smooth, time.Duration(maxLatenessPart*float64(goal)))
}
