package hysfront

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// Timing of this instance's announcement in the store.
const (
	announceLease = 30 * time.Second
	renewInterval = 9 * time.Second
	// announceRetryInterval is the minimum time until an announcement that has failed is
	// made again.
	announceRetryInterval = 3 * time.Second
	// firstListInterval is the time between two reads of the list of instances while none
	// has succeeded: until then this daemon knows nobody whom it could ask.
	firstListInterval = 1 * time.Second
	// startupWindow is the time within which all daemons have announced themselves
	// if they start at the same time.
	startupWindow = 500 * time.Millisecond
	// announceShare is the share of the store's writes that all daemons together use to
	// announce themselves again in a new era, announceWrites the writes that one needs.
	announceShare  = 0.25
	announceWrites = 2
	// settleMargin is how long after the last of them the list may still lack some.
	settleMargin = renewInterval + 3*time.Second
)

// announce keeps this instance announced in the store. It reads the other instances
// and the crash evidence from there too, unless this daemon follows a reader, which
// sends them.
func (f *Front) announce(ctx context.Context) {
	f.readSharedState(ctx)
	f.markUnlisted()
	alone := len(f.peers()) == 0
	if !alone || !f.settings.FirstStart {
		close(f.peersKnown)
	}
	lease := f.keepAnnounced(ctx, announcement{})
	sleep(ctx, startupWindow)
	if alone && f.settings.FirstStart {
		// All daemons start at the same time: by now they have announced
		// themselves.
		f.readSharedState(ctx)
		close(f.peersKnown)
	}
	for ctx.Err() == nil {
		if !f.following.Load() {
			f.readSharedState(ctx)
		}
		f.awaitRenewal(ctx, f.renewDelay(lease))
		lease = f.keepAnnounced(ctx, lease)
	}
}

// renewDelay returns the time until an announcement must be renewed and the list of
// instances read again. While there is no announcement, others do not count this
// instance, so that it is tried again sooner, but not by all daemons at the same time.
func (f *Front) renewDelay(a announcement) time.Duration {
	switch {
	case !f.instancesRead.Load() && !f.following.Load():
		return firstListInterval
	case a.lease != 0:
		return renewInterval
	}
	return min(renewInterval, max(announceRetryInterval, f.announceSpread()))
}

// awaitRenewal waits until the announcement must be renewed, or made again because the
// store may have lost it.
func (f *Front) awaitRenewal(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.announceAgain:
		sleep(ctx, f.announceDelay())
	}
}

// listSpreadTime is the time within which all daemons know a new one.
const listSpreadTime = 2 * renewInterval

// markUnlisted keeps a daemon that was not announced before from handing out permits
// until all others know it. Until then some of them ask another daemon. When all
// daemons start for the first time, they know each other at once.
func (f *Front) markUnlisted() {
	f.mu.Lock()
	listed := slices.ContainsFunc(f.announced, func(i hysmember.Instance) bool { return i.ID == f.settings.Instance })
	f.mu.Unlock()
	if listed || f.settings.FirstStart {
		return
	}
	f.unlisted.Store(true)
	time.AfterFunc(listSpreadTime, func() { f.unlisted.Store(false) })
}

// readSharedState reads and applies what the daemons have written to the store for
// each other.
func (f *Front) readSharedState(ctx context.Context) {
	shared, err := f.source.ReadSharedState(ctx)
	if err != nil {
		// The last known state stays in force. The loop that follows the store logs
		// its failures.
		return
	}
	f.instancesRead.Store(true)
	f.observeEra(f.eras.Current())
	f.applyEvidence(shared.Evidence)
	if len(shared.Instances) > 0 {
		f.setInstances(shared.Instances)
	}
}

// setInstances applies the list of announced instances: it adjusts this daemon's
// share of the budgets to their number, and updates the dispatcher's replicas.
func (f *Front) setInstances(instances hysmember.Instances) {
	f.missingInList.Store(!instances.Contains(f.settings.Instance))
	f.mu.Lock()
	instances = f.withUnlisted(instances)
	changed := !slices.Equal(f.announced, instances)
	if changed {
		f.announced, f.instancesChanged = instances, f.directory.BumpVersion()
	}
	peak := int64(f.peakCount.Add(time.Now(), len(instances)))
	f.mu.Unlock()
	count := int64(len(instances))
	before, peakBefore := f.instanceCount.Swap(count), f.peakInstances.Swap(peak)
	if before != count || peakBefore != peak {
		f.log.Info("instances counted", "count", count, "before", before, "peak", peak)
		f.updateBudgets()
	}
	if changed {
		f.setRanking(instances)
		f.relays.SetInstances(f.self(), instances)
		f.updateReplicas()
	}
}

