package hysdispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"hyssopshore/core/hysmember"
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

// latencyHalfLife is the time in which an idle replica's remembered latency
// falls by half, so that one that was slow is tried again.
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
	// limit is how many slots are used now. It starts at one for a cold
	// replica, falls when it sheds load and grows with each answer.
	limit  int
	active []*waiter
	shards []*shard
	recent estimate
	// reliability is kept apart from the backoff, which ends with one answer.
	reliability reliability
	latency     time.Duration
	used        time.Time
	backoff     time.Duration
	pause       time.Duration
	retryAt     time.Time
	jobs        chan job
}

func newReplica(r Replica, slots int) *replica {
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
	return &replica{Replica: r, machine: m, slots: slots, limit: 1, jobs: make(chan job, slots)}
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
	r.limit, r.latency, r.recent, r.reliability = 1, 0, estimate{}, reliability{}
	r.backoff, r.pause, r.retryAt = 0, 0, time.Time{}
}

// free reports whether the replica may get a sub-request now.
func (r *replica) free(now time.Time) bool {
	switch r.state() {
	case stateLeaving:
		return false
	case stateBackoff:
		// One trial at a time until the replica answers.
		return len(r.active) == 0 && !now.Before(r.retryAt)
	default:
		return len(r.active) < r.limit && !now.Before(r.retryAt)
	}
}

// expected returns how long a sub-request is likely to take: the average, less
// the longer the replica has been idle, but no less than the age of the oldest
// one that runs.
func (r *replica) expected(now time.Time) time.Duration {
	if len(r.active) == 0 {
		idle := now.Sub(r.used).Seconds() / latencyHalfLife.Seconds()
		return max(r.Distance, time.Duration(float64(r.latency)*math.Exp2(-idle)))
	}
	return max(r.Distance, r.latency, now.Sub(r.active[0].started))
}

// score orders free replicas; the lowest is the best.
func (r *replica) score(now time.Time) float64 {
	wait := float64(len(r.active)+1) * (r.expected(now) + time.Millisecond).Seconds()
	return wait + r.reliability.cost(now).Seconds()
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
	r.observe(now, result, now.Sub(w.started))
}

func (r *replica) observe(now time.Time, result Result, latency time.Duration) {
	if result.Draining {
		r.fire(triggerDraining)
	}
	if result.Fault != FaultCancelled {
		r.reliability.record(now, result.Fault.countsAgainst())
	}
	switch result.Fault {
	case FaultNone, FaultVersionGone, FaultEpochGone, FaultRejected, FaultFailed:
		r.fire(triggerAnswered)
		r.backoff, r.pause = 0, 0
		r.limit = min(r.limit+1, r.slots)
		r.recordLatency(latency)
	case FaultRefused, FaultLost, FaultMisdirected, FaultStalled:
		r.fire(triggerFailed)
		r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
		r.retryAt = now.Add(max(r.backoff, min(result.RetryAfter, maxBackoff)))
	case FaultShed:
		// Another dispatcher may hold the slots: use fewer, and pause.
		r.limit = max(min(r.limit, len(r.active)), 1)
		r.pause = min(max(r.pause*2, minShedPause), maxShedPause)
		r.retryAt = now.Add(max(r.pause, min(result.RetryAfter, maxShedPause)))
	case FaultDraining:
		r.fire(triggerDraining)
	case FaultCancelled:
		// The latency of a cancelled send is a lower bound.
		if latency > r.latency {
			r.recordLatency(latency)
		}
	case FaultSilent:
		// The connection failed, not the searcher.
	}
}

func (r *replica) recordLatency(latency time.Duration) {
	r.recent.add(latency)
	r.latency = r.recent.value()
}
