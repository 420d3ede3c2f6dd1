package hysgather

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
)

// canaryWaitDivisor sets how long the other shards wait for the canary: the
// time remaining until the deadline, divided by it.
const canaryWaitDivisor = 2

// maxCanaryShards is how many shards are tried in turn until one can run the
// canary.
const maxCanaryShards = 3

// Canary holds what a gatherer needs to send an unproven query to one shard
// before the others, so that a query that crashes searchers does not reach
// every shard.
type Canary struct {
	Registry *hysquarantine.Registry
	Proven   *hysquarantine.ProvenCache
}

// WithCanary makes the gatherer send unproven queries to a canary shard first.
func WithCanary(c *Canary) Option {
	return func(g *Gatherer) { g.canary = c }
}

// canaryPhase is the state of an attempt while its other shards wait for the
// canary.
type canaryPhase struct {
	key    hysquarantine.Key
	canary *shard
	tried  int
	timer  *time.Timer
}

// begin sends the query to every shard, or to the canary shard alone if the
// query needs one.
func (f *fanOut) begin(ctx context.Context) {
	request := f.query.request
	c := f.query.gatherer.canary
	if c == nil || request.Service.SkipCanary {
		f.proven = true
		f.start(ctx, f.shards)
		return
	}
	key := hysquarantine.Key{Service: request.Service.Name, Fingerprint: request.Query.Fingerprint()}
	state := c.Registry.Record(key).State()
	f.proven = state == hysquarantine.StateClear && c.Proven.Contains(key)
	switch {
	case state == hysquarantine.StateQuarantined:
		f.quarantineShards(f.shards)
	case f.proven || f.pending <= 1:
		f.start(ctx, f.shards)
	default:
		f.canaryPhase = &canaryPhase{key: key}
		f.startCanaryTimer(ctx)
		f.sendNextCanary(ctx)
	}
}

// startCanaryTimer limits how long the other shards wait for the canary.
func (f *fanOut) startCanaryTimer(ctx context.Context) {
	g := f.query.gatherer
	wait := f.query.deadline.Sub(g.now()) / canaryWaitDivisor
	f.canaryPhase.timer = time.AfterFunc(wait, func() { f.emit(ctx, event{canaryTimedOut: true}) })
}

// sendNextCanary sends the query to the next shard that may run the canary. The
// first one is derived from the query's fingerprint, so that every instance
// picks the same shard.
func (f *fanOut) sendNextCanary(ctx context.Context) {
	p := f.canaryPhase
	first := int(xxhash.Sum64String(string(p.key.Fingerprint)) % uint64(len(f.shards)))
	for p.tried < min(maxCanaryShards, len(f.shards)) {
		s := f.shards[(first+p.tried)%len(f.shards)]
		p.tried++
		if !s.final {
			p.canary = s
			f.start(ctx, []*shard{s})
			return
		}
	}
	f.releaseShards(ctx)
}

// resolveCanary decides, once the canary has its final reply, whether the other
// shards are sent the query.
func (f *fanOut) resolveCanary(ctx context.Context) {
	if f.canaryPhase == nil || !f.canaryPhase.canary.final {
		return
	}
	reply := f.canaryPhase.canary.reply
	searcherLost := reply.Status == hysquery.ShardUnavailable && !reply.NotRun
	switch {
	case reply.Status == hysquery.ShardAnswered:
		f.query.gatherer.canary.Proven.Add(f.canaryPhase.key)
		f.releaseShards(ctx)
	case reply.Status == hysquery.ShardQuarantined:
		f.quarantineShards(f.shards)
		f.endCanaryPhase()
	case searcherLost:
		f.failWaitingShards()
		f.endCanaryPhase()
	case reply.NotRun:
		f.sendNextCanary(ctx)
	default:
		f.releaseShards(ctx)
	}
}

// releaseShards sends the query to the shards that waited for the canary.
func (f *fanOut) releaseShards(ctx context.Context) {
	f.endCanaryPhase()
	f.proven = true
	f.start(ctx, f.shards)
}

// handleCanaryTimeout releases the other shards while the canary still runs,
// and resends the canary's shard to its next dispatcher.
func (f *fanOut) handleCanaryTimeout(ctx context.Context) {
	if f.canaryPhase == nil {
		return
	}
	canary := f.canaryPhase.canary
	f.releaseShards(ctx)
	f.resend(ctx, []*shard{canary})
}

// waitsForCanary reports whether a shard waits for the canary.
func (f *fanOut) waitsForCanary(s *shard) bool {
	return f.canaryPhase != nil && s.asked == 0
}

// endCanaryPhase stops the canary timer and ends the phase.
func (f *fanOut) endCanaryPhase() {
	f.canaryPhase.timer.Stop()
	f.canaryPhase = nil
}

// failWaitingShards finalizes the shards that wait for the canary as not asked,
// since the canary's searcher was lost while it ran the request.
func (f *fanOut) failWaitingShards() {
	for _, s := range f.shards {
		if !s.final && s != f.canaryPhase.canary {
			s.reply = f.notSentReply(s.Shard, hysquery.ShardUnavailable, "not asked: a searcher was lost while it ran the request")
			f.finalize(s)
		}
	}
}

// quarantineShards finalizes the shards without a final reply as quarantined.
func (f *fanOut) quarantineShards(shards []*shard) {
	for _, s := range shards {
		if !s.final {
			s.reply = f.notSentReply(s.Shard, hysquery.ShardQuarantined, "the request crashed searchers and is quarantined")
			s.reply.RetryAfter = 0
			f.finalize(s)
		}
	}
}

// finalize makes the current reply of a shard its final one.
func (f *fanOut) finalize(s *shard) {
	s.final = true
	f.pending--
}
