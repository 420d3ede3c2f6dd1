package hysdispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// ErrUnreachable means that this instance reaches no searcher of a service. It is the
// cause for cancelling sends that are running when that is found out.
const ErrUnreachable = errors.ConstError("no searcher of the service is in reach")

// unreachableRetryAfter is when to retry at a shard whose searchers are out of reach.
const unreachableRetryAfter = 500 * time.Millisecond

// settleTime bounds the wait for the results of sends that were cancelled. A send that
// has not reported by then may have run.
const settleTime = 20 * time.Millisecond

// ReachableFunc reports whether a searcher is not known to be out of reach.
type ReachableFunc func(hysmember.SearcherID) bool

// WithReach sets how the dispatcher finds out that a searcher is out of reach. Nothing
// is sent to such a searcher.
func WithReach(reachable ReachableFunc) Option {
	return func(d *Dispatcher) { d.reachable = reachable }
}

// UnreachableReply returns the reply to a sub-request that was not sent, since no
// searcher of its service is in reach.
func UnreachableReply(sub SubRequest) SubReply {
	reply := notRunReply(sub, hysquery.ShardUnavailable, string(ErrUnreachable), unreachableRetryAfter)
	reply.Unreachable = true
	return reply
}

// Lose ends the sub-requests of a service at once, and all further ones, because this
// instance reaches no searcher of it. Their replies say whether they may have run.
func (d *Dispatcher) Lose(service hysservice.Name) {
	t := d.table(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isLost {
		t.isLost = true
		close(t.lost)
	}
}

// Regain ends Lose.
func (d *Dispatcher) Regain(service hysservice.Name) {
	t := d.table(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isLost {
		t.isLost, t.lost = false, make(chan struct{})
	}
}

// lostSignal returns a channel that is closed when the service is lost, and whether it
// is.
func (t *table) lostSignal() (<-chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost, t.isLost
}

// unreachableReply cancels the sends and returns the final reply.
func (c *call) unreachableReply(cancel context.CancelCauseFunc) SubReply {
	c.removeQueued()
	cancel(ErrUnreachable)
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for settled := false; c.running > 0 && !settled; {
		select {
		case o := <-c.results:
			c.running--
			c.record(o)
		case <-timer.C:
			settled = true
		}
	}
	reply := UnreachableReply(c.sub)
	reply.NotRun, reply.Searcher = !c.mayHaveRun && c.running == 0, c.searcher
	return reply
}

// removeQueued removes the sends that were not started.
func (c *call) removeQueued() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	queued := 0
	for _, send := range c.sends {
		if send.replica == nil {
			queued++
		}
	}
	if queued == 0 {
		return
	}
	c.running -= queued
	c.removeWaiting()
}

// Recover forgets what sends to a searcher have shown while it was out of reach.
func (d *Dispatcher) Recover(service hysservice.Name, id hysmember.SearcherID) {
	t := d.table(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	if !ok || r.state() == stateLeaving {
		return
	}
	r.restart()
	for _, s := range r.shards {
		clear(s.smoothedWaits)
		s.meanTime = 0
		t.matchShard(s)
	}
}
