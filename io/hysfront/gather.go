package hysfront

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysingress"
)

// Reasons why this daemon takes no query of another one.
var (
	errStopping = &hysingress.DeclinedError{Reason: "the daemon is stopping", RetryAfter: 10 * time.Second}
	errFull     = &hysingress.DeclinedError{Reason: "too many parts are in flight", RetryAfter: 300 * time.Millisecond}
)

// partsPerCore is how many parts of the queries of others may be in flight on a
// whole processor core. More make all of them late.
const partsPerCore = 1500

// unknownShare stands for the processor share of an instance that does not know
// its own.
const unknownShare = 1.0

// drainInterval is the time between two looks at the queries in flight.
const drainInterval = 20 * time.Millisecond

// gathering is who gathers the queries, as this daemon sees it.
type gathering struct {
	// own are the gatherers of this daemon's region.
	own hysmember.Gatherers
	// gathers is set if this daemon is one of them.
	gathers bool
	// gatherers and others count the daemons of all regions.
	gatherers int
	others    int
	// shards are the services that queries ask.
	shards map[hysservice.Name]bool
}

// reviewGathering works out again who gathers. It reports whether this daemon's
// share of anything has changed.
func (f *Front) reviewGathering() bool {
	f.mu.Lock()
	announced := f.announced
	f.mu.Unlock()
	next := f.newGathering(announced)
	before := f.gathering.Swap(next)
	if before != nil && before.gathers == next.gathers && before.gatherers == next.gatherers &&
		before.others == next.others && maps.Equal(before.shards, next.shards) {
		return false
	}
	f.log.Info("gatherers counted", "gathers", next.gathers, "gatherers", next.gatherers, "others", next.others)
	return true
}

func (f *Front) newGathering(announced hysmember.Instances) *gathering {
	g := &gathering{shards: make(map[hysservice.Name]bool)}
	if state := f.configuration(); state != nil {
		g.shards = state.ShardServices()
	}
	held := make(map[hysmember.Zone]int)
	for _, e := range f.directory.Entries() {
		if g.shards[e.Searcher.Service] && !e.Searcher.Leaving {
			held[e.Searcher.Zone]++
		}
	}
	regions := make(map[hysmember.Region]bool)
	for _, i := range announced {
		regions[i.Region] = true
	}
	for region := range regions {
		of := announced.Gatherers(region, held)
		g.gatherers += len(of.First)
		if region == f.settings.Region {
			g.own = of
		}
	}
	g.others = max(len(announced)-g.gatherers, 0)
	g.gathers = len(announced) == 0 || g.own.Includes(f.settings.Instance)
	return g
}

// errGathersItself means that this daemon hands no query over now.
const errGathersItself = errors.ConstError("no gatherer is to be asked")

// delegate hands a query to a gatherer, unless this daemon is one or none takes
// it. One that has not said whether it takes the query may send each part once
// before it notices that it is no longer wanted; this daemon then gathers the query
// itself, with the attempts that are left.
func (f *Front) delegate(ctx context.Context, d hysingress.Delegation) (hysingress.DelegationResult, int, error) {
	g := f.gathering.Load()
	if g == nil || g.gathers {
		return hysingress.DelegationResult{}, 0, errGathersItself
	}
	last := error(errGathersItself)
	for _, gatherer := range f.delegates.Pick(f.settings.Instance, g.own) {
		began := time.Now()
		answer, err := f.relayed.Gather(ctx, gatherer.Address, d)
		end, declined := delegationEnd(err)
		f.metrics.ObserveDelegation(end.String())
		if err == nil {
			answer.Instance = string(gatherer.ID)
			return answer, d.UsedAttempts, nil
		}
		if ctx.Err() != nil {
			return hysingress.DelegationResult{}, d.UsedAttempts, fmt.Errorf("delegate: %w", err)
		}
		last = err
		f.delegates.Record(gatherer.ID, end, declined)
		f.log.Info("query not taken by gatherer", "id", d.ID, "gatherer", gatherer.ID, "end", end.String(),
			"error", err, "ms", time.Since(began).Milliseconds())
		if !end.NotRun() {
			d.UsedAttempts++
			break
		}
	}
	return hysingress.DelegationResult{}, d.UsedAttempts, fmt.Errorf("delegate: %w", last)
}

// delegationEnd is how a hand-over has ended, and for how long a gatherer that has
// declined takes nothing.
func delegationEnd(err error) (hysgather.DelegationEnd, time.Duration) {
	var declined *hysingress.DeclinedError
	switch {
	case err == nil:
		return hysgather.DelegationAnswered, 0
	case errors.As(err, &declined):
		return hysgather.DelegationDeclined, declined.RetryAfter
	case errors.Is(err, hysingress.ErrGathererLost):
		return hysgather.DelegationLost, 0
	case errors.Is(err, unix.ECONNREFUSED):
		return hysgather.DelegationRefused, 0
	default:
		return hysgather.DelegationSilent, 0
	}
}

// gather answers a query of another daemon.
func (f *Front) gather(ctx context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
	taken := 0
	defer func() { f.parts.Add(-int64(taken)) }()
	answer, err := f.ingress.Gather(ctx, d, func(shards int) error {
		if f.leaving.Load() {
			return errStopping
		}
		if f.parts.Add(int64(shards)) > f.mostParts() {
			f.parts.Add(-int64(shards))
			return errFull
		}
		taken = shards
		return accept()
	})
	if err != nil {
		return hysingress.DelegationResult{}, fmt.Errorf("gather: %w", err)
	}
	return answer, nil
}

func (f *Front) mostParts() int64 {
	share := f.settings.ProcessorShare
	if share == 0 {
		share = unknownShare
	}
	return int64(partsPerCore * share)
}

// finishGathering waits until no query of another daemon is in flight.
func (f *Front) finishGathering(ctx context.Context) {
	for f.parts.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainInterval)
	}
}
