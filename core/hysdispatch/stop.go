package hysdispatch

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysquery"
)

// ErrStopping means that this instance is about to end. It is also the cause for
// cancelling the context of requests whose callers still wait for an answer then.
const ErrStopping = errors.ConstError("the instance is stopping")

// stoppingRetryAfter is short: another instance is likely to serve the caller at once.
const stoppingRetryAfter = 100 * time.Millisecond

// stopSignal tells when a dispatcher starts no more sends. It is safe for concurrent
// use.
type stopSignal struct {
	at      atomic.Pointer[time.Time]
	reached chan struct{}
}

func newStopSignal() *stopSignal { return &stopSignal{reached: make(chan struct{})} }

// before reports whether the stop comes before a time.
func (s *stopSignal) before(t time.Time) bool {
	at := s.at.Load()
	return at != nil && at.Before(t)
}

// isReached reports whether no more sends may be started.
func (s *stopSignal) isReached() bool {
	select {
	case <-s.reached:
		return true
	default:
		return false
	}
}

// StopAt sets when the dispatcher starts no more sends, because its instance ends soon
// after that. What still waits for a slot then ends at once with the reply that it was
// not run, so that its caller can try another instance in time. What would have to wait
// for longer is refused from now on. Sends that are running go on. StopAt must be called
// at most once.
func (d *Dispatcher) StopAt(at time.Time) {
	d.stop.at.Store(&at)
	time.AfterFunc(at.Sub(d.now()), func() { close(d.stop.reached) })
}

// stopRefusal returns the reply to a sub-request that is refused because it would have
// to wait for longer than this instance runs.
func stopRefusal(sub SubRequest, queue QueueState) SubReply {
	reply := notRunReply(sub, hysquery.ShardUnavailable, string(ErrStopping), stoppingRetryAfter)
	reply.Queue = queue
	return reply
}

// endWaiting removes the sends that were not started, and returns the final reply if no
// other is running.
func (c *call) endWaiting() (SubReply, bool) {
	c.removeQueued()
	if c.running > 0 {
		return SubReply{}, false
	}
	return c.reply(hysquery.ShardUnavailable, Result{Reason: string(ErrStopping), RetryAfter: stoppingRetryAfter}), true
}
