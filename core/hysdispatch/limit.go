package hysdispatch

import (
	"maps"
	"slices"
	"time"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
	"hyssopshore/core/hysservice"
)

// LimitEvent is a change of the known rate limit of a searcher, or a statement about
// it that can't be used.
type LimitEvent struct {
	Searcher hysmember.SearcherID
	Service  hysservice.Name
	Change   hyslimit.Change
	Limit    hyslimit.Limit
	// Sends and HeldBack are those of this instance under the limit that was in
	// force before.
	Sends    int64
	HeldBack int64
	// RequestID is the request whose response has shown it.
	RequestID hysquery.RequestID
	// Problem says why a statement can't be used; empty if it can.
	Problem string
}

// LimitFunc is called with each change of a searcher's rate limit.
type LimitFunc func(LimitEvent)

// recordLimit applies what a result states about the rate limit of its searcher.
func (t *table) recordLimit(r *replica, sent *send, now time.Time, result Result) {
	meter := r.pushback.limit
	sends, heldBack := meter.Sends(), meter.HeldBack()
	change := meter.Record(now, sent.started, result.Limit)
	if change == hyslimit.ChangeLearned {
		t.hasLimits.Store(true)
		if !t.hasPermits {
			r.limitMeter(now).Fail(now)
		}
	}
	if result.Limit.Kind == hyslimit.StatementInvalid && meter.Pending(0) {
		// Others may know the limit.
		t.hasLimits.Store(true)
		t.needPermits()
	}
	if change == hyslimit.ChangeNone && result.Limit.Problem == "" {
		return
	}
	t.onLimit(LimitEvent{
		Searcher: r.Searcher.ID, Service: r.Searcher.Service, Change: change, Limit: meter.Limit(),
		Sends: sends, HeldBack: heldBack, RequestID: sent.sub.RequestID, Problem: result.Limit.Problem,
	})
}

// LimitedSearcher is the state of a searcher that has a rate limit.
type LimitedSearcher struct {
	Searcher hysmember.SearcherID
	// Rate is the limit over all instances.
	Rate hyslimit.Rate
	// Part is what this instance could have of it now.
	Part hyslimit.Rate
	// Sends is how many sends this instance has made since the limit was learned,
	// HeldBack how many it has not made, or has made elsewhere, because of it.
	Sends    int64
	HeldBack int64
}

// LimitedSearchers is a list of searchers that have rate limits.
type LimitedSearchers []LimitedSearcher

// LimitedSearchers returns the listed searchers of all services that have rate limits.
func (d *Dispatcher) LimitedSearchers() LimitedSearchers {
	var all LimitedSearchers
	for _, t := range d.allTables() {
		all = append(all, t.limitedSearchers()...)
	}
	return all
}

func (t *table) limitedSearchers() LimitedSearchers {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limited LimitedSearchers
	for _, r := range t.replicas {
		meter := r.pushback.limit
		if l := meter.Limit(); l.Limited {
			limited = append(limited, LimitedSearcher{Searcher: r.Searcher.ID, Rate: l.Rate, Part: meter.Part(), Sends: meter.Sends(), HeldBack: meter.HeldBack()})
		}
	}
	return limited
}

// allTables returns the tables of all services.
func (d *Dispatcher) allTables() []*table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.tables))
}

// reasonRateLimit is the reason of what was not run because of rate limits.
const reasonRateLimit = "the searchers' rate limits leave no room"

// limitMeter returns the meter of the replica's rate limit.
func (r *replica) limitMeter(now time.Time) *hyslimit.Meter {
	meter := r.pushback.limit
	if meter.Limit().Limited {
		meter.SetInstances(now, r.instanceCount())
	}
	return meter
}

// limited reports whether the searchers of the shard that are not leaving all have
// rate limits.
func (s *shard) limited() bool {
	limited := false
	for _, r := range s.replicas {
		if r.state() == stateLeaving {
			continue
		}
		if !r.pushback.limit.Limit().Limited {
			return false
		}
		limited = true
	}
	return limited
}

// reason returns why the shard refuses a sub-request: because of the rate limits, if
// all of its searchers have one, or otherwise for another reason.
func (s *shard) reason(other string) string {
	if s.limited() {
		return reasonRateLimit
	}
	return other
}

// waitReason returns why a sub-request that was never sent has waited until its end.
func (c *call) waitReason() string {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shard(c.key()).reason("no searcher was free in time")
}

