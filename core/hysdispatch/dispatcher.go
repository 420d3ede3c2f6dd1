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

// maxUnrun is how many further sends one sub-request may take that searchers
// have refused to run.
const maxUnrun = 2

// unavailableRetry is when a shard without a searcher may be asked again.
const unavailableRetry = time.Second

// minRetryAfter is the shortest time after which a refused sub-request may be
// sent again.
const minRetryAfter = 10 * time.Millisecond

// matchInterval is how often replicas whose backoff has ended get work, while any
// waits.
const matchInterval = 10 * time.Millisecond

// Dispatcher runs sub-requests on searchers. It is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	now     func() time.Time
	send    Sender
	queue   []hysqueue.Option
	hedging bool
	admit   bool
	hedge   HedgePolicy
	linger  time.Duration
	budget  BudgetFunc
	pooled  *pooled
	// connected tells whether a send to a searcher need not wait for a
	// connection.
	connected ConnectedFunc
	tables    map[hysservice.Name]*table
	backlog   *backlog
	workers   *workers
}

// BudgetFunc returns the budget of the extra sends of a service.
type BudgetFunc func(hysservice.Name) *hysbudget.Budget

// ConnectedFunc reports whether there is a connection to a searcher.
type ConnectedFunc func(hysmember.Searcher) bool

// HedgePolicy tells when a sub-request is hedged.
type HedgePolicy struct {
	// Percentile of the recent latencies of a shard are shorter than the delay.
	Percentile float64
	// DefaultDelay is the delay while there are too few latencies.
	DefaultDelay time.Duration
	// RetryReserve is the part of the budget's limit that hedges leave for retries.
	RetryReserve float64
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(d *Dispatcher) { d.now = now }
}

// WithoutHedging never hedges; it is a baseline for measurements.
func WithoutHedging() Option {
	return func(d *Dispatcher) { d.hedging = false }
}

// WithoutAdmission queues what can't meet its deadline; it is a baseline for
// measurements.
func WithoutAdmission() Option {
	return func(d *Dispatcher) { d.admit = false }
}

// WithHedging replaces when sub-requests are hedged.
func WithHedging(p HedgePolicy) Option {
	return func(d *Dispatcher) { d.hedge = p }
}

// WithBudget replaces the budgets of the extra sends.
func WithBudget(budget BudgetFunc) Option {
	return func(d *Dispatcher) { d.budget = budget }
}

// WithConnections prefers searchers to which there is a connection over others
// that are as near.
func WithConnections(connected ConnectedFunc) Option {
	return func(d *Dispatcher) { d.connected = connected }
}

// WithLinger lets a send go on for a time after another one has answered, so
// that its connection can be used again. It is cancelled at once if nobody
// waits for its sub-request any more.
func WithLinger(span time.Duration) Option {
	return func(d *Dispatcher) { d.linger = span }
}

// WithQueueOptions gives options to each queue.
func WithQueueOptions(options ...hysqueue.Option) Option {
	return func(d *Dispatcher) { d.queue = options }
}

// New returns a dispatcher without searchers.
func New(send Sender, options ...Option) *Dispatcher {
	d := &Dispatcher{
		now: time.Now, send: send, hedging: true, admit: true,
		hedge:  HedgePolicy{Percentile: hedgePercent, DefaultDelay: defaultHedgeDelay, RetryReserve: hedgeReserve},
		budget: func(hysservice.Name) *hysbudget.Budget { return hysbudget.New(budgetShare, budgetLimit) },
		tables: make(map[hysservice.Name]*table), pooled: newPooled(), backlog: newBacklog(), workers: newWorkers(),
		connected: func(hysmember.Searcher) bool { return true },
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// SetReplicas replaces the searchers of a service.
func (d *Dispatcher) SetReplicas(service hysservice.Name, replicas []Replica, slots int) {
	d.table(service).set(replicas, slots)
}

// Run gives work to replicas whose backoff has ended, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(matchInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.backlog.began:
			ticker.Reset(matchInterval)
		case <-ticker.C:
			if d.matchBacklog() == 0 {
				ticker.Stop()
			}
		}
	}
}

// matchBacklog matches the services in which sub-requests wait, and returns in how
// many some still do.
func (d *Dispatcher) matchBacklog() int {
	waiting := 0
	for _, t := range d.backlog.take() {
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

// Submit runs a sub-request and returns its one reply, at the sub-request's
// deadline or the end of the context at the latest.
func (d *Dispatcher) Submit(ctx context.Context, sub SubRequest) SubReply {
	ctx, cancel := context.WithDeadline(ctx, sub.Deadline)
	defer cancel()
	t := d.table(sub.Service)
	c := &call{dispatcher: d, table: t, sub: sub, results: make(chan outcome, sub.maxRuns()+maxUnrun)}
	if reply, refused := c.refuse(); refused {
		return reply
	}
	t.budget.AddRequest()
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

func (s *SubRequest) maxRuns() int {
	if s.MaxRuns > 0 {
		return s.MaxRuns
	}
	return maxRuns
}

func notSent(sub SubRequest, status hysquery.ShardStatus, reason string, retry time.Duration) SubReply {
	return SubReply{
		Shard: sub.Shard, Status: status, Version: sub.Version, Epoch: sub.Epoch,
		Reason: reason, RetryAfter: retry, NotRun: true,
	}
}
