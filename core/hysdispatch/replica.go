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

// Backoff of a replica that sheds load.
const (
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 500 * time.Millisecond
)

// urgentRecency is how long after an urgent answer the answers to bulk requests don't
// raise the concurrency limit.
const urgentRecency = time.Second

// latencyHalfLife is the time in which an idle replica's latency moves half way back
// to the typical one, so that a replica that was slow is tried again.
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
	// Distance is the shortest time that a sub-request to the searcher can take.
	Distance time.Duration
	// Slots is how many sub-requests the searcher may run at the same time; 0 stands
	// for the number given for the service.
	Slots int
}

// replica is the state of a searcher at this dispatcher.
type replica struct {
	Replica
	machine *stateless.StateMachine
	slots   int
	// concurrency starts at one send for a replica without history.
	concurrency     concurrency
	active          []*send
	shards          []*shard
	recentLatencies estimate
	// reliability is separate from the backoff, which ends with the first answer.
	reliability reliability
	// pushback is what the searcher has asked of this instance.
	pushback    *pushback
	latency     time.Duration
	lastUsed    time.Time
	backoff     time.Duration
	shedBackoff time.Duration
	retryAt     time.Time
	// bulkRetryAt is when bulk sub-requests may be sent again, urgentAnsweredAt when
	// an urgent one was last answered.
	bulkRetryAt      time.Time
	urgentAnsweredAt time.Time
	// connected reports whether a send need not wait for a connection.
	connected ConnectedFunc
	// reachable reports whether the searcher is not known to be out of reach.
	reachable ReachableFunc
	// instanceCount is the number of instances that share the searcher's rate limit.
	instanceCount func() int
}

func newReplica(r Replica, slots int, known *pushback, connected ConnectedFunc, reachable ReachableFunc, instanceCount func() int) *replica {
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
		connected: connected, reachable: reachable, pushback: known, instanceCount: instanceCount,
	}
}

func (r *replica) fire(trigger string) {
	// Every state handles every trigger, so that firing can't fail.
	_ = r.machine.FireCtx(context.Background(), trigger)
}

func (r *replica) state() string {
	return r.machine.MustState().(string)
}

// restart resets the replica to the state of a searcher without history.
func (r *replica) restart() {
	r.fire(triggerRestarted)
	r.concurrency = newConcurrency(r.slots)
	r.latency, r.recentLatencies, r.reliability = 0, estimate{}, reliability{}
	r.backoff, r.shedBackoff, r.retryAt = 0, 0, time.Time{}
}

// availableAt is when the replica may next be sent to, a time in the past if it may
// be sent to now. It returns false for a replica that is leaving.
func (r *replica) availableAt(now time.Time) (time.Time, bool) {
	at := later(r.pushback.backoffUntil, r.limitMeter(now).NextAt(now))
	if !r.reachable(r.Searcher.ID) {
		at = later(at, now.Add(unreachableRetryAfter))
	}
	switch r.state() {
	case stateServing:
		return at, true
	case stateBackoff:
		return later(r.retryAt, at), true
	default:
		return time.Time{}, false
	}
}

// availableBy reports whether the replica may be sent to at a time t.
func (r *replica) availableBy(now, t time.Time) bool {
	at, ok := r.availableAt(now)
	return ok && !at.After(t)
}

// serving reports whether the replica is serving and has not asked for a pause.
func (r *replica) serving(now time.Time) bool {
	return r.state() == stateServing && !now.Before(r.pushback.backoffUntil) && r.reachable(r.Searcher.ID)
}

