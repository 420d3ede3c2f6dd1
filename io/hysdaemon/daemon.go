// Package hysdaemon connects the components of one daemon and runs them.
//
// # Usage
//
//	d := hysdaemon.New(settings, logger)
//	err := d.Run(ctx) // returns after ctx has ended and the daemon has drained
package hysdaemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysintake"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysqueue"
	"hyssopshore/core/hysreach"
	"hyssopshore/io/hysclaims"
	"hyssopshore/io/hysconfig"
	"hyssopshore/io/hysentry"
	"hyssopshore/io/hysevidence"
	"hyssopshore/io/hyshttp"
	"hyssopshore/io/hyslisten"
	"hyssopshore/io/hysmetrics"
	"hyssopshore/io/hysoperator"
	"hyssopshore/io/hyspeer"
	"hyssopshore/io/hyspermit"
	"hyssopshore/io/hysprobe"
	"hyssopshore/io/hyssearch"
	"hyssopshore/io/hyssettings"
	"hyssopshore/io/hysstore"
)

// Daemon is one instance of the system.
type Daemon struct {
	settings  hyssettings.Settings
	log       *slog.Logger
	store     *hysstore.Client
	keeper    *hysconfig.Keeper
	view      *hysmember.View
	peerTable *hyspeer.Table
	peers     *hyspeer.Client
	server    *hyspeer.Server
	// drainingSearchers holds the infos of searchers that announced to this
	// instance, in a reply, that they are leaving.
	drainingSearchers *hysmember.Infos
	searchers         *hyssearch.Client
	dispatcher        *hysdispatch.Dispatcher
	// prober finds out which searchers this instance can reach. targets are those that
	// it was last given.
	prober         *hysprobe.Prober
	targets        hysreach.Targets
	gatherer       *hysgather.Gatherer
	registry       *hysquarantine.Registry
	evidenceSyncer *hysevidence.Syncer
	exchanger      *hyspeer.Exchanger
	entry          *hysentry.Entry
	claims         *hysclaims.Claims
	metrics        *hysmetrics.Metrics
	// storeRead is when a read of the store last succeeded, in Unix nanoseconds.
	storeRead atomic.Int64
	// permits obtains permits of the searchers' rate limits, and hands them out.
	// limitSharers is the number of instances that divide the limits, 0 until it is
	// known.
	permits      *hyspermit.Keeper
	limitSharers atomic.Int64
	mergedPeers  mergedPeers
	ready        atomic.Bool
	leaving      atomic.Bool
}

// New returns a daemon that is not started; see Daemon.Run.
func New(s hyssettings.Settings, log *slog.Logger) *Daemon {
	d := &Daemon{settings: s, log: log.With("instance", s.Instance), metrics: hysmetrics.New()}
	d.storeRead.Store(time.Now().UnixNano())
	d.initStoreClients()
	d.initDispatch()
	d.initPeers()
	d.initEntry()
	return d
}

// initStoreClients creates the store's client, the components that use it, and
// the view of the members.
func (d *Daemon) initStoreClients() {
	d.store = hysstore.New(d.settings.StoreAddress)
	d.keeper = hysconfig.New(d.store, hysconfig.WithInstance(d.settings.Instance), hysconfig.WithWatcher(d.isWatcher))
	d.claims = hysclaims.New(d.store)
	d.registry = hysquarantine.NewRegistry(time.Now)
	d.evidenceSyncer = hysevidence.New(d.store, d.registry)
	d.view = hysmember.NewView(d.usable)
	d.drainingSearchers = hysmember.NewInfos()
}

// initDispatch creates the components that send requests to the searchers, from
// the gatherer to the client.
func (d *Daemon) initDispatch() {
	d.prober = hysprobe.New(d.log)
	d.searchers = hyssearch.New(hyssearch.WithConnectionCap(d.settings.ConnectionCap), hyssearch.WithObserver(d.prober.Observer()))
	d.prober.Probe, d.prober.Evidence = d.searchers.Probe, d.searchers.Evidence
	proven := hysquarantine.NewProvenCache()
	gate := hysquarantine.NewGate(d.registry, proven, d.sendToSearcher, d.crashed, d.incarnation)
	options := append(dispatchOptions(d.settings.Baseline), hysdispatch.WithLimitFunc(hyspermit.LogLimits(d.log)),
		hysdispatch.WithPermits(func() { d.permits.Need() }, func() int { return int(d.limitSharers.Load()) }))
	options = append(options, hysdispatch.WithReach(d.prober.Tracker.Reachable))
	d.dispatcher = hysdispatch.New(gate.Send, options...)
	d.prober.Dispatcher = d.dispatcher
	d.gatherer = hysgather.New(d.view.Snapshot, d.dispatchers, d.sendPart,
		hysgather.WithCanary(&hysgather.Canary{Registry: d.registry, Proven: proven}))
}

