// Package hysfront runs a frontend daemon: it takes callers' requests as they
// are, and dispatches them to the searchers that the store lists. Where daemons are
// many, it hands whole queries to one of the few that gather for its region.
//
// Nothing is kept by the instance and nothing is agreed on between daemons: the
// routes and the searchers come from the store, and each daemon has a share of
// what all of them may use together.
//
// # Usage
//
//	f := hysfront.New(settings, source, headers, log)
//	err := f.Run(ctx, reload) // until the context ends and the daemon has drained
package hysfront

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysforward"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysmetrics"
	"hyssopshore/io/hysrelay"
)

// The hedging of requests.
const (
	hedgePercent = 90
	// unknownDelay is the delay while a shard's latencies are not known.
	unknownDelay = 40 * time.Millisecond
	// hedgeReserve is the part of the budget's limit that hedges leave for
	// retries.
	hedgeReserve = 0.2
	// lingerTime is how long a send that another one has overtaken may go on.
	lingerTime = 300 * time.Millisecond
)

// memoryPart is the part of the allowed memory at which garbage is collected
// harder.
const memoryPart = 0.7

// Front is one frontend daemon.
type Front struct {
	settings Settings
	source   Source
	log      *slog.Logger
	metrics  *hysmetrics.Metrics
	// droppedLines counts the lines of the log that were lost.
	droppedLines func() int64
	directory    *hysmember.Directory
	forward      *hysforward.Client
	dispatcher   *hysdispatch.Dispatcher
	ingress      *hysingress.Ingress
	callers      *callers
	suspects     *hysquarantine.Tracker
	// accusations are the records that are to be written to the store.
	accusations chan hysquarantine.Record
	// neighboursRead is closed once the daemon knows who else there is, or that the
	// store does not tell it.
	neighboursRead chan struct{}
	// configured is closed once there is a configuration.
	configured chan struct{}
	// wanted is closed once a caller waits for the first configuration.
	wanted   chan struct{}
	wantOnce sync.Once
	// listed is set once the list of searchers has been read.
	listed  atomic.Bool
	leaving atomic.Bool
	// instances is how many daemons share the budgets and the connections.
	instances atomic.Int64
	store     dependency
	// others are the daemons that are asked while the store does not serve
	// this one.
	others  dependency
	relayed *hysrelay.Client
	// lastAsked is the daemon that has told its news then; only relay uses it.
	lastAsked hysmember.InstanceID
	// following is set while a reader is followed instead of the store.
	following atomic.Bool
	// start tells the starts of this daemon apart, started is when this one was.
	start   string
	started time.Time
	// newest is the configuration in force.
	newest    atomic.Pointer[StoredConfiguration]
	knowledge knowledge
	// gathering is who gathers queries, delegates to whom of them this daemon
	// hands its own; parts counts those in flight of the queries of others.
	gathering atomic.Pointer[gathering]
	delegates *hysgather.Delegates
	parts     atomic.Int64

	// Lock order: configureMu, then mu, then the dispatcher's locks, then
	// budgetMu. configureMu is held while a configuration is taken over, which
	// comes from the store or from another daemon.
	configureMu sync.Mutex

	mu sync.Mutex
	// assigned are the services that the dispatcher has searchers of.
	assigned map[hysservice.Name]bool
	// warm are the searchers to which a connection is kept.
	warm hysmember.Searchers
	// suspectsChanged is the version of the directory at which a record of a
	// request that crashes searchers last changed.
	suspectsChanged hysmember.Version
	// announced are all daemons, as last read.
	announced hysmember.Instances
	// instancesChanged and configurationChanged are the versions of the
	// directory at which they last changed.
	instancesChanged     hysmember.Version
	configurationChanged hysmember.Version
	// cursors are where the news of other daemons go on.
	cursors map[hysmember.InstanceID]hysrelay.Cursor
	// told are up to which version of this directory other daemons were told of
	// the searchers that are leaving.
	told map[hysmember.InstanceID]hysrelay.Cursor
	// wholeAt is when another daemon was last to tell everything.
	wholeAt  time.Time
	budgetMu sync.Mutex
	budgets  map[hysservice.Name]*hysbudget.Budget
}

// Option changes a Front.
type Option func(*Front)

// WithDroppedLines tells how many lines of the log were lost, for the metrics.
func WithDroppedLines(count func() int64) Option {
	return func(f *Front) { f.droppedLines = count }
}

// WithGathererAcceptTimeout replaces how long a gatherer may take to say that it takes a
// query.
func WithGathererAcceptTimeout(span time.Duration) Option {
	return func(f *Front) { f.relayed = hysrelay.NewClient(hysrelay.WithAcceptTimeout(span)) }
}