// available reports whether the replica is serving, has not asked for a pause, and may
// be sent to now within its rate limit.
func (r *replica) available(now time.Time) bool {
	return r.serving(now) && r.limitMeter(now).Ready(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// free reports whether the replica may get a sub-request now, apart from its rate
// limit.
func (r *replica) free(now time.Time) bool {
	if now.Before(r.pushback.backoffUntil) || !r.reachable(r.Searcher.ID) {
		return false
	}
	switch r.state() {
	case stateLeaving:
		return false
	case stateBackoff:
		// Only one send at a time until the replica answers.
		return len(r.active) == 0 && !now.Before(r.retryAt)
	default:
		return r.hasFreeSlot() && !now.Before(r.retryAt)
	}
}

// hasFreeSlot reports whether one more send may be in flight. At a congested replica,
// an urgent send need not wait for a bulk one to end.
func (r *replica) hasFreeSlot() bool {
	if len(r.active) < r.concurrency.maxSends() {
		return true
	}
	urgent := slices.ContainsFunc(r.active, func(send *send) bool { return send.sub.Class == hysquery.ClassUrgent })
	return r.concurrency.bulkBelowOne() && !urgent && len(r.active) < r.slots
}

// accepts reports whether a free replica may get a sub-request of a class. After any
// send, bulk sub-requests wait for the spacing; urgent ones wait only after urgent
// ones.
func (r *replica) accepts(class hysquery.Class, now time.Time) bool {
	if class == hysquery.ClassUrgent {
		return true
	}
	return len(r.active) < r.concurrency.maxBulkSends() && !now.Before(r.bulkRetryAt) && r.limitMeter(now).ReadyForBulk(now)
}

// estimateTime returns the expected duration of a sub-request, where typical is the
// average of the shard. It is the median of the replica, which moves towards the
// typical time while the replica is idle. If sends are running it is at least the age
// of the oldest one.
func (r *replica) estimateTime(now time.Time, typical time.Duration) time.Duration {
	if len(r.active) > 0 {
		return max(r.Distance, r.latency, now.Sub(r.active[0].started))
	}
	typical += r.Distance + r.connectTime()
	if r.recentLatencies.count == 0 {
		return typical
	}
	idle := now.Sub(r.lastUsed).Seconds() / latencyHalfLife.Seconds()
	return max(r.Distance, typical+time.Duration(float64(r.latency-typical)*math.Exp2(-idle)))
}

// handshakeTime is how long a searcher takes for a new connection.
const handshakeTime = 6 * time.Millisecond

// connectTime is the additional duration of a send that has to open a connection.
func (r *replica) connectTime() time.Duration {
	if r.connected(r.Searcher) {
		return 0
	}
	return r.Distance + handshakeTime
}

func (r *replica) start(send *send, now time.Time) {
	send.replica, send.started = r, now
	r.active = append(r.active, send)
}

func (r *replica) finish(send *send, now time.Time, result Result) {
	if i := slices.Index(r.active, send); i >= 0 {
		r.active = slices.Delete(r.active, i, i+1)
	}
	r.lastUsed = now
	latency := now.Sub(send.started)
	r.observe(now, result, latency, send.sub)
	r.delaySends(now, latency, send.sub.Class)
}

// delaySends delays the next sends after one with a latency: the bulk ones after any
// send, the urgent ones after urgent ones.
func (r *replica) delaySends(now time.Time, latency time.Duration, class hysquery.Class) {
	if until := now.Add(r.concurrency.spacing(latency, hysquery.ClassBulk)); until.After(r.bulkRetryAt) {
		r.bulkRetryAt = until
	}
	if class != hysquery.ClassUrgent {
		return
	}
	if until := now.Add(r.concurrency.spacing(latency, hysquery.ClassUrgent)); until.After(r.retryAt) {
		r.retryAt = until
	}
}

// observe applies the result of a send to the state of the replica.
func (r *replica) observe(now time.Time, result Result, latency time.Duration, sub SubRequest) {
	r.pushback.record(now, result)
	if r.pushback.leaving {
		r.fire(triggerDraining)
	}
	if result.Fault != FaultCancelled {
		r.reliability.record(now, result.Fault.isSearcherFault())
	}
	switch result.Fault {
	case FaultNone, FaultVersionGone, FaultEpochGone, FaultRejected, FaultFailed:
		r.fire(triggerAnswered)
		r.backoff, r.shedBackoff = 0, 0
		r.recordAnswer(now, latency, sub)
		r.recordLatency(latency)
	case FaultRefused, FaultLost, FaultMisdirected, FaultStalled:
		r.fire(triggerFailed)
		r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
		r.retryAt = now.Add(r.backoff)
	case FaultShed:
		r.recordShed(sub)
		r.shedBackoff = min(max(r.shedBackoff*2, minShedBackoff), maxShedBackoff)
		r.retryAt = now.Add(r.shedBackoff)
	case FaultCancelled:
		// The latency of a cancelled send is a lower bound.
		if latency > r.latency {
			r.recordLatency(latency)
		}
		if r.concurrency.congested(latency, sub.Goal) {
			r.concurrency.cut(sub.Class)
		}
	case FaultDraining:
		// The pushback has recorded it.
	case FaultSilent:
		// The share of faults rises, but there is no backoff, since other connections
		// may work.
	}
}

// recordAnswer adjusts the concurrency. A bulk request in time doesn't show whether
// concurrent urgent ones are in time.
func (r *replica) recordAnswer(now time.Time, latency time.Duration, sub SubRequest) {
	if sub.Class == hysquery.ClassUrgent {
		r.urgentAnsweredAt = now
	}
	r.concurrency.record(latency, sub.Class)
	switch {
	case r.concurrency.congested(latency, sub.Goal):
		r.concurrency.cut(sub.Class)
	case sub.Goal == 0 || sub.Class == hysquery.ClassUrgent || now.Sub(r.urgentAnsweredAt) > urgentRecency:
		r.concurrency.grow(sub.Goal)
	}
}

// recordShed lowers the concurrency after a shed send; another dispatcher may occupy
// the slots.
func (r *replica) recordShed(sub SubRequest) {
	if sub.Goal > 0 {
		r.concurrency.cut(sub.Class)
		return
	}
	r.concurrency.limit = max(min(r.concurrency.limit, float64(len(r.active))), 1)
	r.concurrency.bulk = r.concurrency.limit
}

func (r *replica) recordLatency(latency time.Duration) {
	r.recentLatencies.add(latency)
	r.latency = r.recentLatencies.value()
}