// setRanking applies the list to the ranks of the allocators. While all daemons start for
// the first time, they know each other at once.
func (f *Front) setRanking(instances hysmember.Instances) {
	if f.settings.FirstStart && time.Since(f.started) < listSpreadTime {
		f.permits.Ranking.Reset(instances)
		return
	}
	f.permits.Ranking.SetInstances(instances)
}

// self returns this instance as it is announced to the others.
func (f *Front) self() hysmember.Instance {
	s := f.settings
	return hysmember.Instance{ID: s.Instance, Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, ProcessorShare: s.ProcessorShare}
}

// announcement is the lease of this instance's announcement, and the era of the store in
// which it was granted. In a later era the lease is lost, and its id may be another's.
type announcement struct {
	lease LeaseID
	era   hysmember.Era
	// confirmations counts how often the store has listed the instance under the lease.
	confirmations int
}

// keepAnnounced renews the lease of the announcement. If that fails, or the instance is
// listed under another lease or not at all, it announces the instance again. It returns the
// announcement in force, whose lease is 0 if there is none.
func (f *Front) keepAnnounced(ctx context.Context, a announcement) announcement {
	era := f.eras.Current()
	if a.lease != 0 && a.era == era {
		err := f.source.Renew(ctx, a.lease)
		if err == nil {
			a, err = f.confirm(ctx, a)
		}
		if err == nil {
			return a
		}
		f.log.Warn("announcement lease not renewed", "lease", a.lease, "error", err)
	}
	lease, err := f.source.Announce(ctx, f.self(), max(announceLease, f.settings.MinLease))
	if err != nil {
		f.log.Warn("instance not announced", "error", err)
		return announcement{}
	}
	if a.era != era && a.era != 0 {
		f.log.Info("instance announced again", "era", era, "before", a.era)
	}
	return announcement{lease: lease, era: era}
}

// neededConfirmations is at how many renewals after an announcement it is looked up. A write
// of an earlier start, or of another build, may be done seconds after it, and what is read may
// be seconds old: at the first renewal most are seen, at the second one all.
const neededConfirmations = 2

// confirm checks that the store lists this instance under the lease of its announcement, at
// the first renewals and whenever a list lacks the instance. The error is errReplaced if it
// does not.
func (f *Front) confirm(ctx context.Context, a announcement) (announcement, error) {
	missing := f.missingInList.Swap(false)
	if a.confirmations >= neededConfirmations && !missing {
		return a, nil
	}
	announced, err := f.source.IsAnnounced(ctx, f.settings.Instance, a.lease)
	switch {
	case err != nil:
		f.log.Warn("announcement not confirmed", "lease", a.lease, "error", err)
		a.confirmations = 0
		return a, nil
	case !announced:
		return a, errReplaced
	case missing:
		f.log.Info("announcement confirmed though a list lacks it", "lease", a.lease)
	}
	a.confirmations++
	return a, nil
}

// errReplaced means that the announcement in the store is not this one.
const errReplaced = errors.ConstError("the store lists this instance under another lease or not at all")

// announceSpread returns the time over which all daemons announce themselves again.
func (f *Front) announceSpread() time.Duration {
	rate := announceShare * f.settings.WritesPerSecond
	return time.Duration(float64(announceWrites*f.instanceCount.Load()) / rate * float64(time.Second))
}

// announceDelay returns a random part of announceSpread.
func (f *Front) announceDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(f.announceSpread()))
}

// withUnlisted adds the daemons that were announced before the store came back from a
// copy and may not have announced themselves again yet. A list that lacks them would let
// each daemon take a larger share of what all use together. The caller holds mu.
func (f *Front) withUnlisted(instances hysmember.Instances) hysmember.Instances {
	if !time.Now().Before(f.listSettlesAt) {
		return instances
	}
	all := append(hysmember.Instances{}, instances...)
	for _, i := range f.announced {
		if !instances.Contains(i.ID) {
			all = append(all, i)
		}
	}
	return all
}
