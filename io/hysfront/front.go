// Package hysfront runs a frontend daemon: it accepts callers' requests without
// interpreting their content, and dispatches them to the searchers that are listed
// in the store. In large deployments it delegates whole queries to one of the few
// daemons that gather queries for its region.
//
// Daemons keep no durable state and need no agreement with each other: the routes
// and the searchers come from the store, and each daemon uses its share of what all
// of them may use together.
//
// # Usage
//
//	f := hysfront.New(settings, source, headers, log)
//	err := f.Run(ctx, reload) // returns after the context ends and the daemon has drained
package hysfront

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysforward"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysmetrics"
	"hyssopshore/io/hyspermit"
	"hyssopshore/io/hysprobe"
	"hyssopshore/io/hysrelay"
)

// Parameters of the hedging of requests.
const (
	hedgePercentile = 90
	// defaultHedgeDelay is the hedge delay while the latencies of a shard are
	// unknown.
	defaultHedgeDelay = 40 * time.Millisecond
	// hedgeReserve is the share of the retry budget's limit that hedges leave for
	// retries.
	hedgeReserve = 0.2
	// lingerTime is how long a send may go on after another send has answered the
	// sub-request.
	lingerTime = 300 * time.Millisecond
)

// memoryLimitShare is the share of the allowed memory at which the runtime collects
// garbage more often.
const memoryLimitShare = 0.7

// Front is one frontend daemon.
type Front struct {
	settings Settings
	source   Source
	log      *slog.Logger
	metrics  *hysmetrics.Metrics
	// droppedLines returns the number of log lines that were dropped.
	droppedLines func() int64
	directory    *hysmember.Directory
	// eras follows the era of the store.
	eras       *hysmember.Eras
	forward    *hysforward.Client
	dispatcher *hysdispatch.Dispatcher
	// prober finds out which searchers this daemon can reach, and reach holds that.
	prober       *hysprobe.Prober
	reach        *hysreach.Tracker
	ingress      *hysingress.Ingress
	callerServer *callerServer
	suspects     *hysquarantine.Tracker
	// evidenceQueue holds the crash evidence that is to be written to the store.
	evidenceQueue chan hysquarantine.Record
	// announceAgain receives a value when this instance must announce itself again.
	announceAgain chan struct{}
	// peersKnown is closed once the daemon has read the list of the other daemons,
	// or the store has failed to return it.
	peersKnown chan struct{}
	// configured is closed once there is a configuration.
	configured chan struct{}
	// requestWaiting is closed once a request waits for the first configuration.
	requestWaiting     chan struct{}
	requestWaitingOnce sync.Once
	// expiryScheduled is set while a timer waits for missing entries to expire.
	expiryScheduled atomic.Bool
	// heardScheduled is set while a timer waits for a configuration that another daemon
	// has answered by.
	heardScheduled atomic.Bool
	// instancesRead is set once the list of instances was read from the store.
	instancesRead atomic.Bool
	// searchersKnown is set once the list of searchers is known.
	searchersKnown atomic.Bool
	// peersAsked is set once another daemon has sent what it knows.
	peersAsked atomic.Bool
	draining   atomic.Bool
	// instanceCount is the number of daemons that share the budgets and the
	// connections.
	instanceCount atomic.Int64
	// peakInstances is the highest number of daemons lately, 0 until it is known. It
	// divides what is not safe with a number that is too low.
	peakInstances atomic.Int64
	// permits obtains permits of the searchers' rate limits, and hands them out.
	permits *hyspermit.Keeper
	// missingInList is set if the last list of instances lacks this one.
	missingInList atomic.Bool
	// unlisted is set while other daemons may not know yet that this one exists.
	unlisted atomic.Bool
	store    dependency
	// otherInstances tracks whether any other daemon sends updates while the store
	// does not serve this one.
	otherInstances dependency
	relayClient    *hysrelay.Client
	// sources chooses the daemon that sends updates while the store does not serve this
	// one. Only the loop of syncFromPeers uses it.
	sources *hysmember.Sources
	// following is set while the daemon follows a reader instead of the store.
	following atomic.Bool
	// incarnation identifies this start of the daemon, started is when it was.
	incarnation string
	started     time.Time
	// inForce is the configuration in force.
	inForce   atomic.Pointer[StoredConfiguration]
	storeView storeView
	// gathererSet holds the daemons that gather queries. delegates picks the one to
	// which this daemon delegates a query. delegatedShards counts the shards of
	// other daemons' queries that are in flight here.
	gathererSet atomic.Pointer[gathererSet]
	delegates   *hysgather.Delegates
	// relays picks the daemon that runs what this one can't.
	relays          *hysgather.Relays
	delegatedShards atomic.Int64

	// Lock order: configureMu, then mu, then the dispatcher's locks, then budgetMu.
	// configureMu is held while a configuration is applied, which comes from the
	// store or from another daemon.
	configureMu sync.Mutex

	mu sync.Mutex
	// knownServices are the services that have or had searchers.
	knownServices map[hysservice.Name]bool
	// prewarmed are the searchers to which a connection is kept open.
	prewarmed hysmember.Searchers
	// suspectsChanged is the version of the directory at which the crash evidence
	// of a request last changed.
	suspectsChanged hysmember.Version
	// announced are all announced instances, as last read.
	announced hysmember.Instances
	// era is the era of the store that this daemon has acted on, eraBegan when it did so.
	// listSettlesAt is when all daemons have announced themselves in it.
	era           hysmember.Era
	eraBegan      time.Time
	listSettlesAt time.Time
	// ownEvidence is the crash evidence that this daemon has written to the store.
	ownEvidence map[hysquarantine.Key]hysquarantine.Record
	// instancesChanged and configurationChanged are the versions of the directory
	// at which these last changed.
	instancesChanged     hysmember.Version
	configurationChanged hysmember.Version
	// cursors are the positions from which the updates of other daemons continue.
	cursors map[hysmember.InstanceID]hysrelay.Cursor
	// reportedDepartures are the versions of this daemon's directory up to which
	// other daemons have received the departures of searchers.
	reportedDepartures map[hysmember.InstanceID]hysrelay.Cursor
	// fullStateAt is when the full state of another daemon was last requested.
	fullStateAt time.Time
	budgetMu    sync.Mutex
	// peakCount is the highest number of announced instances.
	peakCount hyslimit.Peak
	budgets   map[hysservice.Name]*hysbudget.Budget
}

