package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hysservice"
)

// checkLinger is how long the reach is still checked regularly after there is nothing
// to find out, since the next send often follows soon.
const checkLinger = time.Second

// setTargets passes the listed searchers to the tracker of their reach.
func (f *Front) setTargets(byService map[hysservice.Name][]hysdispatch.Replica) {
	var targets hysreach.Targets
	for _, replicas := range byService {
		for _, r := range replicas {
			targets = append(targets, hysreach.Target{Searcher: r.Searcher, Incarnation: r.Incarnation, Distance: r.Distance})
		}
	}
	f.handleReach(f.reach.SetSearchers(targets))
}

// sendStarted records that a send to a searcher is in flight.
func (f *Front) sendStarted() {
	if f.reach.SendStarted() {
		f.wakeReach()
	}
}

// searcherHeard records a sign of life of a searcher.
func (f *Front) searcherHeard(id hysmember.SearcherID) { f.handleReach(f.reach.Heard(id)) }

// searcherFailed records a send that failed before a response was received.
func (f *Front) searcherFailed(id hysmember.SearcherID, began time.Time, e hysreach.Evidence) {
	f.reach.Failed(id, began, e)
	f.wakeReach()
}

func (f *Front) wakeReach() {
	select {
	case f.checkReach <- struct{}{}:
	default:
	}
}

// probeSearchers finds out which searchers this daemon can reach, until the context
// ends. It does nothing while nothing is sent and all are in reach.
func (f *Front) probeSearchers(ctx context.Context) {
	ticker := time.NewTicker(hysreach.CheckInterval)
	defer ticker.Stop()
	busyAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.checkReach:
			ticker.Reset(hysreach.CheckInterval)
		case <-ticker.C:
		}
		targets, changes := f.reach.NextProbes()
		f.handleReach(changes)
		for _, t := range targets {
			go f.probe(ctx, t)
		}
		switch {
		case f.reach.Busy():
			busyAt = time.Now()
		case time.Since(busyAt) > checkLinger:
			ticker.Stop()
		}
	}
}

// probe finds out whether a searcher is in reach.
func (f *Front) probe(ctx context.Context, t hysreach.Target) {
	probeCtx, stop := context.WithTimeout(ctx, hysreach.ProbeTimeout)
	defer stop()
	began := time.Now()
	err := f.forward.Probe(probeCtx, t.Searcher)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.handleReach(f.reach.Reached(t.Searcher.ID))
	default:
		f.handleReach(f.reach.ProbeFailed(t.Searcher.ID, began, f.forward.Evidence(t.Searcher, err)))
	}
}

// handleReach applies and logs changes of what this daemon can reach: it ends the
// sub-requests of services that are lost, and forgets what sends to a searcher that is
// back have shown.
func (f *Front) handleReach(changes hysreach.Changes) {
	for _, c := range changes {
		switch c.Kind {
		case hysreach.ChangeServiceLost:
			f.dispatcher.Lose(c.Service)
		case hysreach.ChangeServiceRegained:
			f.dispatcher.Regain(c.Service)
		case hysreach.ChangeSearcherRegained:
			f.dispatcher.Recover(c.Service, c.Searcher)
		}
	}
	f.logReach(changes)
}

// logReach logs changes of what this daemon can reach.
func (f *Front) logReach(changes hysreach.Changes) {
	for _, c := range changes {
		switch c.Kind {
		case hysreach.ChangePartitioned:
			f.log.Warn("no searcher in reach", "evidence", c.Evidence.String(), "silent-ms", c.SilentFor.Milliseconds(),
				"probed", c.Probed, "unreachable", c.Unreachable, "searchers", c.Searchers)
		case hysreach.ChangeRejoined:
			f.log.Info("searchers in reach again", "away-ms", c.Lasted.Milliseconds(), "unreachable", c.Unreachable, "searchers", c.Searchers)
		case hysreach.ChangeServiceLost:
			f.logServiceReach(c, "no searcher of the service in reach")
		case hysreach.ChangeServiceRegained:
			f.logServiceReach(c, "service in reach again")
		}
	}
}

// logServiceReach logs the change of one service, unless all are out of reach.
func (f *Front) logServiceReach(c hysreach.Change, message string) {
	if c.Partitioned {
		return
	}
	f.log.Info(message, "service", c.Service, "searcher", c.Searcher, "evidence", c.Evidence.String(),
		"silent-ms", c.SilentFor.Milliseconds(), "away-ms", c.Lasted.Milliseconds(), "unreachable", c.Unreachable, "searchers", c.Searchers)
}
