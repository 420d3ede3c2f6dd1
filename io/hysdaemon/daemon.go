// Package hysdaemon wires the parts of one daemon together and runs them.
//
// # Usage
//
//	d := hysdaemon.New(settings, logger)
//	err := d.Run(ctx) // until the context ends and the daemon has drained
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
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysqueue"
	"hyssopshore/io/hysclaims"
	"hyssopshore/io/hysconfig"
	"hyssopshore/io/hysentry"
	"hyssopshore/io/hysevidence"
	"hyssopshore/io/hyshttp"
	"hyssopshore/io/hysmetrics"
	"hyssopshore/io/hysoperator"
	"hyssopshore/io/hyspeer"
	"hyssopshore/io/hyssearch"
	"hyssopshore/io/hyssettings"
	"hyssopshore/io/hysstore"
)

// Daemon is one instance of the system.
type Daemon struct {
	settings hyssettings.Settings
	log      *slog.Logger
	store    *hysstore.Client
	keeper   *hysconfig.Keeper
	view     *hysmember.View
	reports  *hyspeer.Table
	peers    *hyspeer.Client
	server   *hyspeer.Server
	// draining are the searchers whose replies told this instance that they
	// are leaving.
	draining   *hysmember.Infos
	searchers  *hyssearch.Client
	dispatcher *hysdispatch.Dispatcher
	gatherer   *hysgather.Gatherer
	registry   *hysquarantine.Registry
	evidence   *hysevidence.Evidence
	exchanger  *hyspeer.Exchanger
	entry      *hysentry.Entry
	claims     *hysclaims.Claims
	metrics    *hysmetrics.Metrics
	// storeRead is when a read of the store last succeeded, in Unix nanoseconds.
	storeRead  atomic.Int64
	peersHeard peersHeard
	ready      atomic.Bool
	leaving    atomic.Bool
}

// New returns a daemon that is not yet started.
func New(s hyssettings.Settings, log *slog.Logger) *Daemon {
	d := &Daemon{settings: s, log: log.With("instance", s.Instance), metrics: hysmetrics.New()}
	d.storeRead.Store(time.Now().UnixNano())
	d.makeConfiguration()
	d.makeDispatch()
	d.makePeers()
	d.makeEntry()
	return d
}

// makeConfiguration makes what is read from the store.
func (d *Daemon) makeConfiguration() {
	d.store = hysstore.New(d.settings.StoreAddress)
	d.keeper = hysconfig.New(d.store, hysconfig.WithInstance(d.settings.Instance), hysconfig.WithWatcher(d.watches))
	d.claims = hysclaims.New(d.store)
	d.registry = hysquarantine.NewRegistry(time.Now)
	d.evidence = hysevidence.New(d.store, d.registry)
	d.view = hysmember.NewView(d.usable)
	d.draining = hysmember.NewInfos()
}

// makeDispatch makes the way of a request from the gatherer to the searchers.
func (d *Daemon) makeDispatch() {
	d.searchers = hyssearch.New(hyssearch.WithConnectionCap(d.settings.ConnectionCap))
	proven := hysquarantine.NewProvenCache()
	gate := hysquarantine.NewGate(d.registry, proven, d.search, d.crashed, d.incarnation)
	d.dispatcher = hysdispatch.New(gate.Send, dispatchOptions(d.settings.Baseline)...)
	d.gatherer = hysgather.New(d.view.Snapshot, d.rank, d.sendPart,
		hysgather.WithCanary(&hysgather.Canary{Registry: d.registry, Proven: proven}))
}

// makePeers makes both ends of the peer protocol.
func (d *Daemon) makePeers() {
	d.reports = hyspeer.NewTable(time.Now)
	d.peers = hyspeer.NewClient(d.settings.PeerSecret)
	d.exchanger = &hyspeer.Exchanger{
		Exchange: d.peers.Exchange, Configuration: d.peers.Configuration,
		Table: d.reports, Now: time.Now, LocalState: d.own, View: d.view,
		State: d.keeper.State, MergeState: d.keeper.Merge, Registry: d.registry,
		OnConfigurationMerged: d.peersHeard.add,
	}
	d.server = hyspeer.NewServer(d.settings.PeerSecret, d.dispatcher.Submit, d.exchanger.HandleExchange, d.keeper.State)
}

// makeEntry makes the callers' interface.
func (d *Daemon) makeEntry() {
	d.entry = &hysentry.Entry{
		State: d.keeper.State, Answer: d.gatherer.Answer, AnswerOnce: d.gatherer.AnswerAtMostOnce,
		Claim: d.claim, Record: d.claims.Record, Ready: d.takesRequests, Observe: d.metrics.ObserveQuery,
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

func (d *Daemon) takesRequests() bool { return d.ready.Load() && !d.leaving.Load() }

func (d *Daemon) usable(id hysmember.InstanceID) bool {
	if id == d.settings.Instance {
		return !d.leaving.Load()
	}
	return d.reports.Usable(id)
}

// rank returns the dispatchers of a shard. This instance comes last if it is
// leaving or not yet listed. With direct fan-out, the baseline, every instance
// dispatches for itself.
func (d *Daemon) rank(service serviceName, shard shardID) hysmember.Instances {
	if d.settings.Baseline.DirectFanOut {
		return hysmember.Instances{d.self()}
	}
	return d.withSelf(d.view.Dispatchers(service, shard))
}

// withSelf adds this instance to a list that lacks it.
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

// Run serves until the context ends, then drains and stops.
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

// listen opens the ports for callers and operators.
func (d *Daemon) listen() (callers, operators *hyshttp.Server, err error) {
	callers, err = hyshttp.NewServer(d.settings.CallerAddress,
		hyshttp.WithLimits(d.settings.Limits(hysentry.MaxBodyBytes)), hyshttp.WithFailure(hysentry.Failure))
	if err != nil {
		return nil, nil, fmt.Errorf("callers: %w", err)
	}
	operators, err = hyshttp.NewServer(d.settings.OperatorAddress,
		hyshttp.WithLimits(d.settings.Limits(hysoperator.MaxBodyBytes)), hyshttp.WithFailure(hysoperator.NewFailure))
	if err != nil {
		callers.Close()
		return nil, nil, fmt.Errorf("operators: %w", err)
	}
	callers.Use(d.closeWhenLeaving)
	d.entry.Register(callers.Hertz)
	d.operator().Register(operators.Hertz)
	return callers, operators, nil
}

func (d *Daemon) servePeers(listener net.Listener) *http.Server {
	s := &http.Server{Handler: d.server.Handler(), Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	s.Protocols.SetHTTP1(true)
	go func() { _ = s.Serve(listener) }()
	return s
}

func (d *Daemon) startLoops(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Go(func() { d.keeper.Run(ctx) })
	wait.Go(func() { d.followList(ctx) })
	wait.Go(func() { d.observe(ctx) })
	wait.Go(func() { d.assign(ctx) })
	wait.Go(func() { d.exchanger.Run(ctx) })
	wait.Go(func() { d.dispatcher.Run(ctx) })
	wait.Go(func() { d.evidence.Run(ctx) })
	return &wait
}
