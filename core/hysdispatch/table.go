package hysdispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hyslatency"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysqueue"
)

// Budget of retries and hedges of one service.
const (
	budgetShare = 0.04
	budgetSlack = 20
	// hedgeReserve is the fraction of the budget that hedges leave for retries.
	hedgeReserve = 0.5
)

// latencyWeight is the weight of a new latency in an exponential average.
const latencyWeight = 0.1

// latencySpan is how far back the latencies for the hedge delay reach.
const latencySpan = 2 * time.Second

// table is the shared state of one service.
type table struct {
	mu             sync.Mutex
	now            func() time.Time
	send           Sender
	budget         *hysbudget.Budget
	groupLatencies *groupLatencies
	connected      ConnectedFunc
	reachable      ReachableFunc
	backlog        *backlog
	workers        *workers
	onLimit        LimitFunc
	needPermits    func()
	hasPermits     bool
	instanceCount  func() int
	queueOptions   []hysqueue.Option
	shards         map[shardKey]*shard
	replicas       map[hysmember.SearcherID]*replica
	// hasLimits is set while a replica may have a rate limit, or one to report lifted.
	hasLimits atomic.Bool
	// isLost is set while no searcher of the service is in reach. lost is closed then,
	// and replaced afterwards.
	isLost bool
	lost   chan struct{}
	// pushbacks are kept when their replicas are removed.
	pushbacks pushbacks
}

// shard is the queue and the replicas of one shard in one epoch.
type shard struct {
	key   shardKey
	queue *hysqueue.Queue
	// replicas are ordered by their ids.
	replicas []*replica
	// latency holds the slot times less the distances.
	latency       *hyslatency.Window
	smoothedWaits smoothedWaits
	// meanTime is the average slot time of a sub-request.
	meanTime time.Duration
}

// send is one send of a sub-request, waiting for a slot or running.
type send struct {
	ctx      context.Context
	sub      SubRequest
	excluded []*replica
	replica  *replica
	started  time.Time
	results  chan<- outcome
	// heldBack is set once a replica was passed over because of its rate limit.
	heldBack bool
}

// outcome is the end of one send.
type outcome struct {
	send     *send
	searcher hysmember.SearcherID
	result   Result
}

// job is a send that was assigned to a replica, with its queue item. The searcher is a
// copy, since the replica's own may be replaced meanwhile.
type job struct {
	send     *send
	item     hysqueue.Item
	searcher hysmember.Searcher
}

func newTable(d *Dispatcher, budget *hysbudget.Budget) *table {
	return &table{
		now: d.now, send: d.send, queueOptions: d.queueOptions,
		budget: budget, groupLatencies: d.groupLatencies,
		connected: d.connected, reachable: d.reachable,
		backlog: d.backlog, workers: d.workers,
		onLimit: d.onLimit, needPermits: d.needPermits, hasPermits: d.hasPermits, instanceCount: d.instanceCount,
		shards: make(map[shardKey]*shard), lost: make(chan struct{}),
		replicas: make(map[hysmember.SearcherID]*replica), pushbacks: make(pushbacks),
	}
}

// setReplicas replaces the replicas. Those without Slots of their own get slots.
func (t *table) setReplicas(replicas []Replica, slots int) {
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
			t.pushbacks.markUnlisted(id, t.now())
		}
	}
	t.pushbacks.removeExpired(t.now())
	t.index()
	t.match()
}

// update adds a replica, or applies what has changed of a known one. A replica whose
// address or number of slots has changed is replaced by one without history.
func (t *table) update(updated Replica, slots int) {
	if updated.Slots > 0 {
		slots = updated.Slots
	}
	known, ok := t.replicas[updated.Searcher.ID]
	if ok && (known.Searcher.Address != updated.Searcher.Address || known.slots != slots) {
		ok = false
	}
	if !ok {
		known = newReplica(updated, slots, t.pushbacks.get(updated.Searcher.ID, updated.Incarnation), t.connected, t.reachable, t.instanceCount)
		t.replicas[updated.Searcher.ID] = known
	}
	if updated.Incarnation > known.Incarnation {
		known.restart()
		known.pushback = t.pushbacks.get(updated.Searcher.ID, updated.Incarnation)
	}
	known.Replica = updated
	if known.pushback.limit.Limit().Limited {
		t.hasLimits.Store(true)
	}
	if updated.Searcher.Leaving || known.pushback.leaving {
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
			key: key, queue: hysqueue.New(t.queueOptions...),
			latency: hyslatency.NewWindow(latencySpan), smoothedWaits: make(smoothedWaits),
		}
		t.shards[key] = s
	}
	return s
}