// Option configures a Front.
type Option func(*Front)

// WithDroppedLines sets the function that returns the number of dropped log lines,
// for the metrics.
func WithDroppedLines(count func() int64) Option {
	return func(f *Front) { f.droppedLines = count }
}

// WithGathererAcceptTimeout replaces the time within which a gatherer must accept a
// query.
func WithGathererAcceptTimeout(span time.Duration) Option {
	return func(f *Front) { f.relayClient = hysrelay.NewClient(hysrelay.WithAcceptTimeout(span)) }
}

// New returns a daemon that is not yet started.
func New(s Settings, source Source, headers hysingress.Headers, log *slog.Logger, options ...Option) *Front {
	f := &Front{
		settings: s, source: source, log: log.With("instance", s.Instance), metrics: hysmetrics.New(),
		directory: hysmember.NewDirectory(), configured: make(chan struct{}),
		requestWaiting:     make(chan struct{}),
		peersKnown:         make(chan struct{}),
		relayClient:        hysrelay.NewClient(),
		budgets:            make(map[hysservice.Name]*hysbudget.Budget),
		knownServices:      make(map[hysservice.Name]bool),
		cursors:            make(map[hysmember.InstanceID]hysrelay.Cursor),
		reportedDepartures: make(map[hysmember.InstanceID]hysrelay.Cursor),
		incarnation:        uuid.NewString(),
		started:            time.Now(),

		sources:   hysmember.NewSources(hysmember.Instance{ID: s.Instance, Zone: s.Zone, Region: s.Region}, time.Now),
		delegates: hysgather.NewDelegates(time.Now),
		relays:    hysgather.NewRelays(time.Now),
		suspects:  hysquarantine.NewTracker(time.Now),

		evidenceQueue: make(chan hysquarantine.Record, evidenceQueueLength),
		announceAgain: make(chan struct{}, 1),
		ownEvidence:   make(map[hysquarantine.Key]hysquarantine.Record),
		eras:          source.Eras,

		droppedLines: func() int64 { return 0 },
	}
	if f.eras == nil {
		f.eras = hysmember.NewEras()
	}
	f.eras.Problem = f.logEraProblem
	f.instanceCount.Store(defaultInstanceCount)
	f.prober = hysprobe.New(f.log)
	f.reach = f.prober.Tracker
	f.forward = hysforward.New(hysforward.Headers{
		RequestID: headers.RequestID, Deadline: headers.Deadline, Signature: headers.Signature,
		Searcher: headers.Searcher, NotRun: headers.NotRun, Leaving: headers.Leaving,
		Limit: headers.Limit,
	}, hysforward.WithConnectionCap(f.connectionCap), hysforward.WithResponseMemory(s.responseMemory()),
		hysforward.WithRefusedFunc(f.searcherRefused),
		hysforward.WithObserver(f.prober.Observer()))
	f.prober.Probe, f.prober.Evidence = f.forward.Probe, f.forward.Evidence
	f.dispatcher = hysdispatch.New(f.send,
		hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percentile: hedgePercentile, DefaultDelay: defaultHedgeDelay, RetryReserve: hedgeReserve}),
		hysdispatch.WithBudget(f.budget), hysdispatch.WithLinger(lingerTime),
		hysdispatch.WithConnections(f.forward.Connected), hysdispatch.WithReach(f.reach.Reachable), hysdispatch.WithLimitFunc(hyspermit.LogLimits(f.log)),
		hysdispatch.WithPermits(func() { f.permits.Need() }, func() int { return int(f.peakInstances.Load()) }))
	f.prober.Dispatcher = f.dispatcher
	f.permits = f.newPermits()
	f.ingress = &hysingress.Ingress{
		Headers: headers, State: f.awaitConfiguration, Submit: f.dispatcher.Submit, Admit: f.dispatcher.Admit,
		Relay: f.relay, Lost: f.reach.Lost, MostlyLost: f.mostlyLost,
		Delegate: f.delegate, Quarantined: f.quarantined, Observe: f.observe, Closing: f.closesConnections, AnswerTimeout: answerTimeout,
	}
	f.callerServer = newCallerServer(f.ingress, f.log, func(l net.Listener) net.Listener { return f.limited("callers", l, s.callerLimits()) })
	for _, o := range options {
		o(f)
	}
	return f
}

