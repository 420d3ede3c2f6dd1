package hysdispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hyslatency"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysqueue"
)

// Budget of retries and hedges of one service.
const (
	budgetShare = 0.04
	budgetLimit = 20
	// hedgeReserve is the part of the limit that hedges leave for retries.
	hedgeReserve = 0.5
)

// latencyWeight is the weight of a new latency in a shard's average.
const latencyWeight = 0.1

// latencySpan is how far back the hedging quantile looks.
const latencySpan = 2 * time.Second

// table is the shared state of one service.
type table struct {
	mu        sync.Mutex
	now       func() time.Time
	send      Sender
	budget    *hysbudget.Budget
	pooled    *pooled
	connected ConnectedFunc
	backlog   *backlog
	workers   *workers
	queue     []hysqueue.Option
	shards    map[shardKey]*shard
	replicas  map[hysmember.SearcherID]*replica
	// restraints outlive the replicas.
	restraints restraints
}

type shard struct {
	key   shardKey
	queue *hysqueue.Queue
	// replicas are in the order of their ids.
	replicas []*replica
	// latency holds the slot times without the distances.
	latency  *hyslatency.Window
	pressure pressures
	// mean is the average slot time of a sub-request.
	mean time.Duration
}

// waiter is one send of a sub-request that waits for a slot or runs.
type waiter struct {
	ctx      context.Context
	sub      SubRequest
	excluded []*replica
	replica  *replica
	started  time.Time
	results  chan<- outcome
}

// outcome is the end of one send.
type outcome struct {
	waiter   *waiter
	searcher hysmember.SearcherID
	result   Result
}

// job holds a copy of the searcher, which may be replaced while it runs.
type job struct {
	waiter   *waiter
	item     hysqueue.Item
	searcher hysmember.Searcher
}

func newTable(d *Dispatcher, budget *hysbudget.Budget) *table {
	return &table{
		now: d.now, send: d.send, queue: d.queue, budget: budget, pooled: d.pooled, connected: d.connected, backlog: d.backlog, workers: d.workers,
		shards:   make(map[shardKey]*shard),
		replicas: make(map[hysmember.SearcherID]*replica), restraints: make(restraints),
	}
}

// set replaces the replicas.
func (t *table) set(replicas []Replica, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[hysmember.SearcherID]bool, len(replicas))
	for _, r := range replicas {
		listed[r.Searcher.ID] = true
		t.update(r, slots)
	}
	for id := range t.replicas {
		if !listed[id] {
			delete(t.replicas, id)
			t.restraints.drop(id, t.now())
		}
	}
	t.restraints.forget(t.now())
	t.index()
	t.match()
}

func (t *table) update(updated Replica, slots int) {
	if updated.Slots > 0 {
		slots = updated.Slots
	}
	known, ok := t.replicas[updated.Searcher.ID]
	if ok && (known.Searcher.Address != updated.Searcher.Address || known.slots != slots) {
		ok = false
	}
	if !ok {
		known = newReplica(updated, slots, t.restraints.of(updated.Searcher.ID, updated.Incarnation), t.connected)
		t.replicas[updated.Searcher.ID] = known
	}
	if updated.Incarnation > known.Incarnation {
		known.restart()
		known.restraint = t.restraints.of(updated.Searcher.ID, updated.Incarnation)
	}
	known.Replica = updated
	if updated.Searcher.Leaving || known.restraint.leaving {
		known.fire(triggerDraining)
	}
}

// index rebuilds the replicas of each shard and the shards of each replica.
func (t *table) index() {
	for _, s := range t.shards {
		s.replicas = nil
	}
	for _, r := range t.replicas {
		r.shards = nil
		for _, h := range r.Holdings {
			s := t.shard(shardKey{epoch: h.Epoch, shard: h.Shard})
			s.replicas = append(s.replicas, r)
			r.shards = append(r.shards, s)
		}
	}
	for key, s := range t.shards {
		slices.SortFunc(s.replicas, func(a, b *replica) int {
			return cmp.Compare(a.Searcher.ID, b.Searcher.ID)
		})
		if len(s.replicas) == 0 && s.queue.Len() == 0 {
			delete(t.shards, key)
		}
	}
}

