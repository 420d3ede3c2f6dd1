package hysfront

import (
	"context"
	"slices"
	"time"

	"hyssopshore/core/hysmember"
)

// Rhythm of the announcement of this instance.
const (
	announceLease = 30 * time.Second
	renewInterval = 9 * time.Second
	// startSpan is the time within which the other daemons have announced
	// themselves too, if all start at once.
	startSpan = 500 * time.Millisecond
)

// announce lists this instance in the store and reads the others, unless a
// reader tells them.
func (f *Front) announce(ctx context.Context) {
	f.readShared(ctx)
	alone := len(f.peers()) == 0
	if !alone || !f.settings.FirstStart {
		close(f.neighboursRead)
	}
	lease := f.keepAnnounced(ctx, 0)
	sleep(ctx, startSpan)
	if alone && f.settings.FirstStart {
		// All start at once: now they have announced themselves.
		f.readShared(ctx)
		close(f.neighboursRead)
	}
	for ctx.Err() == nil {
		if !f.following.Load() {
			f.readShared(ctx)
		}
		sleep(ctx, renewInterval)
		lease = f.keepAnnounced(ctx, lease)
	}
}

// readShared reads what the other daemons have written to the store.
func (f *Front) readShared(ctx context.Context) {
	shared, err := f.source.ReadSharedState(ctx)
	if err != nil {
		// The last list holds; the store's state is logged by the readers.
		return
	}
	f.takeEvidence(shared.Evidence)
	if len(shared.Instances) > 0 {
		f.noteInstances(shared.Instances)
	}
}

// noteInstances adjusts this daemon's share to the number of daemons.
func (f *Front) noteInstances(instances hysmember.Instances) {
	f.mu.Lock()
	changed := !slices.Equal(f.announced, instances)
	if changed {
		f.announced, f.instancesChanged = instances, f.directory.BumpVersion()
	}
	f.mu.Unlock()
	count := int64(len(instances))
	before := f.instances.Swap(count)
	if before != count {
		f.log.Info("instances counted", "count", count, "before", before)
		f.shareBudgets()
	}
	if changed {
		f.assign()
	}
}

// self is this instance as others see it.
func (f *Front) self() hysmember.Instance {
	s := f.settings
	return hysmember.Instance{ID: s.Instance, Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, ProcessorShare: s.ProcessorShare}
}

// keepAnnounced renews the announcement, or makes a new one: a lease that can't be
// renewed has ended or is of no use while the store is away.
func (f *Front) keepAnnounced(ctx context.Context, lease LeaseID) LeaseID {
	if lease != 0 {
		err := f.source.Renew(ctx, lease)
		if err == nil {
			return lease
		}
		f.log.Warn("announcement not renewed", "lease", lease, "error", err)
	}
	lease, err := f.source.Announce(ctx, f.self(), max(announceLease, f.settings.MinLease))
	if err != nil {
		f.log.Warn("not announced", "error", err)
		return 0
	}
	return lease
}
