package hysdaemon

import (
	"context"
	"sync"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hyspeer"
)

type (
	serviceName = hysservice.Name
	shardID     = hysservice.ShardID
)

// Intervals of the background loops.
const (
	listInterval    = time.Second
	observeInterval = 500 * time.Millisecond
	assignInterval  = 100 * time.Millisecond
	infoTimeout     = 400 * time.Millisecond
)

// searchersGrace is how long a configured daemon waits to learn what every
// listed searcher holds before it takes requests all the same.
const searchersGrace = 3 * time.Second

// every calls work at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, work func(context.Context)) {
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

// followList reads the platform's instance list.
func (d *Daemon) followList(ctx context.Context) {
	every(ctx, listInterval, func(ctx context.Context) {
		list, err := d.store.Instances(ctx)
		if err != nil {
			return
		}
		d.storeRead.Store(time.Now().UnixNano())
		d.view.SetList(list)
		d.retainDraining(list)
		listed := make(map[hysmember.InstanceID]bool, len(list.Instances))
		for _, i := range list.Instances {
			listed[i.ID] = true
		}
		d.reports.Retain(func(id hysmember.InstanceID) bool {
			return listed[id] || id == d.settings.Instance
		})
	})
}

func (d *Daemon) retainDraining(list hysmember.List) {
	listed := make(map[hysmember.SearcherID]bool, len(list.Searchers))
	for _, s := range list.Searchers {
		listed[s.ID] = true
	}
	d.draining.Retain(func(id hysmember.SearcherID) bool { return listed[id] })
}

// observe asks the searchers that this instance observes what they hold.
func (d *Daemon) observe(ctx context.Context) {
	every(ctx, observeInterval, func(ctx context.Context) {
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

// own is what this daemon tells its peers of itself. One that is not ready
// gets no work, like one that is leaving.
func (d *Daemon) own() hyspeer.LocalState {
	return hyspeer.LocalState{Instance: d.self(), Leaving: !d.takesRequests(), Infos: d.told()}
}

// assign gives the dispatcher the searchers of every service.
func (d *Daemon) assign(ctx context.Context) {
	var configured time.Time
	every(ctx, assignInterval, func(context.Context) {
		complete := d.assignSearchers()
		if !d.configured() || d.keeper.State().HighestNumber() == 0 {
			return
		}
		if configured.IsZero() {
			configured = time.Now()
		}
		// A lost searcher must not keep the daemon waiting for good.
		waited := time.Since(configured) >= searchersGrace
		if (complete || waited) && d.ready.CompareAndSwap(false, true) {
			d.log.Info("ready", "newest-ticket", d.keeper.State().HighestNumber(), "every-searcher-known", complete)
		}
	})
}

// assignSearchers reports whether it is known of every listed searcher what it
// holds, and whether every service has a complete shard map.
func (d *Daemon) assignSearchers() bool {
	complete := true
	for _, s := range d.keeper.State().Services() {
		replicas := d.replicas(s.Name)
		d.dispatcher.SetReplicas(s.Name, replicas, s.SearcherSlots)
		_, ok := d.view.Snapshot(s.Name)
		complete = complete && ok && len(replicas) == len(d.view.Searchers(s.Name))
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
