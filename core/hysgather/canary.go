package hysgather

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
)

// patiencePart is the part of the remaining time after which the other shards
// are asked though the canary has not replied.
const patiencePart = 2

// maxCanaries is how many shards are tried for one that can run the canary.
const maxCanaries = 3

// Canary sends a query that has not succeeded yet to one shard before the
// others, so that one that crashes searchers does not reach every shard.
type Canary struct {
	Registry *hysquarantine.Registry
	Proven   *hysquarantine.ProvenCache
}

// WithCanary makes the gatherer use a canary.
func WithCanary(c *Canary) Option {
	return func(g *Gatherer) { g.canary = c }
}

// hold is the state of an attempt whose shards wait for a canary.
type hold struct {
	key      hysquarantine.Key
	canary   *shard
	tried    int
	patience *time.Timer
}

// begin asks every shard, or the canary alone if the query needs one.
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
		f.quarantine(f.shards)
	case f.proven || f.open <= 1:
		f.start(ctx, f.shards)
	default:
		f.hold = &hold{key: key}
		f.startPatience(ctx)
		f.nextCanary(ctx)
	}
}

func (f *fanOut) startPatience(ctx context.Context) {
	g := f.query.gatherer
	patience := f.query.deadline.Sub(g.now()) / patiencePart
	f.hold.patience = time.AfterFunc(patience, func() { f.report(ctx, event{impatient: true}) })
}

// nextCanary asks the next shard that may run the canary. Which one comes
// first follows from the query, so that every instance picks the same.
func (f *fanOut) nextCanary(ctx context.Context) {
	h := f.hold
	first := int(xxhash.Sum64String(string(h.key.Fingerprint)) % uint64(len(f.shards)))
	for h.tried < min(maxCanaries, len(f.shards)) {
		s := f.shards[(first+h.tried)%len(f.shards)]
		h.tried++
		if !s.final {
			h.canary = s
			f.start(ctx, []*shard{s})
			return
		}
	}
	f.release(ctx)
}

// settleCanary decides, once the canary has its final reply, whether the other
// shards are asked.
func (f *fanOut) settleCanary(ctx context.Context) {
	if f.hold == nil || !f.hold.canary.final {
		return
	}
	reply := f.hold.canary.reply
	lost := reply.Status == hysquery.ShardUnavailable && !reply.NotRun
	switch {
	case reply.Status == hysquery.ShardAnswered:
		f.query.gatherer.canary.Proven.Add(f.hold.key)
		f.release(ctx)
	case reply.Status == hysquery.ShardQuarantined:
		f.quarantine(f.shards)
		f.endHold()
	case lost:
		f.withhold()
		f.endHold()
	case reply.NotRun:
		f.nextCanary(ctx)
	default:
		f.release(ctx)
	}
}

// release asks the shards that waited for the canary.
func (f *fanOut) release(ctx context.Context) {
	f.endHold()
	f.proven = true
	f.start(ctx, f.shards)
}

// loseHold asks the other shards though the canary still runs, and its shard
// from the next dispatcher too.
func (f *fanOut) loseHold(ctx context.Context) {
	if f.hold == nil {
		return
	}
	canary := f.hold.canary
	f.release(ctx)
	f.resend(ctx, []*shard{canary})
}

// waits reports whether a shard waits for the canary.
func (f *fanOut) waits(s *shard) bool {
	return f.hold != nil && s.asked == 0
}

func (f *fanOut) endHold() {
	f.hold.patience.Stop()
	f.hold = nil
}

// withhold gives the shards that wait the reply that they were not asked,
// since the canary's searcher was lost while it ran.
func (f *fanOut) withhold() {
	for _, s := range f.shards {
		if !s.final && s != f.hold.canary {
			s.reply = f.unsent(s.Shard, hysquery.ShardUnavailable, "not asked: a searcher was lost while it ran the request")
			f.finalize(s)
		}
	}
}

// quarantine refuses the shards that have no final reply yet.
func (f *fanOut) quarantine(shards []*shard) {
	for _, s := range shards {
		if !s.final {
			s.reply = f.unsent(s.Shard, hysquery.ShardQuarantined, "the request crashed searchers and is quarantined")
			s.reply.RetryAfter = 0
			f.finalize(s)
		}
	}
}

func (f *fanOut) finalize(s *shard) {
	s.final = true
	f.open--
}
