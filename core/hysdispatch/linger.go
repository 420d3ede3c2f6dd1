package hysdispatch

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrNoLongerNeeded is the cause of the end of a context whose sub-requests are no
// longer needed, though their caller is still there.
const ErrNoLongerNeeded = errors.ConstError("enough other parts have answered")

// errStalled is the cause of the cancellation of a send that went on after
// another one had answered.
const errStalled = errors.ConstError("the send was given up after another one had answered")

// detach returns a context for the sends of a call that outlives the call's
// own, and a function that ends them.
func (c *call) detach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(context.WithoutCancel(ctx))
}

// release ends the sends that still run when the call has its reply. They may go
// on for a while, unless the caller has left: closing their connections would
// cost the searcher a handshake each, which on a busy shard takes as much slot
// time as the work that it saves. A non-idempotent sub-request can't be taken
// back: its send goes on to its own deadline.
func (c *call) release(ctx context.Context, cancel context.CancelCauseFunc) {
	linger := c.dispatcher.linger
	left := errors.Is(context.Cause(ctx), context.Canceled)
	if !c.sub.Idempotent && linger > 0 {
		linger, left = linger+time.Until(c.sub.Deadline), false
	}
	if c.running == 0 || linger <= 0 || left {
		cancel(context.Canceled)
		return
	}
	time.AfterFunc(linger, func() { cancel(errStalled) })
}

// stalled tells a send that went on for too long from one that nobody waits
// for.
func stalled(ctx context.Context, result Result) Result {
	if result.Fault == FaultCancelled && errors.Is(context.Cause(ctx), errStalled) {
		result.Fault = FaultStalled
	}
	return result
}