// match assigns the waiting sub-requests of all shards to free slots.
func (t *table) match() {
	for _, s := range t.shards {
		t.matchShard(s)
	}
}

// rematch does the same as match, but acquires the lock itself, and reports whether
// sub-requests are still waiting instead of adding the service to the backlog.
func (t *table) rematch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := false
	for _, s := range t.shards {
		waiting = t.assign(s) || waiting
	}
	return waiting
}

// matchShard assigns the waiting sub-requests of a shard to free slots. If some remain,
// it adds the service to the backlog; they wait for another send or a backoff to end.
func (t *table) matchShard(s *shard) {
	if t.assign(s) {
		t.backlog.add(t)
		if s.limited() {
			t.needPermits()
		}
	}
}

// assign assigns the waiting sub-requests of a shard to free slots, and reports
// whether some are still waiting.
func (t *table) assign(s *shard) bool {
	if s.queue.Len() == 0 {
		return false
	}
	now := t.now()
	s.queue.DemoteLate(now)
	for s.queue.Len() > 0 && t.matchOne(s, now) {
	}
	return s.queue.Len() > 0
}

// matchOne assigns the next sub-request to the best free replica that accepts it, and
// returns false if there is none.
func (t *table) matchOne(s *shard, now time.Time) bool {
	var refused []*replica
	for {
		c := s.choose(now, refused)
		r := c.best
		if r == nil {
			return false
		}
		item, ok := s.queue.Pop(func(i hysqueue.Item) bool {
			return r.accepts(i.Class, now) && !slices.Contains(i.Value.(*send).excluded, r)
		})
		if ok {
			t.holdBack(c.heldBack, item)
			t.start(r, item)
			return true
		}
		refused = append(refused, r)
	}
}

// startIfQueueEmpty starts a sub-request directly if nothing else is waiting at its
// shard and a replica accepts it. The queue would assign it to the same replica, and
// has no fairness state to update while it is empty.
func (t *table) startIfQueueEmpty(s *shard, item hysqueue.Item) bool {
	if s.queue.Len() > 0 {
		return false
	}
	now := t.now()
	c := s.choose(now, item.Value.(*send).excluded)
	t.holdBack(c.heldBack, item)
	r := c.best
	if r == nil || !r.accepts(item.Class, now) {
		return false
	}
	t.start(r, item)
	return true
}

func (t *table) start(r *replica, item hysqueue.Item) {
	next := item.Value.(*send)
	now := t.now()
	t.takePermit(r, now, next.sub.Class)
	r.start(next, now)
	j := job{send: next, item: item, searcher: r.Searcher}
	t.workers.run(func() { t.run(r, j) })
}

func (t *table) run(r *replica, j job) {
	result := Result{Fault: FaultCancelled, NotRun: true}
	if j.send.ctx.Err() == nil {
		result = markStalled(j.send.ctx, t.send(j.send.ctx, j.searcher, j.send.sub))
	}
	t.finish(r, j, result)
	j.send.results <- outcome{send: j.send, searcher: j.searcher.ID, result: result}
}

// finish records the result of a send, and matches the shards of its replica, which
// has a free slot again.
func (t *table) finish(r *replica, j job, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	used := now.Sub(j.send.started)
	r.finish(j.send, now, result)
	t.recordLimit(r, j.send, now, result)
	s := t.shard(shardKey{epoch: j.send.sub.Epoch, shard: j.send.sub.Shard})
	s.queue.Charge(j.item, used-j.item.Cost)
	if result.measuresLatency() {
		s.observe(now, used, r.Distance)
		t.groupLatencies.record(now, j.send.sub.Group, used-r.Distance)
	}
	for _, held := range r.shards {
		t.matchShard(held)
	}
}

// measuresLatency reports whether the slot time of a send is recorded as a latency.
// That of a cancelled send is a lower bound; without it the quantiles would be too
// low.
func (r Result) measuresLatency() bool {
	return r.Fault == FaultNone || r.Fault == FaultCancelled && !r.NotRun
}

// observe records the slot time of a send to a replica at a distance.
func (s *shard) observe(now time.Time, used, distance time.Duration) {
	s.latency.Record(now, used-distance)
	if s.meanTime == 0 {
		s.meanTime = used
		return
	}
	s.meanTime += time.Duration(latencyWeight * float64(used-s.meanTime))
}
