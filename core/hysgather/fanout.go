package hysgather

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// maxDispatchers is how many dispatchers one shard may be sent to in one
// attempt.
const maxDispatchers = 3

// fanOut is one attempt of a query. Only the goroutine that runs collect
// changes it.
type fanOut struct {
	query    *queryRun
	snapshot pinnedSnapshot
	shards   []*shard
	sends    []*partSend
	events   chan event
	// pending is how many shards have no final reply.
	pending int
	// sent is true once a searcher may have been sent a part.
	sent bool
	// snapshotGone is true once a searcher has replied that it no longer serves
	// the snapshot.
	snapshotGone bool
	// proven is true once the query has succeeded on a searcher.
	proven bool
	// canaryPhase is set while shards wait for the canary.
	canaryPhase *canaryPhase
}

// shard is the state of one shard in an attempt.
type shard struct {
	hyssnapshot.Range
	dispatchers hysmember.Instances
	// asked is how many dispatchers, in their order, the shard was sent to, and
	// inFlight how many of these sends have not ended.
	asked    int
	inFlight int
	// postponed shards were refused for overload and wait to be sent again.
	postponed bool
	reply     hysdispatch.SubReply
	final     bool
}

// partSend is one part sent to one dispatcher.
type partSend struct {
	to      hysmember.Instance
	part    Part
	shards  []*shard
	started time.Time
	cancel  context.CancelFunc
	// stallTimer fires after stallDelay.
	stallTimer *time.Timer
	stallDelay time.Duration
	ended      bool
}

// event is what an attempt handles next: the end of a send, its stall, the time
// to resend postponed shards or the end of the wait for the canary.
type event struct {
	send           *partSend
	stalled        bool
	canaryTimedOut bool
	retry          []*shard
	replies        []hysdispatch.SubReply
	err            error
}

// newFanOut returns an attempt at a snapshot that has sent nothing yet.
func newFanOut(q *queryRun, p pinnedSnapshot) *fanOut {
	f := &fanOut{query: q, snapshot: p, events: make(chan event)}
	for _, r := range p.shardMap.Ranges {
		f.shards = append(f.shards, f.newShard(r))
	}
	return f
}

// newShard returns the state of a shard, final if no searcher serves its
// version.
func (f *fanOut) newShard(r hyssnapshot.Range) *shard {
	s := &shard{Range: r}
	if !slices.Contains(r.Versions, f.snapshot.version) {
		s.reply = f.notSentReply(r.Shard, hysquery.ShardVersionGone, "no searcher is known to serve the version")
		s.final = true
		return s
	}
	s.dispatchers = f.query.gatherer.rank(f.query.request.Query.Service, r.Shard)
	s.dispatchers = s.dispatchers[:min(len(s.dispatchers), maxDispatchers)]
	s.reply = f.notSentReply(r.Shard, hysquery.ShardUnavailable, "the shard has no dispatcher")
	f.pending++
	return s
}

// notSentReply returns the reply of a shard that was sent to no searcher.
func (f *fanOut) notSentReply(id hysservice.ShardID, status hysquery.ShardStatus, reason string) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: id, Status: status, Version: f.snapshot.version, Epoch: f.snapshot.shardMap.Epoch,
		Reason: reason, RetryAfter: unavailableRetryAfter, NotRun: true,
	}
}

// start sends the shards that have not been sent yet to their first
// dispatchers.
func (f *fanOut) start(ctx context.Context, shards []*shard) {
	unasked := slices.DeleteFunc(slices.Clone(shards), func(s *shard) bool { return s.asked > 0 })
	for range f.sendToNext(ctx, unasked) {
		f.query.gatherer.budget.AddRequest()
	}
	f.finishShards()
}

