package hysdispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// The states of a replica.
const (
	stateServing = "serving"
	stateBackoff = "backoff"
	stateLeaving = "leaving"
)

// The triggers between the states of a replica.
const (
	triggerFailed    = "failed"
	triggerAnswered  = "answered"
	triggerDraining  = "draining"
	triggerRestarted = "restarted"
)

// Backoff of a replica that can't be reached.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Pause of a replica that sheds load.
const (
	minShedPause = 5 * time.Millisecond
	maxShedPause = 500 * time.Millisecond
)

// urgentSpan is how long after an urgent answer bulk ones do not speak for the
// replica.
const urgentSpan = time.Second

// latencyHalfLife is the time in which an idle replica's latency comes half way
// back to the usual, so that one that was slow is tried again.
const latencyHalfLife = 3 * time.Second

// shardKey identifies a shard of a service in one epoch.
type shardKey struct {
	epoch hyssnapshot.Epoch
	shard hysservice.ShardID
}

// Replica is a searcher with the shards it holds.
type Replica struct {
	Searcher    hysmember.Searcher
	Incarnation uint64
	Holdings    []hyssnapshot.Holding
	// Distance is the least time that a sub-request to it takes.
	Distance time.Duration
	// Slots is how many sub-requests it may run at once; 0 stands for those of
	// the service.
	Slots int
}

type replica struct {
	Replica
	machine *stateless.StateMachine
	slots   int
	// concurrency starts at one send for a cold replica.
	concurrency concurrency
	active      []*waiter
	shards      []*shard
	recent      estimate
	// reliability is kept apart from the backoff, which ends with one answer.
	reliability reliability
	// restraint is what the searcher has asked of this instance.
	restraint *restraint
	latency   time.Duration
	used      time.Time
	backoff   time.Duration
	pause     time.Duration
	retryAt   time.Time
	// bulkAt is when bulk sub-requests may be sent again, urgentAt when an
	// urgent one was last answered.
	bulkAt   time.Time
	urgentAt time.Time
	// connected tells whether a send need not wait for a connection.
	connected ConnectedFunc
}

func newReplica(r Replica, slots int, asked *restraint, connected ConnectedFunc) *replica {
	m := stateless.NewStateMachine(stateServing)
	m.Configure(stateServing).
		Permit(triggerFailed, stateBackoff).
		Permit(triggerDraining, stateLeaving).
		Ignore(triggerAnswered).
		Ignore(triggerRestarted)
	m.Configure(stateBackoff).
		PermitReentry(triggerFailed).
		Permit(triggerAnswered, stateServing).
		Permit(triggerDraining, stateLeaving).
		Permit(triggerRestarted, stateServing)
	m.Configure(stateLeaving).
		Ignore(triggerFailed).
		Ignore(triggerAnswered).
		Ignore(triggerDraining).
		Permit(triggerRestarted, stateServing)
	return &replica{
		Replica: r, machine: m, slots: slots, concurrency: newConcurrency(slots),
		connected: connected, restraint: asked,
	}
}

func (r *replica) fire(trigger string) {
	// Every state handles every trigger, so that firing can't fail.
	_ = r.machine.FireCtx(context.Background(), trigger)
}

func (r *replica) state() string {
	return r.machine.MustState().(string)
}

// restart makes the replica cold.
func (r *replica) restart() {
	r.fire(triggerRestarted)
	r.concurrency = newConcurrency(r.slots)
	r.latency, r.recent, r.reliability = 0, estimate{}, reliability{}
	r.backoff, r.pause, r.retryAt = 0, 0, time.Time{}
}

// servesAt is when the replica may next be sent to, which is past while it
// serves. It is false for one that is leaving.
func (r *replica) servesAt() (time.Time, bool) {
	switch r.state() {
	case stateServing:
		return r.restraint.quietUntil, true
	case stateBackoff:
		return later(r.retryAt, r.restraint.quietUntil), true
	default:
		return time.Time{}, false
	}
}

// servesBy reports whether the replica serves, or may be tried again by a time.
func (r *replica) servesBy(t time.Time) bool {
	at, ok := r.servesAt()
	return ok && !at.After(t)
}

