package hysdispatch

import "context"

// unconfirmedRuns is how many searchers may run a sub-request of another instance that may
// have taken this one for silent. That instance counts as many runs.
const unconfirmedRuns = 1

// Confirmation is closed once the instance for which this one runs something is known to
// wait for it. nil if nothing is confirmed.
type Confirmation <-chan struct{}

// IsReceived reports whether it is closed.
func (c Confirmation) IsReceived() bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isConfirmed reports whether the instance for which the sub-request runs is known to wait
// for it.
func (s *SubRequest) isConfirmed() bool {
	return s.Confirmed == nil || s.Confirmed.IsReceived()
}

// maxRuns returns how many searchers may run the sub-request by now.
func (s *SubRequest) maxRuns() int {
	if !s.isConfirmed() {
		return unconfirmedRuns
	}
	return s.confirmedRuns()
}

// confirmedRuns returns how many searchers may run the sub-request once it is confirmed.
func (s *SubRequest) confirmedRuns() int {
	if s.MaxRuns > 0 {
		return s.MaxRuns
	}
	return maxRuns
}

// AwaitRun waits until one more searcher may run the sub-request after some others, if it
// has yet to be confirmed for that. It returns false if none may.
func (s *SubRequest) AwaitRun(ctx context.Context, others int) bool {
	if others < s.maxRuns() {
		return true
	}
	if others >= s.confirmedRuns() {
		return false
	}
	select {
	case <-s.Confirmed:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitsConfirmation reports whether a retry is allowed as soon as the sub-request is
// confirmed, and not before.
func (c *call) awaitsConfirmation() bool {
	if c.sub.isConfirmed() || c.exhaustedAt(c.sub.confirmedRuns()) {
		return false
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.hasUntriedReplica(t.shard(c.key()))
}

// confirm makes the retry that had to wait for the confirmation, if there is one.
func (c *call) confirm(ctx, sendCtx context.Context) {
	if !c.retryAwaits {
		return
	}
	c.retryAwaits = false
	if ctx.Err() == nil {
		c.retry(sendCtx, c.lastResult)
	}
}
