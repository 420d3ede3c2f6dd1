package hysdispatch

import "time"

// QueueState is what a refusal was derived from: the state of the shard that decided
// it.
type QueueState struct {
	// Waiting and Running are the sub-requests that wait for a slot and those that
	// run.
	Waiting int
	Running int
	// Serving of Replicas may get a sub-request; the others are leaving, in backoff
	// or have asked for a pause.
	Serving  int
	Replicas int
	// ExpectedWait is the estimated wait for a slot, MeanTime the average duration of
	// a send.
	ExpectedWait time.Duration
	MeanTime     time.Duration
}

// queueState returns the state of the shard, where wait is the estimated wait of a
// sub-request.
func (s *shard) queueState(now time.Time, wait time.Duration) QueueState {
	q := QueueState{Waiting: s.queue.Len(), Replicas: len(s.replicas), ExpectedWait: wait, MeanTime: s.meanTime}
	for _, r := range s.replicas {
		q.Running += len(r.active)
		if r.serving(now) {
			q.Serving++
		}
	}
	return q
}