// sendToNext sends each shard that is not final to its next dispatcher, the
// shards of one dispatcher as one part.
func (f *fanOut) sendToNext(ctx context.Context, shards []*shard) []*partSend {
	byDispatcher := make(map[hysmember.InstanceID]*partSend)
	var sends []*partSend
	for _, s := range shards {
		if s.final || s.asked >= len(s.dispatchers) {
			continue
		}
		to := s.dispatchers[s.asked]
		ps, ok := byDispatcher[to.ID]
		if !ok {
			ps = &partSend{to: to, part: f.query.request.part(f.snapshot, f.query.deadline)}
			ps.part.Proven = f.proven
			byDispatcher[to.ID] = ps
			sends = append(sends, ps)
		}
		s.asked++
		s.inFlight++
		ps.shards = append(ps.shards, s)
		ps.part.Shards = append(ps.part.Shards, s.Shard)
	}
	for _, ps := range sends {
		f.launch(ctx, ps)
	}
	f.sends = append(f.sends, sends...)
	return sends
}

// launch starts a send and its stall timer.
func (f *fanOut) launch(ctx context.Context, ps *partSend) {
	g := f.query.gatherer
	ps.started = g.now()
	sendCtx, cancel := context.WithCancel(ctx)
	ps.cancel = cancel
	ps.stallDelay = g.stallDelay(ps.part.Query.Service, f.query.deadline.Sub(ps.started))
	ps.stallTimer = time.AfterFunc(ps.stallDelay, func() { f.emit(ctx, event{send: ps, stalled: true}) })
	go func() {
		replies, err := g.send(sendCtx, ps.to, ps.part)
		f.emit(ctx, event{send: ps, replies: replies, err: err})
	}()
}

// emit passes an event to collect, unless the attempt is over.
func (f *fanOut) emit(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// collect handles events until every shard has its final reply, a newer
// snapshot supersedes this one or the context ends.
func (f *fanOut) collect(ctx context.Context) {
	defer f.stop()
	for f.pending > 0 {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			f.handleEvent(ctx, e)
		}
		if f.superseded() {
			return
		}
	}
}

// stop ends the canary phase and cancels the sends that still run.
func (f *fanOut) stop() {
	if f.canaryPhase != nil {
		f.endCanaryPhase()
	}
	for _, ps := range f.sends {
		ps.stallTimer.Stop()
		ps.cancel()
	}
}

// superseded reports whether the snapshot is gone and a newer one is known.
func (f *fanOut) superseded() bool {
	if !f.snapshotGone {
		return false
	}
	_, ok := f.query.newer(f.snapshot)
	return ok
}

// handleEvent updates the attempt with one event.
func (f *fanOut) handleEvent(ctx context.Context, e event) {
	switch {
	case e.canaryTimedOut:
		f.handleCanaryTimeout(ctx)
		return
	case e.stalled:
		f.handleStall(ctx, e.send)
		return
	case e.retry != nil:
		f.retryPostponed(ctx, e.retry)
		return
	}
	e.send.ended = true
	e.send.stallTimer.Stop()
	e.send.cancel()
	replies, err := matchReplies(e)
	if err != nil {
		f.handleFailure(ctx, e.send, err)
	} else {
		f.query.gatherer.recordLatency(e.send)
		f.handleReplies(ctx, e.send, replies)
	}
	f.finishShards()
	f.resolveCanary(ctx)
}

// handleStall resends the shards of a stalled send to their next dispatchers,
// unless the dispatcher is only busy.
func (f *fanOut) handleStall(ctx context.Context, ps *partSend) {
	if f.canaryPhase != nil {
		// A canary is not sent to a second dispatcher while the first may run it.
		return
	}
	if more := f.query.gatherer.remainingStallDelay(ps); more > 0 {
		ps.stallTimer.Reset(more)
		return
	}
	f.resend(ctx, ps.shards)
}

// matchReplies returns the replies in the order of the part's shards, or an
// error if they are not exactly the replies to the part.
func matchReplies(e event) ([]hysdispatch.SubReply, error) {
	if e.err != nil {
		return nil, e.err
	}
	part := e.send.part
	if len(e.replies) != len(part.Shards) {
		return nil, ErrMismatch
	}
	ordered := make([]hysdispatch.SubReply, 0, len(part.Shards))
	for _, id := range part.Shards {
		i := slices.IndexFunc(e.replies, func(r hysdispatch.SubReply) bool { return r.Shard == id })
		if i < 0 || e.replies[i].Version != part.Version || e.replies[i].Epoch != part.Epoch {
			return nil, ErrMismatch
		}
		ordered = append(ordered, e.replies[i])
	}
	return ordered, nil
}

