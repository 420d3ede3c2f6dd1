package hysfront

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysrelay"
)

// Reasons for which no updates came from other daemons.
const (
	errStale   = errors.ConstError("the store does not serve that instance either")
	errNoPeers = errors.ConstError("no other instance is known")
)

// Timing and bounds of requesting updates from other daemons.
const (
	peerSyncInterval = 400 * time.Millisecond
	// firstPeerSyncInterval is the interval of a daemon without any configuration.
	firstPeerSyncInterval = 100 * time.Millisecond
	// maxUpdateAge is the maximum age of another daemon's state while the store
	// does not serve this one.
	maxUpdateAge = 3 * time.Second
	// startAskTime is how long after its start a daemon asks others what they know.
	startAskTime = 2 * time.Second
	// fullStateInterval is the minimum time between two requests for a full state.
	fullStateInterval = time.Second
	// peersPerRound is the maximum number of daemons that are tried in one round.
	peersPerRound = 3
)

// syncFromPeers requests from other daemons what the store does not provide to this
// one.
func (f *Front) syncFromPeers(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, f.peerSyncDelay()) {
		if !f.needsPeers() {
			continue
		}
		err := f.pullFromPeers(ctx)
		switch {
		case err == nil:
			if outage, ok := f.otherInstances.markAvailable(0); ok {
				f.log.Info("other instances reachable again", "away", outage)
			}
		case f.otherInstances.markUnavailable():
			f.log.Warn("no other instance reachable", "error", err)
		}
	}
}

// needsPeers reports whether updates must come from other daemons: the store does
// not serve this one, or this one lags behind the store. A daemon that has just
// started does not wait for a store that hangs, and asks others once in any case.
func (f *Front) needsPeers() bool {
	return f.asksAtStart() || f.store.isUnavailable() || !f.searchersKnown.Load() || f.storeView.age() > f.maxReaderAge()
}

// asksAtStart reports whether this daemon has just started and must still ask others:
// the store may have come back from a copy that lacks what they know.
func (f *Front) asksAtStart() bool {
	return !f.settings.FirstStart && !f.peersAsked.Load() && time.Since(f.started) < startAskTime && len(f.peers()) > 0
}

// peerSyncDelay returns the time until the next round.
func (f *Front) peerSyncDelay() time.Duration {
	if f.configuration() == nil || f.asksAtStart() {
		return firstPeerSyncInterval
	}
	return peerSyncInterval
}

// pullFromPeers tries some other daemons in turn, and applies the updates of the
// first one that has recent ones.
func (f *Front) pullFromPeers(ctx context.Context) error {
	peers := f.peers().ByDistance(f.settings.Zone, f.settings.Region, f.lastPeer)
	lastErr := fmt.Errorf("pullFromPeers: %w", errNoPeers)
	maxAge := min(maxUpdateAge, f.storeView.age())
	if f.asksAtStart() {
		maxAge = maxUpdateAge
	}
	for _, i := range peers[:min(len(peers), peersPerRound)] {
		if _, err := f.pullFrom(ctx, i, pull{maxAge: maxAge}); err != nil {
			f.log.Info("updates of another instance not used", "from", i.ID, "known-age-ms", f.storeView.age().Milliseconds(), "error", err)
			lastErr = fmt.Errorf("pullFromPeers: %w", err)
			f.lastPeer = ""
			continue
		}
		if f.lastPeer != i.ID {
			f.log.Info("updates come from another instance", "from", i.ID, "known-age-ms", f.storeView.age().Milliseconds())
		}
		f.lastPeer = i.ID
		return nil
	}
	return lastErr
}

// peers returns the other announced daemons that have an address.
func (f *Front) peers() hysmember.Instances {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.announced), func(i hysmember.Instance) bool {
		return i.Address == "" || i.ID == f.settings.Instance
	})
}

// pull is how updates are requested from another daemon.
type pull struct {
	// wait is how long it may wait for updates, maxAge the maximum age of its state.
	wait   time.Duration
	maxAge time.Duration
	// follows is set if no updates come from the store meanwhile.
	follows bool
}

// pullFrom requests the updates of another daemon since the last request, and
// applies them unless the state of that daemon is too old. It returns the
// age of that state.
func (f *Front) pullFrom(ctx context.Context, i hysmember.Instance, p pull) (time.Duration, error) {
	version := f.directory.Version()
	reply, err := f.relayClient.Follow(ctx, i.Address, f.followRequest(i.ID, p.wait))
	if err != nil {
		return 0, fmt.Errorf("pull from %s: %w", i.ID, err)
	}
	if reply.Revision.IsZero() || reply.Age > p.maxAge {
		return 0, fmt.Errorf("pull from %s, whose state is %s old: %w", i.ID, reply.Age, errStale)
	}
	if f.earlierEra(reply.Revision, p.follows) {
		if f.catchingUp() {
			return reply.Age, nil
		}
		return 0, fmt.Errorf("pull from %s, whose state is of era %d: %w", i.ID, reply.Revision.Era, errStale)
	}
	f.recordReported(i.ID, reply.Cursor.Incarnation, version)
	arrived := arrival{way: wayInstance, from: i.ID, at: time.Now()}
	if p.follows {
		arrived.way = wayReader
	}
	return reply.Age, f.applyReply(arrived, reply)
}

