// Package hysgather answers a query from all of its shards.
//
// It pins one snapshot, sends one part of the query to each dispatcher of the
// shards, and merges the replies into one answer that states which shards it
// covers. A part whose dispatcher fails or stalls is resent to the next
// dispatcher of each of its shards. If searchers no longer serve the snapshot,
// the whole query starts again at a newer one while time allows.
//
// # Usage
//
//	g := hysgather.New(snapshot, dispatchers, send)
//	answer := g.Answer(ctx, hysgather.Request{Query: q, Service: s, Weight: 3})
//
// A Gatherer is safe for concurrent use. No other lock is taken while
// Gatherer.mu is held.
package hysgather

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslatency"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// ErrNotSent is returned by a SendFunc when no byte of the part has left this
// instance, and none will.
const ErrNotSent = errors.ConstError("the part was not sent")

// ErrMismatch means that a reply does not belong to the part that was sent.
const ErrMismatch = errors.ConstError("the reply belongs to another part")

// replyMargin is how long before the query's deadline at this instance a
// dispatcher must reply, in addition to the round trip, so that its reply can
// be merged.
const replyMargin = 10 * time.Millisecond

// maxAttempts is how many snapshots one query may be started at.
const maxAttempts = 3

// Delays after which a request that did not run may be sent again.
const (
	unavailableRetryAfter = time.Second
	overloadedRetryAfter  = 50 * time.Millisecond
)

// Retry budget for parts that are resent to a further dispatcher: a share of
// the first sends and a constant slack.
const (
	resendShare = 0.05
	resendSlack = 20
)

// Part is the part of a query that is sent to one dispatcher: the shards that
// it is to query, at one snapshot.
type Part struct {
	Query    hysquery.Query
	Weight   uint32
	Version  hyssnapshot.Version
	Epoch    hyssnapshot.Epoch
	Shards   []hysservice.ShardID
	Deadline time.Time
	// Proven is true once the query has succeeded on a searcher.
	Proven bool
}

// Request is a query with its service's configuration and its group's weight.
type Request struct {
	Query   hysquery.Query
	Service hysservice.Service
	Weight  uint32
}

// Callbacks of a Gatherer.
type (
	// SnapshotFunc returns the shard map of a service, and false if no complete
	// one is known.
	SnapshotFunc func(hysservice.Name) (hyssnapshot.Map, bool)
	// RankFunc returns the dispatchers of a shard, the preferred one first.
	RankFunc func(hysservice.Name, hysservice.ShardID) hysmember.Instances
	// SendFunc sends a part to a dispatcher and returns its replies. An error
	// means that no reply came; only with ErrNotSent is it certain that the
	// part never runs.
	SendFunc func(context.Context, hysmember.Instance, Part) ([]hysdispatch.SubReply, error)
)

// Gatherer answers queries.
type Gatherer struct {
	now      func() time.Time
	snapshot SnapshotFunc
	rank     RankFunc
	send     SendFunc
	budget   *hysbudget.Budget
	canary   *Canary

	mu      sync.Mutex
	latency map[hysservice.Name]*hyslatency.Window
	// lastReply is when each dispatcher last replied to a part.
	lastReply map[hysmember.InstanceID]time.Time
}

// Option configures a Gatherer.
type Option func(*Gatherer)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(g *Gatherer) { g.now = now }
}

// WithResendBudget replaces the retry budget for parts that are resent to a
// further dispatcher.
func WithResendBudget(budget *hysbudget.Budget) Option {
	return func(g *Gatherer) { g.budget = budget }
}

// New returns a gatherer.
func New(snapshot SnapshotFunc, rank RankFunc, send SendFunc, options ...Option) *Gatherer {
	g := &Gatherer{
		now: time.Now, snapshot: snapshot, rank: rank, send: send,
		budget:    hysbudget.New(resendShare, resendSlack),
		latency:   make(map[hysservice.Name]*hyslatency.Window),
		lastReply: make(map[hysmember.InstanceID]time.Time),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Answer returns the final answer to a query, by its deadline at the latest.
// The end of the context cancels the query on all dispatchers.
func (g *Gatherer) Answer(ctx context.Context, r Request) hysquery.Answer {
	deadline := g.now().Add(r.timeLimit())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	q := &queryRun{gatherer: g, request: r, deadline: deadline}
	return q.run(ctx)
}

// timeLimit returns how long the query may take.
func (r Request) timeLimit() time.Duration {
	deadline := r.Query.Deadline.Duration()
	if r.Service.WaitForCoverage || r.Query.NonIdempotent {
		return deadline
	}
	return min(deadline, r.Service.LatencyGoal.Duration())
}

// part returns the part for a dispatcher, without its shards.
func (r Request) part(p pinnedSnapshot, deadline time.Time) Part {
	return Part{
		Query: r.Query, Weight: r.Weight, Version: p.version, Epoch: p.shardMap.Epoch,
		Deadline: deadline.Add(-replyMargin),
	}
}

// pinnedSnapshot is the snapshot that one attempt runs at.
type pinnedSnapshot struct {
	version  hyssnapshot.Version
	shardMap hyssnapshot.Map
}

// pinSnapshot chooses the snapshot of a new attempt, and returns false if no
// complete shard map is known.
func (g *Gatherer) pinSnapshot(service hysservice.Name) (pinnedSnapshot, bool) {
	m, ok := g.snapshot(service)
	if !ok {
		return pinnedSnapshot{}, false
	}
	version, _ := m.Pin()
	return pinnedSnapshot{version: version, shardMap: m}, true
}

// newerThan reports whether the snapshot has a higher epoch or version than
// another.
func (p pinnedSnapshot) newerThan(other pinnedSnapshot) bool {
	return p.shardMap.Epoch > other.shardMap.Epoch || p.version > other.version
}
