// Package hyspermit obtains permits of rate limits for an instance, and answers the
// asks of others for them.
//
// Sends that need permits are known to the dispatcher. The keeper collects its asks,
// sends one message for each group of searchers to the group's allocator, and applies
// the reply. If the allocator does not answer, it asks the one that is second in rank,
// and tries the first one again in the background.
//
// # Usage
//
//	k := &hyspermit.Keeper{Self: id, Ranking: hyslimit.NewRanking(spread), ...}
//	go k.Run(ctx)
//	dispatcher := hysdispatch.New(send, hysdispatch.WithPermits(k.Need, count))
//	reply := k.Serve(request) // for each message of another instance
//
// Lock order: Keeper.mu is a leaf lock.
package hyspermit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
)

// Times of the messages.
const (
	// roundInterval is the time between two checks for asks, while some are due soon.
	roundInterval = 10 * time.Millisecond
	// callTimeout is how long an allocator may take to answer.
	callTimeout = 200 * time.Millisecond
	// retryInterval is the time after which an instance that did not answer, or has
	// declined, is tried again.
	retryInterval = time.Second
)

// Errors of an ask.
const (
	// ErrDeclined means that the instance does not answer asks for the group.
	ErrDeclined = errors.ConstError("the instance does not hand out permits of the group")
	// ErrNoAllocator means that no other instance is known.
	ErrNoAllocator = errors.ConstError("no allocator is known")
)

// Request asks for permits of the searchers of one group.
type Request struct {
	Group   hyslimit.Group
	Skipped hyslimit.Skipped
	Asks    hyslimit.Asks
}

// Keeper obtains permits. All exported fields must be set.
type Keeper struct {
	Self      hysmember.InstanceID
	Ranking   *hyslimit.Ranking
	Allocator *hyslimit.Allocator
	// Declines reports whether this instance answers no asks.
	Declines func() bool
	// Asks returns the asks that are due, and whether others will be soon.
	Asks func() (hysdispatch.LimitAsks, bool)
	// Apply applies a grant, or that there is none.
	Apply func(hysdispatch.LimitAsk, time.Time, hyslimit.Grant, bool)
	// Call asks another instance. The error wraps ErrDeclined if it has declined.
	Call func(context.Context, hysmember.Instance, Request) (hyslimit.Grants, error)
	Log  *slog.Logger

	once   sync.Once
	needed chan struct{}

	mu      sync.Mutex
	skipped map[hysmember.InstanceID]*skip
	// failing are the groups for which no instance answers.
	failing map[hyslimit.Group]bool
	// standings are those by which this instance last answered the asks for a group.
	standings map[hyslimit.Group]hyslimit.Standing
	// predecessorsAskedAt is when the predecessors in a group were last asked.
	predecessorsAskedAt map[hyslimit.Group]time.Time
}

// skip is why and until when an instance is not asked.
type skip struct {
	reason hyslimit.Skipped
	until  time.Time
	// retrying is set while it is tried again.
	retrying bool
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.needed = make(chan struct{}, 1)
		k.skipped = make(map[hysmember.InstanceID]*skip)
		k.failing = make(map[hyslimit.Group]bool)
		k.standings = make(map[hyslimit.Group]hyslimit.Standing)
		k.predecessorsAskedAt = make(map[hyslimit.Group]time.Time)
	})
}

// Need reports that a send needs a permit. It never blocks.
func (k *Keeper) Need() {
	k.init()
	select {
	case k.needed <- struct{}{}:
	default:
	}
}

// Run sends asks until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	k.init()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.needed:
		}
		for k.round(ctx, &wait) && ctx.Err() == nil {
			time.Sleep(roundInterval)
		}
	}
}

// round sends the asks that are due, and reports whether others will be soon.
func (k *Keeper) round(ctx context.Context, wait *sync.WaitGroup) bool {
	due, pending := k.Asks()
	byGroup := make(map[hyslimit.Group]hysdispatch.LimitAsks)
	for _, ask := range due {
		group := hyslimit.GroupOf(ask.Searcher, ask.Region)
		byGroup[group] = append(byGroup[group], ask)
	}
	for group, asks := range byGroup {
		wait.Go(func() { k.ask(ctx, group, asks) })
	}
	return pending
}

// ask asks for the permits of a group and applies the grants.
func (k *Keeper) ask(ctx context.Context, group hyslimit.Group, asks hysdispatch.LimitAsks) {
	request := Request{Group: group}
	for _, ask := range asks {
		request.Asks = append(request.Asks, ask.Ask)
	}
	grants, askedAt, err := k.request(ctx, request)
	k.logFailing(group, len(asks), err)
	bySearcher := make(map[hysmember.SearcherID]hyslimit.Grant, len(grants))
	for _, g := range grants {
		bySearcher[g.Searcher] = g
	}
	for _, ask := range asks {
		grant, ok := bySearcher[ask.Searcher]
		k.Apply(ask, askedAt, grant, ok && grant.Incarnation == ask.Incarnation)
	}
}