func (t *table) shard(key shardKey) *shard {
	s, ok := t.shards[key]
	if !ok {
		s = &shard{
			key: key, queue: hysqueue.New(t.queue...),
			latency: hyslatency.NewWindow(latencySpan), pressure: make(pressures),
		}
		t.shards[key] = s
	}
	return s
}

// match gives the waiting sub-requests of all shards to free slots.
func (t *table) match() {
	for _, s := range t.shards {
		t.matchShard(s)
	}
}

// rematch does so for what has waited, and reports whether some still does.
func (t *table) rematch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := false
	for _, s := range t.shards {
		left = t.give(s) || left
	}
	return left
}

// matchShard gives the waiting sub-requests of a shard to free slots. What is left
// waits for the end of another one, or of a replica's rest.
func (t *table) matchShard(s *shard) {
	if t.give(s) {
		t.backlog.add(t)
	}
}

// give gives the waiting sub-requests of a shard to free slots, and reports whether
// some are left.
func (t *table) give(s *shard) bool {
	if s.queue.Len() == 0 {
		return false
	}
	now := t.now()
	s.queue.DemoteLate(now)
	for s.queue.Len() > 0 && t.matchOne(s, now) {
	}
	return s.queue.Len() > 0
}

// matchOne gives the next sub-request to the best free replica that takes it.
func (t *table) matchOne(s *shard, now time.Time) bool {
	var refused []*replica
	for {
		r := s.best(now, refused)
		if r == nil {
			return false
		}
		item, ok := s.queue.Pop(func(i hysqueue.Item) bool {
			return r.takes(i.Class, now) && !slices.Contains(i.Value.(*waiter).excluded, r)
		})
		if ok {
			t.start(r, item)
			return true
		}
		refused = append(refused, r)
	}
}

// startAtOnce starts a sub-request for which nothing else waits at its shard, if a
// replica takes it. The queue would give it the same replica, and owes nobody anything
// while it is empty.
func (t *table) startAtOnce(s *shard, item hysqueue.Item) bool {
	if s.queue.Len() > 0 {
		return false
	}
	now := t.now()
	r := s.best(now, item.Value.(*waiter).excluded)
	if r == nil || !r.takes(item.Class, now) {
		return false
	}
	t.start(r, item)
	return true
}

func (t *table) start(r *replica, item hysqueue.Item) {
	w := item.Value.(*waiter)
	r.start(w, t.now())
	j := job{waiter: w, item: item, searcher: r.Searcher}
	t.workers.run(func() { t.run(r, j) })
}

func (t *table) run(r *replica, j job) {
	result := Result{Fault: FaultCancelled, NotRun: true}
	if j.waiter.ctx.Err() == nil {
		result = stalled(j.waiter.ctx, t.send(j.waiter.ctx, j.searcher, j.waiter.sub))
	}
	t.finish(r, j, result)
	j.waiter.results <- outcome{waiter: j.waiter, searcher: j.searcher.ID, result: result}
}

func (t *table) finish(r *replica, j job, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	used := now.Sub(j.waiter.started)
	r.finish(j.waiter, now, result)
	s := t.shard(shardKey{epoch: j.waiter.sub.Epoch, shard: j.waiter.sub.Shard})
	s.queue.Charge(j.item, used-j.item.Cost)
	if result.tellsLatency() {
		s.observe(now, used, r.Distance)
		t.pooled.record(now, j.waiter.sub.Group, used-r.Distance)
	}
	for _, held := range r.shards {
		t.matchShard(held)
	}
}

// tellsLatency reports whether the slot time of a send tells that of others.
// That of a cancelled one is a lower bound, without which the quantiles would be
// too low.
func (r Result) tellsLatency() bool {
	return r.Fault == FaultNone || r.Fault == FaultCancelled && !r.NotRun
}

// observe records the slot time of a send to a replica at a distance.
func (s *shard) observe(now time.Time, used, distance time.Duration) {
	s.latency.Record(now, used-distance)
	if s.mean == 0 {
		s.mean = used
		return
	}
	s.mean += time.Duration(latencyWeight * float64(used-s.mean))
}