// Run serves until the context ends, then drains and stops. Settings that are
// received from reload replace those that may change at run time. The error says
// which port can't be opened.
func (f *Front) Run(ctx context.Context, reload <-chan Settings) error {
	if f.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(f.settings.MemoryBytes)))
	}
	ports, err := f.listen()
	if err != nil {
		return fmt.Errorf("Front.Run: %w", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	f.log.Info("started", "callers", f.settings.CallerAddress, "readiness", f.settings.ReadinessAddress,
		"store", f.settings.StoreAddress, "zone", f.settings.Zone, "stop-grace", f.settings.StopGrace)
	wait := f.startLoops(background)
	f.serve(ctx, reload)
	f.drain(ports)
	stop()
	wait.Wait()
	f.forward.Close()
	f.relayClient.Close()
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

// reload applies the settings that may change while the daemon runs.
func (f *Front) reload(s Settings) {
	f.log.Info("settings reloaded", "stop-grace", s.StopGrace, "retry-share", s.RetryShare, "retry-slack", s.RetrySlack)
	f.mu.Lock()
	f.settings.StopGrace = s.StopGrace
	f.mu.Unlock()
	f.budgetMu.Lock()
	f.settings.RetrySlack = s.RetrySlack
	f.budgetMu.Unlock()
	f.updateBudgets()
}

func (f *Front) startLoops(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Go(func() { f.follow(ctx) })
	wait.Go(func() { f.followEras(ctx) })
	wait.Go(func() { f.announce(ctx) })
	wait.Go(func() { f.syncFromPeers(ctx) })
	wait.Go(func() { f.dispatcher.Run(ctx) })
	wait.Go(func() { f.prober.Run(ctx) })
	wait.Go(func() { f.permits.Run(ctx) })
	wait.Go(func() { f.updateGauges(ctx) })
	wait.Go(func() { f.keepPrewarmed(ctx) })
	wait.Go(func() { f.writeEvidence(ctx) })
	return &wait
}

// firstConfigurationWait is how long a request waits for the first configuration,
// which a starting daemon has after a few calls to the store.
const firstConfigurationWait = 300 * time.Millisecond

// awaitConfiguration returns the configuration in force, or nil if there is none. A
// daemon that has just started waits for the first one, unless neither the store
// nor another daemon answers.
func (f *Front) awaitConfiguration(ctx context.Context) *hysroute.Configuration {
	if state := f.configuration(); state != nil || f.store.isUnavailable() && f.otherInstances.isUnavailable() {
		return state
	}
	f.recordWaitingRequest()
	timer := time.NewTimer(firstConfigurationWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.configured:
	}
	return f.configuration()
}

// configuration returns the configuration in force, nil if there is none yet.
func (f *Front) configuration() *hysroute.Configuration {
	if c := f.inForce.Load(); c != nil {
		return c.Decoded
	}
	return nil
}

// ready reports whether this daemon should get new callers.
func (f *Front) ready() bool {
	return f.configuration() != nil && f.searchersKnown.Load() && !f.draining.Load()
}

// closesConnections reports whether callers should connect to another daemon.
func (f *Front) closesConnections() bool { return f.draining.Load() || f.configuration() == nil }

func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
