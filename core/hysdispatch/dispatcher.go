package hysdispatch

import (
	"context"
	"sync"
	"time"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
	"hyssopshore/core/hysservice"
)

// maxRuns is how many searchers may run one sub-request.
const maxRuns = 3

// maxNotRun is how many sends one sub-request may have beyond maxRuns, in place of
// those that searchers refused to run.
const maxNotRun = 2

// unavailableRetryAfter is when to retry at a shard without a searcher.
const unavailableRetryAfter = time.Second

// minRetryAfter is the shortest time after which a refused sub-request may be sent
// again.
const minRetryAfter = 10 * time.Millisecond

// matchInterval is how often waiting sub-requests are matched with replicas whose
// backoff has ended, while any are waiting.
const matchInterval = 10 * time.Millisecond

// Dispatcher runs sub-requests on searchers. It is safe for concurrent use.
type Dispatcher struct {
	mu             sync.Mutex
	now            func() time.Time
	send           Sender
	queueOptions   []hysqueue.Option
	hedging        bool
	admit          bool
	hedge          HedgePolicy
	linger         time.Duration
	budget         BudgetFunc
	groupLatencies *groupLatencies
	// connected reports whether there is a connection to a searcher, so that a send
	// need not wait for a handshake.
	connected ConnectedFunc
	// reachable reports whether a searcher is not known to be out of reach.
	reachable ReachableFunc
	tables    map[hysservice.Name]*table
	backlog   *backlog
	workers   *workers
	stop      *stopSignal
	// onLimit is called when the known rate limit of a searcher has changed.
	onLimit LimitFunc
	// needPermits is called when a send needs a permit of a rate limit; hasPermits is
	// set if somebody hands them out.
	needPermits func()
	hasPermits  bool
	// instanceCount is the number of instances that share the rate limits; 0 if it is
	// not known.
	instanceCount func() int
}

// BudgetFunc returns the budget of the extra sends of a service.
type BudgetFunc func(hysservice.Name) *hysbudget.Budget

// ConnectedFunc reports whether there is a connection to a searcher.
type ConnectedFunc func(hysmember.Searcher) bool

// HedgePolicy configures when a sub-request is hedged.
type HedgePolicy struct {
	// Percentile is the percentile, from 0 to 100, of a shard's recent latencies
	// that is used as the hedge delay.
	Percentile float64
	// DefaultDelay is the hedge delay while there are too few latencies.
	DefaultDelay time.Duration
	// RetryReserve is the fraction of the budget's limit that hedges leave for
	// retries.
	RetryReserve float64
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(d *Dispatcher) { d.now = now }
}

// WithoutHedging disables hedging; it is a baseline for measurements.
func WithoutHedging() Option {
	return func(d *Dispatcher) { d.hedging = false }
}

// WithoutAdmission queues what can't meet its deadline instead of refusing it; it is
// a baseline for measurements.
func WithoutAdmission() Option {
	return func(d *Dispatcher) { d.admit = false }
}

// WithHedging replaces the default hedge policy.
func WithHedging(p HedgePolicy) Option {
	return func(d *Dispatcher) { d.hedge = p }
}

// WithBudget replaces the default budgets of the extra sends.
func WithBudget(budget BudgetFunc) Option {
	return func(d *Dispatcher) { d.budget = budget }
}

// WithConnections sets how the dispatcher finds out whether there is a connection to
// a searcher. Among equally distant searchers it prefers connected ones.
func WithConnections(connected ConnectedFunc) Option {
	return func(d *Dispatcher) { d.connected = connected }
}

// WithLimitFunc sets a callback for changes of the searchers' rate limits. It must not
// block and must not call the dispatcher.
func WithLimitFunc(onLimit LimitFunc) Option {
	return func(d *Dispatcher) { d.onLimit = onLimit }
}

// WithPermits sets how permits of rate limits are obtained. need is called when a send
// needs one; it must not block and must not call the dispatcher. instanceCount returns
// the number of instances that share the limits, 0 if it is not known. Without this
// option there are no permits, and the instance uses the own part of a single one.
func WithPermits(need func(), instanceCount func() int) Option {
	return func(d *Dispatcher) { d.needPermits, d.instanceCount, d.hasPermits = need, instanceCount, true }
}

