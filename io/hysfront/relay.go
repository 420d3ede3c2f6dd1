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

// Reasons why other daemons told nothing.
const (
	errNotFresh = errors.ConstError("the store does not serve that instance either")
	errNobody   = errors.ConstError("no other instance is known")
)

// Rhythm and bounds of asking other daemons.
const (
	relayInterval = 400 * time.Millisecond
	// firstRelayInterval is that of a daemon without any configuration.
	firstRelayInterval = 100 * time.Millisecond
	// maxNewsAge is how old the news of another daemon may be while the store
	// does not serve this one.
	maxNewsAge = 3 * time.Second
	// wholeInterval is the least time between two questions for everything.
	wholeInterval = time.Second
	// askedInstances is how many daemons are asked in one round.
	askedInstances = 3
)

// relay asks other daemons for what the store does not tell this one.
func (f *Front) relay(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, f.relayPause()) {
		if !f.needsOthers() {
			continue
		}
		err := f.askOthers(ctx)
		switch {
		case err == nil:
			if away, ok := f.others.regain(0); ok {
				f.log.Info("other instances reached", "away", away)
			}
		case f.others.lose():
			f.log.Warn("no other instance reached", "error", err)
		}
	}
}

// needsOthers reports whether other daemons are asked: the store does not serve
// this one, or this one lags behind it. A daemon that has just started does not
// wait for a store that hangs.
func (f *Front) needsOthers() bool {
	return f.store.isLost() || !f.listed.Load() || f.knowledge.age() > f.longestAge()
}

// relayPause is the time until others are asked again.
func (f *Front) relayPause() time.Duration {
	if f.configuration() == nil {
		return firstRelayInterval
	}
	return relayInterval
}

// askOthers takes over what one of some other daemons knows.
func (f *Front) askOthers(ctx context.Context) error {
	peers := f.peers().ByDistance(f.settings.Zone, f.settings.Region, f.lastAsked)
	last := fmt.Errorf("askOthers: %w", errNobody)
	for _, i := range peers[:min(len(peers), askedInstances)] {
		if _, err := f.askInstance(ctx, i, 0, min(maxNewsAge, f.knowledge.age())); err != nil {
			last = fmt.Errorf("askOthers: %w", err)
			f.lastAsked = ""
			continue
		}
		f.lastAsked = i.ID
		return nil
	}
	return last
}

// peers are the other daemons that the store has named.
func (f *Front) peers() hysmember.Instances {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.announced), func(i hysmember.Instance) bool {
		return i.Address == "" || i.ID == f.settings.Instance
	})
}

// askInstance takes over what another daemon has learned since it was last
// asked, unless that is too old. It returns how old it is.
func (f *Front) askInstance(ctx context.Context, i hysmember.Instance, wait, maxAge time.Duration) (time.Duration, error) {
	told := f.directory.Version()
	n, err := f.relayed.Follow(ctx, i.Address, f.question(i.ID, wait))
	if err != nil {
		return 0, fmt.Errorf("ask %s: %w", i.ID, err)
	}
	if n.Revision == 0 || n.Age > maxAge {
		return 0, fmt.Errorf("ask %s, served %s ago: %w", i.ID, n.Age, errNotFresh)
	}
	f.noteTold(i.ID, n.Cursor.Incarnation, told)
	return n.Age, f.adopt(i.ID, n)
}

// question asks a daemon for what this one has not heard of it yet, and tells it
// of the searchers that are leaving.
func (f *Front) question(id hysmember.InstanceID, wait time.Duration) hysrelay.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hysrelay.FollowRequest{Since: f.cursors[id], Wait: wait, Departures: f.directory.DeparturesSince(f.told[id].Version)}
}

// noteTold notes up to which version a daemon knows what this one has told it.
// One that has started anew knows nothing of it.
func (f *Front) noteTold(id hysmember.InstanceID, source string, version hysmember.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.told[id]; known.Incarnation != source && known.Incarnation != "" {
		version = 0
	}
	f.told[id] = hysrelay.Cursor{Incarnation: source, Version: version}
}

// adopt takes the news of another daemon over.
func (f *Front) adopt(from hysmember.InstanceID, n hysrelay.FollowReply) error {
	var c StoredConfiguration
	if len(n.Configuration) > 0 {
		var err error
		if c, err = f.source.Decode(n.Configuration); err != nil {
			return fmt.Errorf("adopt the news of %s: %w", from, err)
		}
		c.Revision = n.ConfigurationRevision
	}
	if n.Searchers.Full {
		f.log.Info("news taken from another instance", "from", from, "revision", n.Revision, "age-ms", n.Age.Milliseconds())
	}
	changes := f.directory.Apply(n.Searchers, n.Revision)
	f.listed.Store(true)
	f.noteChanges(changes)
	f.configure(c)
	if len(n.Instances) > 0 {
		f.noteInstances(n.Instances)
	}
	f.mergeSuspects(n.Suspects)
	f.knowledge.raise(n.Revision)
	f.knowledge.complete(time.Now().Add(-n.Age))
	f.advance(from, n)
	return nil
}

// advance notes where the news of another daemon go on. If the searchers known
// here are not those known there, everything is asked for again, after a while:
// the other daemon may only lag.
func (f *Front) advance(from hysmember.InstanceID, n hysrelay.FollowReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursors[from] = n.Cursor
	if f.directory.Digest() == n.Searchers.Digest || time.Since(f.wholeAt) < wholeInterval {
		return
	}
	f.wholeAt = time.Now()
	delete(f.cursors, from)
}

// tell answers another daemon, as soon as there is news for it.
func (f *Front) tell(ctx context.Context, q hysrelay.FollowRequest) hysrelay.FollowReply {
	f.noteChanges(f.directory.MarkAllLeaving(q.Departures))
	since := q.Since
	if since.Incarnation != f.start {
		since = hysrelay.Cursor{}
	}
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	select {
	case <-f.directory.Changed(since.Version):
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.news(since.Version)
}

// news is what this daemon has learned since a version.
func (f *Front) news(since hysmember.Version) hysrelay.FollowReply {
	if !f.listed.Load() {
		return hysrelay.FollowReply{}
	}
	// The age is taken first: what comes meanwhile only makes it too high.
	n := hysrelay.FollowReply{Age: f.knowledge.age(), Revision: f.directory.ConfirmedRevision(f.knowledge.upTo())}
	n.Searchers = f.directory.Since(since)
	n.Cursor = hysrelay.Cursor{Incarnation: f.start, Version: n.Searchers.Version}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.newest.Load(); c != nil && (n.Searchers.Full || f.configurationChanged > since) {
		n.Configuration, n.ConfigurationRevision = c.Raw, c.Revision
	}
	if n.Searchers.Full || f.instancesChanged > since {
		n.Instances = f.announced
	}
	if n.Searchers.Full || f.suspectsChanged > since {
		n.Suspects = f.suspects.Records()
	}
	return n
}