// serves reports whether the replica serves and has not asked for rest.
func (r *replica) serves(now time.Time) bool {
	return r.state() == stateServing && !now.Before(r.restraint.quietUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// free reports whether the replica may get a sub-request now.
func (r *replica) free(now time.Time) bool {
	if now.Before(r.restraint.quietUntil) {
		return false
	}
	switch r.state() {
	case stateLeaving:
		return false
	case stateBackoff:
		// One trial at a time until the replica answers.
		return len(r.active) == 0 && !now.Before(r.retryAt)
	default:
		return r.hasRoom() && !now.Before(r.retryAt)
	}
}

// hasRoom reports whether one more send may be in flight. At a congested
// replica an urgent one need not wait for a bulk one to end.
func (r *replica) hasRoom() bool {
	if len(r.active) < r.concurrency.sends() {
		return true
	}
	urgent := slices.ContainsFunc(r.active, func(w *waiter) bool { return w.sub.Class == hysquery.ClassUrgent })
	return r.concurrency.scarce() && !urgent && len(r.active) < r.slots
}

// takes reports whether a replica that is free may get a sub-request of a
// class. Bulk ones wait for the rest after any send, urgent ones only for the
// rest after urgent ones.
func (r *replica) takes(class hysquery.Class, now time.Time) bool {
	if class == hysquery.ClassUrgent {
		return true
	}
	return len(r.active) < r.concurrency.bulkSends() && !now.Before(r.bulkAt)
}

// expected returns how long a sub-request is likely to take where one usually
// takes a time: the median, nearer to the usual the longer the replica has been
// idle, but no less than the age of the oldest one that runs.
func (r *replica) expected(now time.Time, usual time.Duration) time.Duration {
	if len(r.active) > 0 {
		return max(r.Distance, r.latency, now.Sub(r.active[0].started))
	}
	usual += r.Distance + r.connectTime()
	if r.recent.count == 0 {
		return usual
	}
	idle := now.Sub(r.used).Seconds() / latencyHalfLife.Seconds()
	return max(r.Distance, usual+time.Duration(float64(r.latency-usual)*math.Exp2(-idle)))
}

// handshakeTime is what a searcher takes for a new connection.
const handshakeTime = 6 * time.Millisecond

// connectTime is how much longer a send takes for want of a connection.
func (r *replica) connectTime() time.Duration {
	if r.connected(r.Searcher) {
		return 0
	}
	return r.Distance + handshakeTime
}

func (r *replica) start(w *waiter, now time.Time) {
	w.replica, w.started = r, now
	r.active = append(r.active, w)
}

func (r *replica) finish(w *waiter, now time.Time, result Result) {
	if i := slices.Index(r.active, w); i >= 0 {
		r.active = slices.Delete(r.active, i, i+1)
	}
	r.used = now
	latency := now.Sub(w.started)
	r.observe(now, result, latency, w.sub)
	r.rest(now, latency, w.sub.Class)
}

// rest delays the next sends after one that took a time: the bulk ones after
// any, the urgent ones after urgent ones.
func (r *replica) rest(now time.Time, latency time.Duration, class hysquery.Class) {
	if until := now.Add(r.concurrency.rest(latency, hysquery.ClassBulk)); until.After(r.bulkAt) {
		r.bulkAt = until
	}
	if class != hysquery.ClassUrgent {
		return
	}
	if until := now.Add(r.concurrency.rest(latency, hysquery.ClassUrgent)); until.After(r.retryAt) {
		r.retryAt = until
	}
}

func (r *replica) observe(now time.Time, result Result, latency time.Duration, sub SubRequest) {
	r.restraint.note(now, result)
	if r.restraint.leaving {
		r.fire(triggerDraining)
	}
	if result.Fault != FaultCancelled {
		r.reliability.record(now, result.Fault.countsAgainst())
	}
	switch result.Fault {
	case FaultNone, FaultVersionGone, FaultEpochGone, FaultRejected, FaultFailed:
		r.fire(triggerAnswered)
		r.backoff, r.pause = 0, 0
		r.answered(now, latency, sub)
		r.recordLatency(latency)
	case FaultRefused, FaultLost, FaultMisdirected, FaultStalled:
		r.fire(triggerFailed)
		r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
		r.retryAt = now.Add(r.backoff)
	case FaultShed:
		r.shed(sub)
		r.pause = min(max(r.pause*2, minShedPause), maxShedPause)
		r.retryAt = now.Add(r.pause)
	case FaultCancelled:
		// The latency of a cancelled send is a lower bound.
		if latency > r.latency {
			r.recordLatency(latency)
		}
		if r.concurrency.congested(latency, sub.Goal) {
			r.concurrency.cut(sub.Class)
		}
	case FaultDraining:
		// The restraint holds.
	case FaultSilent:
		// Its share of faults rises, but other connections may work: no backoff.
	}
}

// answered adjusts the concurrency. A bulk request in time tells nothing of
// whether the urgent ones beside it are.
func (r *replica) answered(now time.Time, latency time.Duration, sub SubRequest) {
	if sub.Class == hysquery.ClassUrgent {
		r.urgentAt = now
	}
	r.concurrency.record(latency, sub.Class)
	switch {
	case r.concurrency.congested(latency, sub.Goal):
		r.concurrency.cut(sub.Class)
	case sub.Goal == 0 || sub.Class == hysquery.ClassUrgent || now.Sub(r.urgentAt) > urgentSpan:
		r.concurrency.grow(sub.Goal)
	}
}

// shed notes a refusal: another dispatcher may hold the slots.
func (r *replica) shed(sub SubRequest) {
	if sub.Goal > 0 {
		r.concurrency.cut(sub.Class)
		return
	}
	r.concurrency.limit = max(min(r.concurrency.limit, float64(len(r.active))), 1)
	r.concurrency.bulk = r.concurrency.limit
}

func (r *replica) recordLatency(latency time.Duration) {
	r.recent.add(latency)
	r.latency = r.recent.value()
}