// followRequest returns the request to another daemon for the updates since the
// last request. It also reports the leaving searchers that the other daemon has not
// received yet.
func (f *Front) followRequest(id hysmember.InstanceID, wait time.Duration) hysrelay.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hysrelay.FollowRequest{Since: f.cursors[id], Wait: wait, Era: f.eras.Current(), Departures: f.directory.DeparturesSince(f.reportedDepartures[id].Version)}
}

// recordReported records the version up to which another daemon has received the
// departures of searchers from this one. A daemon that has restarted has received
// none.
func (f *Front) recordReported(id hysmember.InstanceID, incarnation string, version hysmember.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.reportedDepartures[id]; known.Incarnation != incarnation && known.Incarnation != "" {
		version = 0
	}
	f.reportedDepartures[id] = hysrelay.Cursor{Incarnation: incarnation, Version: version}
}

// applyReply applies the updates of another daemon.
func (f *Front) applyReply(a arrival, reply hysrelay.FollowReply) error {
	from := a.from
	f.observeEra(reply.Revision.Era)
	var c StoredConfiguration
	if len(reply.Configuration) > 0 {
		var err error
		if c, err = f.source.Decode(reply.Configuration); err != nil {
			return fmt.Errorf("apply the updates of %s: %w", from, err)
		}
		c.Revision = reply.ConfigurationRevision
	}
	if reply.Searchers.Full {
		f.log.Info("updates applied from another instance", "from", from, "revision", reply.Revision, "age-ms", reply.Age.Milliseconds())
	}
	changes := f.directory.Apply(reply.Searchers, reply.Revision)
	f.searchersKnown.Store(true)
	f.handleChanges(changes)
	f.applyConfiguration(c, a)
	if len(reply.Instances) > 0 {
		f.setInstances(reply.Instances)
	}
	f.mergeSuspects(reply.Suspects)
	f.peersAsked.Store(true)
	f.storeView.advance(reply.Revision)
	f.storeView.markComplete(a.at.Add(-reply.Age))
	f.advanceCursor(from, reply)
	return nil
}

// advanceCursor records from where the updates of another daemon continue. If the
// searchers known here differ from those known there, the next request asks for the
// full state, though only after a while: the other daemon may just lag.
func (f *Front) advanceCursor(from hysmember.InstanceID, reply hysrelay.FollowReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursors[from] = reply.Cursor
	if f.directory.Digest() == reply.Searchers.Digest || time.Since(f.fullStateAt) < fullStateInterval {
		return
	}
	f.fullStateAt = time.Now()
	delete(f.cursors, from)
}

// serveFollow answers another daemon once there are updates for it, or when its
// wait ends.
func (f *Front) serveFollow(ctx context.Context, request hysrelay.FollowRequest) hysrelay.FollowReply {
	f.handleChanges(f.directory.MarkAllLeaving(request.Departures))
	f.eras.Raise(request.Era)
	since := request.Since
	if since.Incarnation != f.incarnation {
		since = hysrelay.Cursor{}
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	select {
	case <-f.directory.Changed(since.Version):
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.followReply(since.Version)
}

// followReply returns the updates of this daemon since a version.
func (f *Front) followReply(since hysmember.Version) hysrelay.FollowReply {
	if !f.searchersKnown.Load() {
		return hysrelay.FollowReply{}
	}
	// The age is read first, so that updates which arrive meanwhile can only make
	// it too high.
	reply := hysrelay.FollowReply{Age: f.storeView.age(), Revision: f.directory.ConfirmedRevision(f.storeView.appliedRevision())}
	reply.Searchers = f.directory.Since(since)
	reply.Cursor = hysrelay.Cursor{Incarnation: f.incarnation, Version: reply.Searchers.Version}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.inForce.Load(); c != nil && (reply.Searchers.Full || f.configurationChanged > since) {
		reply.Configuration, reply.ConfigurationRevision = c.Raw, c.Revision
	}
	if reply.Searchers.Full || f.instancesChanged > since {
		reply.Instances = f.announced
	}
	if reply.Searchers.Full || f.suspectsChanged > since {
		reply.Suspects = f.suspects.Records()
	}
	return reply
}