// initPeers creates the client and the server of the peer protocol.
func (d *Daemon) initPeers() {
	d.peerTable = hyspeer.NewTable(time.Now)
	d.peers = hyspeer.NewClient(d.settings.PeerSecret)
	d.permits = d.newPermits()
	d.exchanger = &hyspeer.Exchanger{
		Exchange: d.peers.Exchange, Configuration: d.peers.Configuration,
		Table: d.peerTable, Now: time.Now, LocalState: d.localState, View: d.view,
		State: d.keeper.State, MergeState: d.keeper.Merge, Registry: d.registry,
		OnConfigurationMerged: d.mergedPeers.add,
	}
	d.server = hyspeer.NewServer(d.settings.PeerSecret, d.dispatcher.Submit, d.exchanger.HandleExchange, d.keeper.State,
		hyspeer.WithPermits(d.permits.Serve))
}

// initEntry creates the API for callers.
func (d *Daemon) initEntry() {
	d.entry = &hysentry.Entry{
		State: d.keeper.State, Answer: d.gatherer.Answer, AnswerOnce: d.gatherer.AnswerAtMostOnce,
		Claim: d.claim, Record: d.claims.Record, Ready: d.acceptsRequests, Observe: d.metrics.ObserveQuery,
		Concurrency: int64(d.settings.ConcurrentRequests),
	}
}

func dispatchOptions(b hyssettings.Baseline) []hysdispatch.Option {
	var options []hysdispatch.Option
	if b.NoHedging {
		options = append(options, hysdispatch.WithoutHedging())
	}
	if b.NoAdmission {
		options = append(options, hysdispatch.WithoutAdmission())
	}
	if b.FirstInFirstOut {
		options = append(options, hysdispatch.WithQueueOptions(hysqueue.FirstInFirstOut()))
	}
	return options
}

func (d *Daemon) acceptsRequests() bool { return d.ready.Load() && !d.leaving.Load() }

func (d *Daemon) usable(id hysmember.InstanceID) bool {
	if id == d.settings.Instance {
		return !d.leaving.Load()
	}
	return d.peerTable.Usable(id)
}

// dispatchers returns the dispatchers of a shard, in order of preference. This
// instance is last if it is leaving or not yet listed. With direct fan-out, a
// baseline for comparison, every instance is its own dispatcher.
func (d *Daemon) dispatchers(service serviceName, shard shardID) hysmember.Instances {
	if d.settings.Baseline.DirectFanOut {
		return hysmember.Instances{d.self()}
	}
	return d.withSelf(d.view.Dispatchers(service, shard))
}

// withSelf appends this instance to a list that lacks it.
func (d *Daemon) withSelf(instances hysmember.Instances) hysmember.Instances {
	self := d.self()
	if slices.ContainsFunc(instances, func(i hysmember.Instance) bool { return i.ID == self.ID }) {
		return instances
	}
	return append(instances, self)
}

func (d *Daemon) self() hysmember.Instance {
	return hysmember.Instance{
		ID: d.settings.Instance, Address: d.settings.PeerAddress,
		Zone: d.settings.Zone, Region: d.settings.Region,
	}
}

func (d *Daemon) sendPart(ctx context.Context, to hysmember.Instance, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	if to.ID == d.settings.Instance {
		return hyspeer.DispatchLocal(ctx, d.dispatcher.Submit, part), nil
	}
	replies, err := d.peers.Dispatch(ctx, to, part)
	if err != nil {
		return nil, fmt.Errorf("Daemon.sendPart: %w", err)
	}
	return replies, nil
}

