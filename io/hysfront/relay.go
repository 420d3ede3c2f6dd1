package hysfront

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysrelay"
)

// errStale means that another daemon's state is too old to be used.
const errStale = errors.ConstError("the store does not serve that instance either")

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
	f.applyReply(arrived, reply)
	return reply.Age, nil
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
func (f *Front) applyReply(a arrival, reply hysrelay.FollowReply) {
	from := a.from
	f.observeEra(reply.Revision.Era)
	var c StoredConfiguration
	if len(reply.Configuration) > 0 {
		c = f.source.Decode(reply.Configuration)
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
	f.eras.Raise(request.Era)
	if request.AgeOnly {
		return f.ageReply()
	}
	f.handleChanges(f.directory.MarkAllLeaving(request.Departures))
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

// ageReply returns how old the state of this daemon is, without the state.
func (f *Front) ageReply() hysrelay.FollowReply {
	if !f.searchersKnown.Load() {
		return hysrelay.FollowReply{}
	}
	return hysrelay.FollowReply{Age: f.storeView.age(), Revision: f.storeView.appliedRevision()}
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
