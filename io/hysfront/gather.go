package hysfront

import (
	"context"
	"fmt"
	"maps"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

// Reasons for which this daemon declines a query of another one.
var (
	errStopping = &hysingress.DeclinedError{Reason: "the daemon is stopping", RetryAfter: 10 * time.Second}
	errFull     = &hysingress.DeclinedError{Reason: "too many parts are in flight", RetryAfter: 300 * time.Millisecond}
)

// shardsPerCore is the maximum number of shards of other daemons' queries in flight
// on a whole processor core. More make all of them late.
const shardsPerCore = 1500

// defaultProcessorShare is the processor share of an instance whose own share is
// unknown, in cores.
const defaultProcessorShare = 1.0

// drainPollInterval is the time between two checks for queries in flight.
const drainPollInterval = 20 * time.Millisecond

// gathererSet holds which daemons gather queries, derived from the instances and
// the searchers that this daemon knows.
type gathererSet struct {
	// regional are the gatherers of this daemon's region.
	regional hysmember.Gatherers
	// isGatherer is set if this daemon is one of them.
	isGatherer bool
	// gathererCount and otherCount are the numbers of daemons of all regions that
	// gather, and that do not.
	gathererCount int
	otherCount    int
	// shardServices are the services that are shards of queries.
	shardServices map[hysservice.Name]bool
}

// updateGatherers derives the gatherers again. It reports whether this daemon's
// share of the budgets may have changed.
func (f *Front) updateGatherers() bool {
	f.mu.Lock()
	announced := f.announced
	f.mu.Unlock()
	next := f.newGathererSet(announced)
	before := f.gathererSet.Swap(next)
	if before != nil && before.isGatherer == next.isGatherer && before.gathererCount == next.gathererCount &&
		before.otherCount == next.otherCount && maps.Equal(before.shardServices, next.shardServices) {
		return false
	}
	f.log.Info("gatherers counted", "gathers", next.isGatherer, "gatherers", next.gathererCount, "others", next.otherCount)
	return true
}

func (f *Front) newGathererSet(announced hysmember.Instances) *gathererSet {
	g := &gathererSet{shardServices: make(map[hysservice.Name]bool)}
	if state := f.configuration(); state != nil {
		g.shardServices = state.ShardServices()
	}
	searchersByZone := make(map[hysmember.Zone]int)
	for _, e := range f.directory.Entries() {
		if g.shardServices[e.Searcher.Service] && !e.Searcher.Leaving {
			searchersByZone[e.Searcher.Zone]++
		}
	}
	regions := make(map[hysmember.Region]bool)
	for _, i := range announced {
		regions[i.Region] = true
	}
	for region := range regions {
		regional := announced.Gatherers(region, searchersByZone)
		g.gathererCount += len(regional.First)
		if region == f.settings.Region {
			g.regional = regional
		}
	}
	g.otherCount = max(len(announced)-g.gathererCount, 0)
	g.isGatherer = len(announced) == 0 || g.regional.Includes(f.settings.Instance)
	return g
}

// errGatherLocally means that this daemon gathers the query itself.
const errGatherLocally = errors.ConstError("no gatherer is to be asked")

// delegate delegates a query to a gatherer, unless this daemon is one itself or none
// accepts the query. If most shards are lost here, any daemon is asked. One that has not
// accepted in time may send to each shard once before it notices that the query was
// cancelled; this daemon then goes on with the remaining attempts. delegate also returns
// how many attempts may have been used.
func (f *Front) delegate(ctx context.Context, d hysingress.Delegation) (hysingress.DelegationResult, int, error) {
	lost := f.mostlyLost(d.Shards)
	gatherers := f.gatherersToAsk(lost)
	lastErr := error(errGatherLocally)
	var asked hysmember.Instances
	for d.UsedAttempts < d.MaxAttempts && len(asked) < maxRelays {
		to, ok := f.nextDelegate(gatherers, asked, lost)
		if !ok {
			break
		}
		asked = append(asked, to)
		answer, err := f.delegateTo(ctx, to, d, lost)
		if err == nil {
			answer.Instance = string(to.ID)
			f.heardOf(answer.Record.Configuration, to)
			return answer, d.UsedAttempts, nil
		}
		if ctx.Err() != nil || errors.Is(err, hysingress.ErrGathererLost) {
			return hysingress.DelegationResult{}, d.UsedAttempts, fmt.Errorf("delegate: %w", err)
		}
		lastErr = err
		d.UsedAttempts += possibleRuns(err)
		if end, _ := delegationEnd(err); end == hysgather.DelegationSilent && !lost {
			break
		}
	}
	return hysingress.DelegationResult{}, d.UsedAttempts, fmt.Errorf("delegate: %w", lastErr)
}

// gatherersToAsk returns the gatherers to which a query is delegated, in order. lost is
// set if most of its shards are lost here.
func (f *Front) gatherersToAsk(lost bool) hysmember.Instances {
	g := f.gathererSet.Load()
	switch {
	case g == nil:
		return nil
	case lost && g.otherCount > 0:
		return f.delegates.Candidates(f.settings.Instance, g.regional)
	case lost:
		// Each daemon is a gatherer, also those of other regions.
		return nil
	default:
		return f.delegates.Pick(f.settings.Instance, g.regional)
	}
}

// nextDelegate returns the daemon that is asked next to gather a query: a gatherer, or
// any other one if the query is lost here. It returns false if there is none.
func (f *Front) nextDelegate(gatherers, asked hysmember.Instances, lost bool) (hysmember.Instance, bool) {
	if len(asked) < len(gatherers) {
		return gatherers[len(asked)], true
	}
	if !lost {
		return hysmember.Instance{}, false
	}
	return f.relays.Pick("", asked)
}

// delegateTo delegates a query to one daemon.
func (f *Front) delegateTo(ctx context.Context, to hysmember.Instance, d hysingress.Delegation, lost bool) (hysingress.DelegationResult, error) {
	began, patience := time.Now(), time.Duration(0)
	if lost {
		patience = f.patience(to)
	}
	answer, err := f.relayClient.Gather(ctx, to.Address, d, patience)
	end, declinedFor := delegationEnd(err)
	f.metrics.ObserveDelegation(end.String())
	if err == nil {
		f.relays.Record(to.ID, "", end, 0)
		return answer, nil
	}
	if ctx.Err() == nil {
		f.delegates.Record(to.ID, end, declinedFor)
		f.relays.Record(to.ID, "", end, declinedFor)
		f.log.Info("gatherer did not accept query", "id", d.ID, "gatherer", to.ID, "end", end.String(),
			"error", err, "ms", time.Since(began).Milliseconds())
	}
	return hysingress.DelegationResult{}, err
}

// possibleRuns returns how many searchers of one shard may have run a query that a daemon
// has not answered. One that has not accepted it in time may have sent it once.
func possibleRuns(err error) int {
	var lost *hysingress.SearchersLostError
	if errors.As(err, &lost) {
		return lost.PossibleRuns
	}
	if end, _ := delegationEnd(err); end.NotRun() {
		return 0
	}
	return 1
}

// delegationEnd returns how a delegation has ended, and for how long a gatherer
// that declined it accepts no other.
func delegationEnd(err error) (hysgather.DelegationEnd, time.Duration) {
	var declined *hysingress.DeclinedError
	var lost *hysingress.SearchersLostError
	switch {
	case err == nil:
		return hysgather.DelegationAnswered, 0
	case errors.As(err, &declined):
		return hysgather.DelegationDeclined, declined.RetryAfter
	case errors.As(err, &lost):
		return hysgather.DelegationDeclined, errLost.RetryAfter
	case errors.Is(err, hysingress.ErrGathererLost):
		return hysgather.DelegationLost, 0
	case errors.Is(err, hysrelay.ErrNotUnderstood):
		return hysgather.DelegationNotUnderstood, 0
	case errors.Is(err, unix.ECONNREFUSED), connect.CodeOf(err) == connect.CodeUnimplemented:
		return hysgather.DelegationRefused, 0
	default:
		return hysgather.DelegationSilent, 0
	}
}

// gather answers a query of another daemon.
func (f *Front) gather(ctx context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
	accepted := 0
	defer func() { f.delegatedShards.Add(-int64(accepted)) }()
	answer, err := f.ingress.Gather(ctx, d, func(shards []hysservice.Name) error {
		if err := f.declines(shards); err != nil {
			return err
		}
		if f.delegatedShards.Add(int64(len(shards))) > f.maxDelegatedShards() {
			f.delegatedShards.Add(-int64(len(shards)))
			return errFull
		}
		accepted = len(shards)
		return accept()
	})
	if err != nil {
		return hysingress.DelegationResult{}, fmt.Errorf("gather: %w", err)
	}
	return answer, nil
}

// maxDelegatedShards returns the maximum number of shards of other daemons' queries
// in flight here.
func (f *Front) maxDelegatedShards() int64 {
	share := f.settings.ProcessorShare
	if share == 0 {
		share = defaultProcessorShare
	}
	return int64(shardsPerCore * share)
}

// finishGathering waits until no query of another daemon is in flight.
func (f *Front) finishGathering(ctx context.Context) {
	for f.delegatedShards.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}
