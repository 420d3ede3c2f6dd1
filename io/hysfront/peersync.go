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

// Timing of requesting updates from other daemons.
const (
	// peerCheckInterval is the time between two looks at whether updates must come from
	// others.
	peerCheckInterval = 100 * time.Millisecond
	// storeAnswerMargin is how late the answer to a watch of the store may be before
	// others are asked.
	storeAnswerMargin = 300 * time.Millisecond
	// maxUpdateAge is the maximum age of another daemon's state while the store
	// does not serve this one.
	maxUpdateAge = 3 * time.Second
	// startAskTime is how long after its start a daemon asks others what they know.
	startAskTime = 2 * time.Second
	// fullStateInterval is the minimum time between two requests for a full state.
	fullStateInterval = time.Second
)

// Reasons for which no other daemon sends updates.
const (
	errNoPeers = errors.ConstError("no other instance is known")
	errNoNewer = errors.ConstError("no instance that was asked has a newer state")
)

// syncFromPeers requests from other daemons what the store does not provide to this
// one.
func (f *Front) syncFromPeers(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, f.peerSyncDelay()) {
		if !f.needsPeers() {
			f.sources.Release()
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
	if f.asksAtStart() || f.store.isUnavailable() || !f.searchersKnown.Load() {
		return true
	}
	// What another daemon has sent makes the state young, but says nothing of the store.
	if adopted := f.sources.AdoptedAt(); !adopted.IsZero() {
		return !f.store.markedSince(adopted)
	}
	return f.storeView.age() > f.maxOwnAge()
}

// maxOwnAge returns the maximum age of this daemon's state while all is well.
func (f *Front) maxOwnAge() time.Duration {
	if f.following.Load() {
		return f.maxReaderAge()
	}
	return f.readInterval() + storeAnswerMargin
}

// asksAtStart reports whether this daemon has just started and must still ask others:
// the store may have come back from a copy that lacks what they know.
func (f *Front) asksAtStart() bool {
	return !f.settings.FirstStart && !f.peersAsked.Load() && time.Since(f.started) < startAskTime && len(f.peers()) > 0
}

// peerSyncDelay returns the time until the next round.
func (f *Front) peerSyncDelay() time.Duration {
	switch {
	case !f.sources.AdoptedAt().IsZero():
		return followInterval
	case f.configuration() == nil || f.asksAtStart():
		return peerCheckInterval
	default:
		return f.sources.Delay()
	}
}

// pullFromPeers applies the updates of the source in use, or finds one.
func (f *Front) pullFromPeers(ctx context.Context) error {
	peers := f.peers()
	source, ok := f.sources.Current(peers)
	if !ok {
		return f.findSource(ctx, peers)
	}
	_, err := f.pullFrom(ctx, source, pull{wait: followWait, maxAge: f.maxReaderAge()})
	if err == nil {
		return nil
	}
	f.log.Info("updates of another instance not used", "from", source.ID, "known-age-ms", f.storeView.age().Milliseconds(), "error", err)
	f.sources.Reject(source.ID)
	return f.findSource(ctx, peers)
}

// findSource asks some other daemons, and follows the first one that has newer updates.
func (f *Front) findSource(ctx context.Context, peers hysmember.Instances) error {
	if len(peers) == 0 {
		return fmt.Errorf("findSource: %w", errNoPeers)
	}
	candidates := f.sources.Candidates(peers)
	if !f.searchersKnown.Load() || f.asksAtStart() {
		return f.adoptFirst(ctx, candidates, maxUpdateAge)
	}
	maxAge := min(maxUpdateAge, f.storeView.age())
	newer, ok := f.firstNewer(ctx, candidates, maxAge)
	if !ok {
		return fmt.Errorf("findSource: %w", errNoNewer)
	}
	return f.adoptFirst(ctx, hysmember.Instances{newer}, maxAge)
}

// adoptFirst requests the state of several daemons in turn. The first one whose state is
// not older than maxAge becomes the source.
func (f *Front) adoptFirst(ctx context.Context, candidates hysmember.Instances, maxAge time.Duration) error {
	lastErr := fmt.Errorf("adoptFirst: %w", errNoNewer)
	for _, i := range candidates {
		age, err := f.pullFrom(ctx, i, pull{maxAge: maxAge})
		if err != nil {
			lastErr = fmt.Errorf("adoptFirst: %w", err)
			f.sources.Reject(i.ID)
			continue
		}
		if f.sources.Adopt(i.ID) {
			f.log.Info("updates come from another instance", "from", i.ID, "age-ms", age.Milliseconds())
		}
		return nil
	}
	return lastErr
}

// ageAnswer is the answer of a daemon to the question for its age.
type ageAnswer struct {
	from  hysmember.Instance
	newer bool
}

// firstNewer asks several daemons at the same time how old their state is. It returns
// the first one to answer whose state is younger than maxAge, and rejects those that have
// answered before it. It returns false if there is none.
func (f *Front) firstNewer(ctx context.Context, candidates hysmember.Instances, maxAge time.Duration) (hysmember.Instance, bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	answers := make(chan ageAnswer, len(candidates))
	for _, i := range candidates {
		go func() { answers <- ageAnswer{from: i, newer: f.isYounger(ctx, i, maxAge)} }()
	}
	for range candidates {
		a := <-answers
		if a.newer {
			return a.from, true
		}
		f.sources.Reject(a.from.ID)
	}
	return hysmember.Instance{}, false
}

// isYounger asks a daemon whether its state is younger than maxAge.
func (f *Front) isYounger(ctx context.Context, i hysmember.Instance, maxAge time.Duration) bool {
	reply, err := f.relayClient.Follow(ctx, i.Address, hysrelay.FollowRequest{AgeOnly: true, Era: f.eras.Current()})
	switch {
	case err != nil, reply.Revision.IsZero(), f.earlierEra(reply.Revision, false):
		return false
	default:
		return reply.Age < maxAge
	}
}

// peers returns the other announced daemons that have an address.
func (f *Front) peers() hysmember.Instances {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.announced), func(i hysmember.Instance) bool {
		return i.Address == "" || i.ID == f.settings.Instance
	})
}
