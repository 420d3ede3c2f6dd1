package hysdispatch

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errStalled is the cause of the cancellation of a send that went on after
// another one had answered.
const errStalled = errors.ConstError("the send was given up after another one had answered")

// detach returns a context for the sends of a call that outlives the call's
// own, and a function that ends them.
func (c *call) detach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(context.WithoutCancel(ctx))
}

// release ends the sends that still run when the call has its reply. After an
// answer they may go on for a while. A non-idempotent sub-request can't be
// taken back: its send goes on to its own deadline.
func (c *call) release(answered bool, cancel context.CancelCauseFunc) {
	linger := c.dispatcher.linger
	if !c.sub.Idempotent && c.dispatcher.linger > 0 {
		linger, answered = time.Until(c.sub.Deadline), true
	}
	if c.running == 0 || linger <= 0 || !answered {
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