// logFailing logs when the asks of a group begin to fail, and when they succeed again.
func (k *Keeper) logFailing(group hyslimit.Group, searchers int, err error) {
	k.mu.Lock()
	before := k.failing[group]
	k.failing[group] = err != nil
	k.mu.Unlock()
	attributes := []any{"region", group.Region, "group", group.Number, "searchers", searchers}
	switch {
	case err != nil && !before:
		k.Log.Warn("no permits of rate limits", append(attributes, "error", err)...)
	case err == nil && before:
		k.Log.Info("permits of rate limits again", attributes...)
	}
}

// request asks the candidates of a group in turn. It returns when the one was asked
// that has answered.
func (k *Keeper) request(ctx context.Context, r Request) (hyslimit.Grants, time.Time, error) {
	err := fmt.Errorf("Keeper.request: %w", ErrNoAllocator)
	for n, candidate := range k.Ranking.Candidates(r.Group) {
		if reason := k.skippedNow(ctx, candidate, r.Group, n); reason != hyslimit.SkippedNot {
			r.Skipped = reason
			continue
		}
		askedAt := time.Now()
		var grants hyslimit.Grants
		if grants, err = k.call(ctx, candidate, r); err == nil {
			return grants, askedAt, nil
		}
		r.Skipped = k.skip(candidate.ID, err)
	}
	return nil, time.Now(), err
}

// call asks one candidate, which may be this instance.
func (k *Keeper) call(ctx context.Context, to hysmember.Instance, r Request) (hyslimit.Grants, error) {
	if to.ID == k.Self {
		return k.Serve(r)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grants, err := k.Call(ctx, to, r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", to.ID, err)
	}
	return grants, nil
}

// Serve answers a request as the allocator of its group, or as the second in rank. The
// error wraps ErrDeclined if this instance is neither.
func (k *Keeper) Serve(r Request) (hyslimit.Grants, error) {
	standing := k.Ranking.StandingOf(k.Self, r.Group)
	k.logStanding(r.Group, standing)
	if standing.AwaitsHandover() {
		k.askPredecessors(r.Group)
	}
	mode, ok := standing.Mode(r.Skipped)
	if !ok || k.Declines() {
		return nil, fmt.Errorf("Keeper.Serve: %w", ErrDeclined)
	}
	return k.Allocator.Grant(r.Asks, mode), nil
}

// logStanding logs when this instance answers asks for a group by another standing than
// before.
func (k *Keeper) logStanding(group hyslimit.Group, s hyslimit.Standing) {
	k.init()
	k.mu.Lock()
	before, known := k.standings[group]
	k.standings[group] = s
	k.mu.Unlock()
	if known && before == s || !known && s.Settled {
		return
	}
	k.Log.Info("place among the allocators of rate limits", "region", group.Region, "group", group.Number,
		"place", s.Place.String(), "settled", s.Settled, "was-first", s.WasFirst, "before", before.Place.String())
}

// skip records that a candidate did not answer, and returns the reason.
func (k *Keeper) skip(id hysmember.InstanceID, err error) hyslimit.Skipped {
	reason := hyslimit.SkippedSilent
	if errors.Is(err, ErrDeclined) {
		reason = hyslimit.SkippedDeclined
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.skipped[id]; known == nil || known.reason != reason {
		k.Log.Warn("allocator of rate limits skipped", "allocator", id, "reason", reason.String(), "error", err)
	}
	k.skipped[id] = &skip{reason: reason, until: time.Now().Add(retryInterval)}
	return reason
}

// skippedNow returns why a candidate with a place in the rank is not to be asked now. If
// it is time to try the first one again, that begins in the background. The second one
// is simply asked again.
func (k *Keeper) skippedNow(ctx context.Context, candidate hysmember.Instance, group hyslimit.Group, place int) hyslimit.Skipped {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.skipped[candidate.ID]
	if known == nil {
		return hyslimit.SkippedNot
	}
	if time.Now().Before(known.until) || known.retrying {
		return known.reason
	}
	if place > 0 {
		return hyslimit.SkippedNot
	}
	known.retrying = true
	go k.retry(ctx, candidate, group)
	return known.reason
}

// retry asks a candidate for nothing, to see whether it answers again.
func (k *Keeper) retry(ctx context.Context, candidate hysmember.Instance, group hyslimit.Group) {
	if _, err := k.call(ctx, candidate, Request{Group: group}); err != nil {
		k.skip(candidate.ID, err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.skipped, candidate.ID)
	k.Log.Info("allocator of rate limits asked again", "allocator", candidate.ID)
}