// WithLinger lets a send continue for a time after another send of the same
// sub-request has answered, so that its connection can be reused. The send is
// cancelled immediately if the caller of the sub-request is gone.
func WithLinger(span time.Duration) Option {
	return func(d *Dispatcher) { d.linger = span }
}

// WithQueueOptions sets the options of the shards' queues.
func WithQueueOptions(options ...hysqueue.Option) Option {
	return func(d *Dispatcher) { d.queueOptions = options }
}

// New returns a dispatcher without searchers.
func New(send Sender, options ...Option) *Dispatcher {
	d := &Dispatcher{
		now: time.Now, send: send, hedging: true, admit: true,
		hedge:  HedgePolicy{Percentile: hedgePercent, DefaultDelay: defaultHedgeDelay, RetryReserve: hedgeReserve},
		budget: func(hysservice.Name) *hysbudget.Budget { return hysbudget.New(budgetShare, budgetSlack) },
		tables: make(map[hysservice.Name]*table), groupLatencies: newGroupLatencies(), backlog: newBacklog(), workers: newWorkers(), stop: newStopSignal(),
		connected: func(hysmember.Searcher) bool { return true },
		reachable: func(hysmember.SearcherID) bool { return true },
		onLimit:   func(LimitEvent) {}, needPermits: func() {}, instanceCount: func() int { return 1 },
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// SetReplicas replaces the searchers of a service. Those without Slots of their own
// run at most slots sub-requests at the same time.
func (d *Dispatcher) SetReplicas(service hysservice.Name, replicas []Replica, slots int) {
	d.table(service).setReplicas(replicas, slots)
}

// Run periodically matches waiting sub-requests with replicas whose backoff has
// ended. It returns when the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(matchInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.backlog.nonEmpty:
			ticker.Reset(matchInterval)
		case <-ticker.C:
			if d.matchBacklog() == 0 {
				ticker.Stop()
			}
		}
	}
}

// matchBacklog matches the waiting sub-requests of all services in the backlog, and
// returns in how many services some are still waiting.
func (d *Dispatcher) matchBacklog() int {
	waiting := 0
	for _, t := range d.backlog.drain() {
		if t.rematch() {
			d.backlog.add(t)
			waiting++
		}
	}
	return waiting
}

func (d *Dispatcher) table(service hysservice.Name) *table {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.tables[service]
	if !ok {
		t = newTable(d, d.budget(service))
		d.tables[service] = t
	}
	return t
}

// Submit runs a sub-request and returns its only reply, at the latest at the deadline
// of the sub-request or at the end of the context.
func (d *Dispatcher) Submit(ctx context.Context, sub SubRequest) SubReply {
	ctx, cancel := context.WithDeadline(ctx, sub.Deadline)
	defer cancel()
	t := d.table(sub.Service)
	lost, isLost := t.lostSignal()
	if isLost {
		return UnreachableReply(sub)
	}
	if d.stop.isReached() {
		return stopRefusal(sub, QueueState{})
	}
	c := &call{dispatcher: d, table: t, sub: sub, lost: lost, results: make(chan outcome, sub.confirmedRuns()+maxNotRun)}
	if reply, refused := c.refusal(); refused {
		return reply
	}
	if sub.Repeated {
		t.budget.Spend()
	} else {
		t.budget.AddRequest()
	}
	return c.run(ctx)
}

// Load is the state of one service's queues.
type Load struct {
	Waiting         int
	Running         int
	Slots           int
	BudgetRemaining float64
}

// Load returns the state of the queues of a service.
func (d *Dispatcher) Load(service hysservice.Name) Load {
	t := d.table(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	load := Load{BudgetRemaining: t.budget.Remaining()}
	for _, s := range t.shards {
		load.Waiting += s.queue.Len()
	}
	for _, r := range t.replicas {
		load.Running += len(r.active)
		load.Slots += r.slots
	}
	return load
}

func notRunReply(sub SubRequest, status hysquery.ShardStatus, reason string, retryAfter time.Duration) SubReply {
	return SubReply{
		Shard: sub.Shard, Status: status, Version: sub.Version, Epoch: sub.Epoch,
		Reason: reason, RetryAfter: retryAfter, NotRun: true,
	}
}