// New returns a daemon that is not yet started.
func New(s Settings, source Source, headers hysingress.Headers, log *slog.Logger, options ...Option) *Front {
	f := &Front{
		settings: s, source: source, log: log.With("instance", s.Instance), metrics: hysmetrics.New(),
		directory: hysmember.NewDirectory(), configured: make(chan struct{}),
		wanted:         make(chan struct{}),
		neighboursRead: make(chan struct{}),
		relayed:        hysrelay.NewClient(),
		budgets:        make(map[hysservice.Name]*hysbudget.Budget),
		assigned:       make(map[hysservice.Name]bool),
		cursors:        make(map[hysmember.InstanceID]hysrelay.Cursor),
		told:           make(map[hysmember.InstanceID]hysrelay.Cursor),
		start:          uuid.NewString(),
		started:        time.Now(),

		delegates: hysgather.NewDelegates(time.Now),
		suspects:  hysquarantine.NewTracker(time.Now),

		accusations: make(chan hysquarantine.Record, accuseQueue),

		droppedLines: func() int64 { return 0 },
	}
	f.instances.Store(unknownInstances)
	f.forward = hysforward.New(hysforward.Headers{
		RequestID: headers.RequestID, Deadline: headers.Deadline, Signature: headers.Signature,
		Searcher: headers.Searcher, NotRun: headers.NotRun, Leaving: headers.Leaving,
	}, hysforward.WithConnectionCap(f.connectionCap), hysforward.WithResponseMemory(s.responseMemory()),
		hysforward.WithRefusedFunc(func(s hysmember.Searcher) { f.searcherDown(s.ID) }))
	f.dispatcher = hysdispatch.New(f.send,
		hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percentile: hedgePercent, DefaultDelay: unknownDelay, RetryReserve: hedgeReserve}),
		hysdispatch.WithBudget(f.budget), hysdispatch.WithLinger(lingerTime),
		hysdispatch.WithConnections(f.forward.Connected))
	f.ingress = &hysingress.Ingress{
		Headers: headers, State: f.awaitConfiguration, Submit: f.dispatcher.Submit, Admit: f.dispatcher.Admit,
		Delegate: f.delegate, Quarantined: f.suspect, Observe: f.observe, Closing: f.turnsAway,
	}
	f.callers = newCallers(f.ingress, f.log)
	for _, o := range options {
		o(f)
	}
	return f
}

// Run serves until the context ends, then drains and stops. Each value of
// reload asks to read the settings again.
func (f *Front) Run(ctx context.Context, reload <-chan Settings) error {
	if f.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(f.settings.MemoryBytes)))
	}
	ports, err := f.listen()
	if err != nil {
		return fmt.Errorf("Front.Run: %w", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := f.startLoops(background)
	f.log.Info("started", "callers", f.settings.CallerAddress, "readiness", f.settings.ReadinessAddress,
		"store", f.settings.StoreAddress, "zone", f.settings.Zone, "stop-grace", f.settings.StopGrace)
	f.serve(ctx, reload)
	f.drain(ports)
	stop()
	wait.Wait()
	f.forward.Close()
	f.relayed.Close()
	f.metrics.Close()
	f.log.Info("stopped")
	return nil
}

func (f *Front) serve(ctx context.Context, reload <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			f.reload(s)
		}
	}
}

// reload takes over what may change while the daemon runs.
func (f *Front) reload(s Settings) {
	f.log.Info("settings reloaded", "stop-grace", s.StopGrace, "retry-share", s.RetryShare, "retry-slack", s.RetrySlack)
	f.mu.Lock()
	f.settings.StopGrace = s.StopGrace
	f.mu.Unlock()
	f.budgetMu.Lock()
	f.settings.RetrySlack = s.RetrySlack
	f.budgetMu.Unlock()
	f.shareBudgets()
}

func (f *Front) startLoops(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Go(func() { f.follow(ctx) })
	wait.Go(func() { f.announce(ctx) })
	wait.Go(func() { f.relay(ctx) })
	wait.Go(func() { f.dispatcher.Run(ctx) })
	wait.Go(func() { f.measure(ctx) })
	wait.Go(func() { f.keepWarm(ctx) })
	wait.Go(func() { f.shareEvidence(ctx) })
	return &wait
}

// firstWait is how long a request waits for the first configuration, which
// follows the start of the process within a few calls of the store.
const firstWait = 300 * time.Millisecond

// awaitConfiguration returns the configuration in force. A daemon that has just
// started waits for it, unless neither the store nor another daemon answers.
func (f *Front) awaitConfiguration(ctx context.Context) *hysroute.Configuration {
	if state := f.configuration(); state != nil || f.store.isLost() && f.others.isLost() {
		return state
	}
	f.want()
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.configured:
	}
	return f.configuration()
}

// configuration is the one in force, nil if there is none yet.
func (f *Front) configuration() *hysroute.Configuration {
	if c := f.newest.Load(); c != nil {
		return c.Decoded
	}
	return nil
}

// ready reports whether new callers should come to this daemon.
func (f *Front) ready() bool {
	return f.configuration() != nil && f.listed.Load() && !f.leaving.Load()
}

// turnsAway reports whether callers should connect to another daemon.
func (f *Front) turnsAway() bool { return f.leaving.Load() || f.configuration() == nil }

func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