// Run opens the ports and serves until the context ends or a server for callers
// or operators fails, then drains and stops. It returns the error of a port that
// can't be opened or of the server that failed.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(d.settings.PeerAddress))
	if err != nil {
		return fmt.Errorf("Daemon.Run: peers: %w", err)
	}
	peers := d.servePeers(listener)
	callers, operators, err := d.listen()
	if err != nil {
		_ = peers.Close()
		return fmt.Errorf("Daemon.Run: %w", err)
	}
	failed := make(chan error, 2)
	for _, h := range []*hyshttp.Server{callers, operators} {
		go func() {
			if err := h.Serve(); err != nil {
				failed <- err
			}
		}()
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := d.startLoops(background)
	wait.Go(func() { newReporter(d, callers, operators).run(background) })
	d.log.Info("started", "callers", d.settings.CallerAddress, "peers", d.settings.PeerAddress, "operators", d.settings.OperatorAddress)
	select {
	case err = <-failed:
		err = fmt.Errorf("Daemon.Run: %w", err)
	case <-ctx.Done():
	}
	d.drain(background)
	d.shutdown(callers, operators, peers)
	stop()
	wait.Wait()
	d.searchers.Close()
	d.metrics.Close()
	d.log.Info("stopped")
	return err
}

// listen creates the servers for callers and operators and opens their ports.
func (d *Daemon) listen() (callers, operators *hyshttp.Server, err error) {
	callers, err = hyshttp.NewServer(d.settings.CallerAddress, hyshttp.WithListen(hyslisten.WithLog(d.log, "callers")),
		hyshttp.WithLimits(d.limits(hysentry.MaxBodyBytes, hyslisten.CallerShare)), hyshttp.WithFailure(hysentry.Failure))
	if err != nil {
		return nil, nil, fmt.Errorf("callers: %w", err)
	}
	operators, err = hyshttp.NewServer(d.settings.OperatorAddress, hyshttp.WithListen(hyslisten.WithLog(d.log, "operators")),
		hyshttp.WithLimits(d.limits(hysoperator.MaxBodyBytes, hyslisten.OperatorShare)), hyshttp.WithFailure(hysoperator.NewFailure))
	if err != nil {
		callers.Close()
		return nil, nil, fmt.Errorf("operators: %w", err)
	}
	callers.Use(d.closeWhenLeaving)
	d.entry.Register(callers.Hertz)
	d.operator().Register(operators.Hertz)
	return callers, operators, nil
}

// connections returns how many connections a port may have, given its share of what the
// system allows the process.
func (d *Daemon) connections(share float64) int {
	const systemLimit = 0
	return min(d.settings.Connections, hyslisten.Sockets(systemLimit, share))
}

// limits returns the limits of an HTTP port.
func (d *Daemon) limits(maxBody int, share float64) hyshttp.Limits {
	l := d.settings.Limits(maxBody)
	l.Connections = d.connections(share)
	return l
}

func (d *Daemon) servePeers(listener net.Listener) *http.Server {
	s := &http.Server{
		Handler: d.server.Handler(), Protocols: new(http.Protocols), ConnContext: hyslisten.ConnContext,
		ReadTimeout: d.settings.ReadTimeout.Duration(), IdleTimeout: d.settings.IdleTimeout.Duration(),
	}
	s.Protocols.SetUnencryptedHTTP2(true)
	s.Protocols.SetHTTP1(true)
	limits := hysintake.Limits{Connections: d.connections(hyslisten.PeerShare), Bytes: int64(d.settings.RequestMemory)}
	limited := hyslisten.New(listener, limits, hyslisten.WithLog(d.log, "peers"))
	go func() { _ = s.Serve(limited) }()
	return s
}

func (d *Daemon) startLoops(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Go(func() { d.keeper.Run(ctx) })
	wait.Go(func() { d.followList(ctx) })
	wait.Go(func() { d.observeSearchers(ctx) })
	wait.Go(func() { d.updateReplicas(ctx) })
	wait.Go(func() { d.exchanger.Run(ctx) })
	wait.Go(func() { d.dispatcher.Run(ctx) })
	wait.Go(func() { d.prober.Run(ctx) })
	wait.Go(func() { d.permits.Run(ctx) })
	wait.Go(func() { d.evidenceSyncer.Run(ctx) })
	return &wait
}