// usableSlots returns how many slots of a replica this instance can keep busy. With a
// rate limit that depends on how long a sub-request takes.
func (s *shard) usableSlots(now time.Time, r *replica) float64 {
	meter := r.limitMeter(now)
	if !meter.Limit().Limited {
		return r.concurrency.limit
	}
	return min(r.concurrency.limit, float64(meter.Part())*s.typicalTime().Seconds())
}

// takePermit counts a send to a replica against its rate limit.
func (t *table) takePermit(r *replica, now time.Time, class hysquery.Class) {
	meter := r.limitMeter(now)
	meter.Take(now, class == hysquery.ClassUrgent)
	if meter.Limit().Limited {
		t.needPermits()
	}
}

// holdBack counts that the next send of an item would have gone to a replica, nil for
// none, if its rate limit had allowed it.
func (t *table) holdBack(r *replica, item hysqueue.Item) {
	waiting := item.Value.(*send)
	if r == nil || waiting.heldBack {
		return
	}
	waiting.heldBack = true
	r.pushback.limit.HoldBack()
	t.needPermits()
}

// holdBackRefused counts that a refused sub-request would have been sent to a searcher
// of the shard if the rate limits had allowed it.
func (t *table) holdBackRefused(s *shard, now time.Time) {
	isLimited := func(r *replica) bool { return r.pushback.limit.Limit().Limited }
	if !slices.ContainsFunc(s.replicas, isLimited) {
		return
	}
	if c := s.choose(now, nil); c.heldBack != nil {
		c.heldBack.pushback.limit.HoldBack()
		t.needPermits()
	}
}

// holdBackQuery does the same for all sub-requests of a refused query.
func (d *Dispatcher) holdBackQuery(subs []SubRequest, now time.Time) {
	for i := range subs {
		t := d.table(subs[i].Service)
		t.mu.Lock()
		if s, ok := t.shards[shardKey{epoch: subs[i].Epoch, shard: subs[i].Shard}]; ok {
			t.holdBackRefused(s, now)
		}
		t.mu.Unlock()
	}
}

// LimitAsk is an ask for permits of a searcher.
type LimitAsk struct {
	hyslimit.Ask
	Service hysservice.Name
	Region  hysmember.Region
}

// LimitAsks is a list of asks.
type LimitAsks []LimitAsk

// LimitAsks returns the asks for permits that are to be sent now, and whether others
// will be due soon. The asks count as sent.
func (d *Dispatcher) LimitAsks() (due LimitAsks, pending bool) {
	for _, t := range d.allTables() {
		if !t.hasLimits.Load() {
			continue
		}
		asks, more := t.limitAsks()
		due, pending = append(due, asks...), pending || more
	}
	return due, pending
}

func (t *table) limitAsks() (due LimitAsks, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, limited := t.now(), false
	defer func() { t.hasLimits.Store(limited) }()
	for _, r := range t.replicas {
		meter, waiting := r.limitMeter(now), r.waiting()
		ask, ok := meter.Ask(now, waiting)
		limited = limited || meter.Limit().Limited || meter.Pending(waiting)
		if !ok {
			pending = pending || meter.Pending(waiting)
			continue
		}
		ask.Searcher, ask.Incarnation = r.Searcher.ID, r.pushback.incarnation
		due = append(due, LimitAsk{Ask: ask, Service: r.Searcher.Service, Region: r.Searcher.Region})
	}
	return due, pending
}

// waiting returns the number of sub-requests that wait for the replica or others of
// its shards.
func (r *replica) waiting() int {
	waiting := 0
	for _, s := range r.shards {
		waiting += s.queue.Len()
	}
	return waiting
}

// ApplyGrant applies the reply to an ask that was sent at a time. Without a reply, ok is
// false.
func (d *Dispatcher) ApplyGrant(ask LimitAsk, askedAt time.Time, g hyslimit.Grant, ok bool) {
	t := d.table(ask.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	r, listed := t.replicas[ask.Searcher]
	if !listed || r.pushback.incarnation != ask.Incarnation {
		return
	}
	t.applyGrant(r, askedAt, g, ok)
	for _, held := range r.shards {
		t.matchShard(held)
	}
}

func (t *table) applyGrant(r *replica, askedAt time.Time, g hyslimit.Grant, ok bool) {
	now, meter := t.now(), r.limitMeter(t.now())
	if !ok {
		meter.Fail(now)
		return
	}
	if change := meter.Apply(now, askedAt, g); change != hyslimit.ChangeNone {
		t.hasLimits.Store(true)
		t.onLimit(LimitEvent{
			Searcher: r.Searcher.ID, Service: r.Searcher.Service, Change: change, Limit: meter.Limit(),
			Sends: meter.Sends(), HeldBack: meter.HeldBack(),
		})
	}
}
