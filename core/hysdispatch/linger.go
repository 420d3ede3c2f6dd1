package hysdispatch

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrNoLongerNeeded is the cause for cancelling a context whose sub-requests are no
// longer needed although their caller is still waiting. Lingering sends go on then.
const ErrNoLongerNeeded = errors.ConstError("enough other parts have answered")

// errStalled is the cause for cancelling a send that lingered for too long after
// another one had answered.
const errStalled = errors.ConstError("the send was given up after another one had answered")

// detach returns a context for the sends that is not cancelled with the context of
// the call, and a function that cancels it.
func (c *call) detach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(context.WithoutCancel(ctx))
}

// endSends ends the sends that are still running when the call has its reply. Unless
// the caller is gone they linger for a while, because closing their connections would
// cost the searcher a handshake each, which on a busy shard takes as much slot time
// as the cancelled work saves. A non-idempotent sub-request can't be taken back, so
// its send may run until its own deadline.
func (c *call) endSends(ctx context.Context, cancel context.CancelCauseFunc) {
	linger := c.dispatcher.linger
	cancelled := errors.Is(context.Cause(ctx), context.Canceled)
	if !c.sub.Idempotent && linger > 0 {
		linger, cancelled = linger+time.Until(c.sub.Deadline), false
	}
	if c.running == 0 || linger <= 0 || cancelled {
		cancel(context.Canceled)
		return
	}
	time.AfterFunc(linger, func() { cancel(errStalled) })
}

// markStalled turns FaultCancelled into FaultStalled for a send that lingered for too
// long. Other cancelled sends were just not needed any more.
func markStalled(ctx context.Context, result Result) Result {
	if result.Fault == FaultCancelled && errors.Is(context.Cause(ctx), errStalled) {
		result.Fault = FaultStalled
	}
	return result
}