// handleFailure sends the shards of a failed send to their next dispatchers.
// This costs no budget if the part did not leave this instance.
func (f *fanOut) handleFailure(ctx context.Context, ps *partSend, err error) {
	for _, s := range ps.shards {
		s.inFlight--
	}
	if errors.Is(err, ErrNotSent) {
		for _, s := range ps.shards {
			s.recordFailure(f.notSentReply(s.Shard, hysquery.ShardUnavailable, "no dispatcher of the shard can be reached"))
		}
		f.sendToNext(ctx, ps.shards)
		return
	}
	f.sent = true
	for _, s := range ps.shards {
		s.recordFailure(f.timeoutReply(s))
	}
	f.resend(ctx, ps.shards)
}

// timeoutReply returns the reply of a shard whose dispatcher did not reply.
func (f *fanOut) timeoutReply(s *shard) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: s.Shard, Status: hysquery.ShardTimeout, Version: f.snapshot.version, Epoch: f.snapshot.shardMap.Epoch,
		Reason: "its dispatcher did not reply",
	}
}

// handleReplies applies the replies to a send. The first answer of each shard
// counts.
func (f *fanOut) handleReplies(ctx context.Context, ps *partSend, replies []hysdispatch.SubReply) {
	var unavailable, unreachable, overloaded []*shard
	for i, s := range ps.shards {
		s.inFlight--
		reply := replies[i]
		f.sent = f.sent || !reply.NotRun
		f.snapshotGone = f.snapshotGone || snapshotGone(reply)
		if s.final {
			continue
		}
		if reply.Status == hysquery.ShardAnswered {
			s.reply, s.final = reply, true
			f.pending--
			continue
		}
		s.recordFailure(reply)
		if reply.Status == hysquery.ShardUnavailable && reply.NotRun {
			unavailable = append(unavailable, s)
		}
		if reply.Unreachable && !reply.NotRun {
			// The dispatcher lost the searchers while they may have run the shard.
			unreachable = append(unreachable, s)
		}
		if reply.Status == hysquery.ShardOverloaded && reply.NotRun {
			overloaded = append(overloaded, s)
		}
	}
	f.sendToNext(ctx, unavailable)
	if len(unreachable) > 0 {
		f.resend(ctx, unreachable)
	}
	f.postpone(ctx, overloaded)
}

// recordFailure keeps a reply that is not an answer, unless the shard already
// has a more specific one.
func (s *shard) recordFailure(reply hysdispatch.SubReply) {
	if s.final {
		return
	}
	if s.reply.NotRun || s.reply.Status == hysquery.ShardTimeout {
		s.reply = reply
	}
}

// resend also sends shards to their next dispatchers, within the budget and
// only if the query may run more than once.
func (f *fanOut) resend(ctx context.Context, shards []*shard) {
	canResend := slices.ContainsFunc(shards, func(s *shard) bool { return !s.final && s.asked < len(s.dispatchers) })
	if canResend && !f.query.request.Query.NonIdempotent && f.query.gatherer.budget.TrySpend(0) {
		f.sendToNext(ctx, shards)
	}
}

// finishShards finalizes the shards that no send can answer any more, and
// cancels the sends that are no longer needed.
func (f *fanOut) finishShards() {
	f.abandonPostponed()
	for _, s := range f.shards {
		if !s.final && s.inFlight == 0 && !f.waitsForCanary(s) {
			f.finalize(s)
		}
	}
	for _, ps := range f.sends {
		if !ps.ended && !slices.ContainsFunc(ps.shards, func(s *shard) bool { return !s.final }) {
			ps.cancel()
		}
	}
}

// mayHaveSent reports whether a searcher may have been sent a part, or may
// still be sent one.
func (f *fanOut) mayHaveSent() bool {
	return f.sent || slices.ContainsFunc(f.sends, func(ps *partSend) bool { return !ps.ended })
}
