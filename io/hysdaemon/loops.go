package hysdaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hyspeer"
)

type (
	serviceName = hysservice.Name
	shardID     = hysservice.ShardID
)

// Intervals of the background loops.
const (
	listInterval     = time.Second
	observeInterval  = 500 * time.Millisecond
	replicasInterval = 100 * time.Millisecond
	infoTimeout      = 400 * time.Millisecond
)

// searchersTimeout bounds how long a configured daemon waits for the holdings of
// every listed searcher before it accepts requests.
const searchersTimeout = 3 * time.Second

// runEvery calls work immediately, and then at an interval until the context
// ends.
func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followList reads the platform's instance list periodically, and removes what
// is recorded about instances and searchers that are no longer listed.
func (d *Daemon) followList(ctx context.Context) {
	var peak hyslimit.Peak
	runEvery(ctx, listInterval, func(ctx context.Context) {
		list, err := d.store.Instances(ctx)
		if err != nil {
			return
		}
		d.permits.Ranking.SetInstances(list.Instances.Live())
		d.limitSharers.Store(int64(peak.Add(time.Now(), len(list.Instances))))
		d.storeRead.Store(time.Now().UnixNano())
		d.view.SetList(list)
		d.retainDraining(list)
		listed := make(map[hysmember.InstanceID]bool, len(list.Instances))
		for _, i := range list.Instances {
			listed[i.ID] = true
		}
		d.peerTable.Retain(func(id hysmember.InstanceID) bool {
			return listed[id] || id == d.settings.Instance
		})
	})
}

func (d *Daemon) retainDraining(list hysmember.List) {
	listed := make(map[hysmember.SearcherID]bool, len(list.Searchers))
	for _, s := range list.Searchers {
		listed[s.ID] = true
	}
	d.drainingSearchers.Retain(func(id hysmember.SearcherID) bool { return listed[id] })
}

// observeSearchers fetches the infos of the searchers that this instance observes.
func (d *Daemon) observeSearchers(ctx context.Context) {
	runEvery(ctx, observeInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, infoTimeout)
		defer cancel()
		var wait sync.WaitGroup
		for _, s := range d.observed() {
			wait.Go(func() {
				if info, err := d.searchers.Info(ctx, s); err == nil {
					d.view.Merge(info)
				}
			})
		}
		wait.Wait()
	})
}

func (d *Daemon) observed() hysmember.Searchers {
	return d.view.Observed(d.settings.Instance)
}

// localState returns what this daemon reports about itself to its peers. A daemon
// that isn't ready is reported as leaving, so that it gets no work.
func (d *Daemon) localState() hyspeer.LocalState {
	return hyspeer.LocalState{Instance: d.self(), Leaving: !d.acceptsRequests(), Infos: d.reportedInfos()}
}

// updateReplicas keeps the dispatcher's replicas up to date, and makes this
// daemon ready once it is configured and knows the searchers.
func (d *Daemon) updateReplicas(ctx context.Context) {
	var configuredAt time.Time
	runEvery(ctx, replicasInterval, func(context.Context) {
		complete := d.setReplicas()
		if !d.configured() || d.keeper.State().HighestNumber() == 0 {
			return
		}
		if configuredAt.IsZero() {
			configuredAt = time.Now()
		}
		// An unreachable searcher must not delay the daemon forever.
		timedOut := time.Since(configuredAt) >= searchersTimeout
		if (complete || timedOut) && d.ready.CompareAndSwap(false, true) {
			d.log.Info("ready", "newest-ticket", d.keeper.State().HighestNumber(), "every-searcher-known", complete)
		}
	})
}

// setReplicas sets the dispatcher's replicas of every service. It reports whether
// the holdings of every listed searcher are known and every service has a
// complete shard map.
func (d *Daemon) setReplicas() bool {
	complete := true
	var targets hysreach.Targets
	for _, s := range d.keeper.State().Services() {
		replicas := d.replicas(s.Name)
		for _, r := range replicas {
			targets = append(targets, hysreach.Target{Searcher: r.Searcher, Incarnation: r.Incarnation})
		}
		d.dispatcher.SetReplicas(s.Name, replicas, s.SearcherSlots)
		_, ok := d.view.Snapshot(s.Name)
		complete = complete && ok && len(replicas) == len(d.view.Searchers(s.Name))
	}
	if !slices.Equal(targets, d.targets) {
		d.targets = targets
		d.prober.SetTargets(targets)
	}
	return complete
}

func (d *Daemon) replicas(service hysservice.Name) []hysdispatch.Replica {
	var replicas []hysdispatch.Replica
	for _, s := range d.view.Searchers(service) {
		info, ok := d.view.Info(s.ID)
		if !ok {
			continue
		}
		s.Leaving = s.Leaving || info.Draining
		replicas = append(replicas, hysdispatch.Replica{
			Searcher: s, Incarnation: info.Incarnation, Holdings: info.Holdings,
		})
	}
	return replicas
}
