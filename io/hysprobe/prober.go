// Package hysprobe finds out which searchers an instance can reach, and lets its
// dispatcher act on it: it runs the probes that a hysreach.Tracker asks for, passes what
// has changed to the dispatcher, and logs it.
//
// # Usage
//
//	p := hysprobe.New(log)
//	client := hysforward.New(headers, hysforward.WithObserver(p.Observer()))
//	p.Probe, p.Evidence = client.Probe, client.Evidence
//	p.Dispatcher = hysdispatch.New(send, hysdispatch.WithReach(p.Tracker.Reachable))
//	go p.Run(ctx)
//	p.SetTargets(targets)
package hysprobe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/io/hysconn"
)

// checkLinger is how long the reach is still checked regularly after there is nothing
// to find out, since the next send often follows soon.
const checkLinger = time.Second

// Prober finds out which searchers are in reach. Dispatcher, Probe and Evidence must be
// set before Run. It is safe for concurrent use.
type Prober struct {
	Tracker    *hysreach.Tracker
	Dispatcher *hysdispatch.Dispatcher
	// Probe opens a connection to a searcher.
	Probe func(context.Context, hysmember.Searcher) error
	// Evidence returns what the error of a connection says about the reach of its
	// searcher.
	Evidence func(hysmember.Searcher, error) hysreach.Evidence
	Log      *slog.Logger

	// check receives a value when there is something to find out.
	check chan struct{}
	// mu is held while changes are passed to the dispatcher.
	mu sync.Mutex
}

// New returns a prober without searchers.
func New(log *slog.Logger) *Prober {
	return &Prober{Tracker: hysreach.NewTracker(time.Now), Log: log, check: make(chan struct{}, 1)}
}

// Observer returns the observer of a client of the searchers.
func (p *Prober) Observer() hysconn.Observer {
	return hysconn.Observer{
		Heard: func(id hysmember.SearcherID) { p.handle(p.Tracker.Heard(id)) },
		Failed: func(id hysmember.SearcherID, began time.Time, e hysreach.Evidence) {
			p.Tracker.Failed(id, began, e)
			p.wake()
		},
	}
}

// SetTargets replaces the searchers.
func (p *Prober) SetTargets(targets hysreach.Targets) { p.handle(p.Tracker.SetSearchers(targets)) }

// SendStarted records that a send to a searcher is in flight.
func (p *Prober) SendStarted() {
	if p.Tracker.SendStarted() {
		p.wake()
	}
}

// SendEnded records the end of a send.
func (p *Prober) SendEnded() { p.Tracker.SendEnded() }

func (p *Prober) wake() {
	select {
	case p.check <- struct{}{}:
	default:
	}
}

// Run probes searchers until the context ends. It does little while nothing is sent and
// all are in reach.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(hysreach.CheckInterval)
	defer ticker.Stop()
	busyAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.check:
			ticker.Reset(hysreach.CheckInterval)
		case <-ticker.C:
		}
		targets, changes := p.Tracker.NextProbes()
		p.handle(changes)
		for _, t := range targets {
			go p.probe(ctx, t)
		}
		switch {
		case p.Tracker.Busy():
			busyAt = time.Now()
		case time.Since(busyAt) > checkLinger:
			ticker.Reset(hysreach.IdleInterval)
		}
	}
}

// probe finds out whether a searcher is in reach.
func (p *Prober) probe(ctx context.Context, t hysreach.Target) {
	probeCtx, stop := context.WithTimeout(ctx, hysreach.ProbeTimeout)
	defer stop()
	began := time.Now()
	err := p.Probe(probeCtx, t.Searcher)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		p.handle(p.Tracker.Reached(t.Searcher.ID))
	default:
		p.handle(p.Tracker.ProbeFailed(t.Searcher.ID, began, p.Evidence(t.Searcher, err)))
	}
}

// handle passes changes to the dispatcher, and logs them: sub-requests of services that
// are lost end, and what sends to a searcher that is back have shown is forgotten. Changes
// may arrive here in another order than they were made, so what counts for a service is
// whether it is lost now.
func (p *Prober) handle(changes hysreach.Changes) {
	if len(changes) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		switch c.Kind {
		case hysreach.ChangeServiceLost, hysreach.ChangeServiceRegained:
			if p.Tracker.Lost(c.Service) {
				p.Dispatcher.Lose(c.Service)
			} else {
				p.Dispatcher.Regain(c.Service)
			}
		case hysreach.ChangeSearcherRegained:
			p.Dispatcher.Recover(c.Service, c.Searcher)
		}
		p.log(c)
	}
}

func (p *Prober) log(c hysreach.Change) {
	switch c.Kind {
	case hysreach.ChangePartitioned:
		p.Log.Warn("no searcher in reach", "evidence", c.Evidence.String(), "silent-ms", c.SilentFor.Milliseconds(),
			"probed", c.Probed, "unreachable", c.Unreachable, "searchers", c.Searchers)
	case hysreach.ChangeRejoined:
		p.Log.Info("searchers in reach again", "away-ms", c.Lasted.Milliseconds(), "unreachable", c.Unreachable, "searchers", c.Searchers)
	case hysreach.ChangeServiceLost:
		p.logService(c, "no searcher of the service in reach")
	case hysreach.ChangeServiceRegained:
		p.logService(c, "service in reach again")
	}
}

// logService logs the change of one service, unless all are out of reach.
func (p *Prober) logService(c hysreach.Change, message string) {
	if c.Partitioned {
		return
	}
	p.Log.Info(message, "service", c.Service, "searcher", c.Searcher, "evidence", c.Evidence.String(),
		"silent-ms", c.SilentFor.Milliseconds(), "away-ms", c.Lasted.Milliseconds(), "unreachable", c.Unreachable, "searchers", c.Searchers)
}
