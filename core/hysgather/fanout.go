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

// maxDispatchers is how many dispatchers one shard may be asked of in one
// attempt.
const maxDispatchers = 3

// fanOut is one attempt of a query. Only the goroutine of collect changes it.
type fanOut struct {
	query  *gathering
	pin    pin
	shards []*shard
	legs   []*leg
	events chan event
	// open is how many shards have no final reply.
	open int
	// sent is true once a searcher may have been sent a part.
	sent bool
	// gone is true once a searcher has said that the snapshot is gone.
	gone bool
	// proven is true once the query has succeeded on a searcher.
	proven bool
	// hold is set while shards wait for the canary.
	hold *hold
}

// shard is the state of one shard in an attempt.
type shard struct {
	hyssnapshot.Range
	order   hysmember.Instances
	asked   int
	running int
	// postponed shards wait to be asked again.
	postponed bool
	reply     hysdispatch.SubReply
	final     bool
}

// leg is one part on its way to one dispatcher.
type leg struct {
	to      hysmember.Instance
	part    Part
	shards  []*shard
	started time.Time
	cancel  context.CancelFunc
	// stall fires after delay.
	stall *time.Timer
	delay time.Duration
	ended bool
}

// event is the end of a leg, its stall, the time to ask shards again or the end
// of the patience with the canary.
type event struct {
	leg       *leg
	stalled   bool
	impatient bool
	again     []*shard
	replies   []hysdispatch.SubReply
	err       error
}

func newFanOut(q *gathering, p pin) *fanOut {
	f := &fanOut{query: q, pin: p, events: make(chan event)}
	for _, r := range p.shardMap.Ranges {
		f.shards = append(f.shards, f.newShard(r))
	}
	return f
}

func (f *fanOut) newShard(r hyssnapshot.Range) *shard {
	s := &shard{Range: r}
	if !slices.Contains(r.Versions, f.pin.version) {
		s.reply = f.unsent(r.Shard, hysquery.ShardVersionGone, "no searcher is known to serve the version")
		s.final = true
		return s
	}
	s.order = f.query.gatherer.rank(f.query.request.Query.Service, r.Shard)
	s.order = s.order[:min(len(s.order), maxDispatchers)]
	s.reply = f.unsent(r.Shard, hysquery.ShardUnavailable, "the shard has no dispatcher")
	f.open++
	return s
}

func (f *fanOut) unsent(id hysservice.ShardID, status hysquery.ShardStatus, reason string) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: id, Status: status, Version: f.pin.version, Epoch: f.pin.shardMap.Epoch,
		Reason: reason, RetryAfter: unavailableRetry, NotRun: true,
	}
}

// start sends shards that have not been asked to their first dispatcher.
func (f *fanOut) start(ctx context.Context, shards []*shard) {
	unasked := slices.DeleteFunc(slices.Clone(shards), func(s *shard) bool { return s.asked > 0 })
	for range f.ask(ctx, unasked) {
		f.query.gatherer.budget.AddRequest()
	}
	f.close()
}

// ask sends each shard that is not final to its next dispatcher, the shards of
// one dispatcher as one part.
func (f *fanOut) ask(ctx context.Context, shards []*shard) []*leg {
	byDispatcher := make(map[hysmember.InstanceID]*leg)
	var legs []*leg
	for _, s := range shards {
		if s.final || s.asked >= len(s.order) {
			continue
		}
		to := s.order[s.asked]
		l, ok := byDispatcher[to.ID]
		if !ok {
			l = &leg{to: to, part: f.query.request.part(f.pin, f.query.deadline)}
			l.part.Proven = f.proven
			byDispatcher[to.ID] = l
			legs = append(legs, l)
		}
		s.asked++
		s.running++
		l.shards = append(l.shards, s)
		l.part.Shards = append(l.part.Shards, s.Shard)
	}
	for _, l := range legs {
		f.launch(ctx, l)
	}
	f.legs = append(f.legs, legs...)
	return legs
}

func (f *fanOut) launch(ctx context.Context, l *leg) {
	g := f.query.gatherer
	l.started = g.now()
	legCtx, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	l.delay = g.stallDelay(l.part.Query.Service, f.query.deadline.Sub(l.started))
	l.stall = time.AfterFunc(l.delay, func() { f.report(ctx, event{leg: l, stalled: true}) })
	go func() {
		replies, err := g.send(legCtx, l.to, l.part)
		f.report(ctx, event{leg: l, replies: replies, err: err})
	}()
}

// report hands an event to collect, unless the attempt is over.
func (f *fanOut) report(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// collect handles events until every shard has its final reply, a newer
// snapshot takes over or the context ends.
func (f *fanOut) collect(ctx context.Context) {
	defer f.stop()
	for f.open > 0 {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			f.handle(ctx, e)
		}
		if f.superseded() {
			return
		}
	}
}

// stop cancels the legs that still run.
func (f *fanOut) stop() {
	if f.hold != nil {
		f.endHold()
	}
	for _, l := range f.legs {
		l.stall.Stop()
		l.cancel()
	}
}

// superseded reports whether the snapshot is gone and a newer one is known.
func (f *fanOut) superseded() bool {
	if !f.gone {
		return false
	}
	_, ok := f.query.newer(f.pin)
	return ok
}

func (f *fanOut) handle(ctx context.Context, e event) {
	switch {
	case e.impatient:
		f.loseHold(ctx)
		return
	case e.stalled:
		f.handleStall(ctx, e.leg)
		return
	case e.again != nil:
		f.askAgain(ctx, e.again)
		return
	}
	e.leg.ended = true
	e.leg.stall.Stop()
	e.leg.cancel()
	replies, err := matched(e)
	if err != nil {
		f.fail(ctx, e.leg, err)
	} else {
		f.query.gatherer.recordLatency(e.leg)
		f.take(ctx, e.leg, replies)
	}
	f.close()
	f.settleCanary(ctx)
}

// handleStall sends the shards of a stalled leg to their next dispatchers too,
// unless the dispatcher is only busy.
func (f *fanOut) handleStall(ctx context.Context, l *leg) {
	if f.hold != nil {
		// A canary is not sent to a second dispatcher while the first may run it.
		return
	}
	if more := f.query.gatherer.patience(l); more > 0 {
		l.stall.Reset(more)
		return
	}
	f.resend(ctx, l.shards)
}

// matched returns the replies in the order of the part's shards, or an error
// if they are not exactly the replies to the part.
func matched(e event) ([]hysdispatch.SubReply, error) {
	if e.err != nil {
		return nil, e.err
	}
	part := e.leg.part
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

// fail sends the shards of a leg without a reply to their next dispatchers.
// That costs no budget if the part did not leave this instance.
func (f *fanOut) fail(ctx context.Context, l *leg, err error) {
	for _, s := range l.shards {
		s.running--
	}
	if errors.Is(err, ErrNotSent) {
		for _, s := range l.shards {
			s.fallBack(f.unsent(s.Shard, hysquery.ShardUnavailable, "no dispatcher of the shard can be reached"))
		}
		f.ask(ctx, l.shards)
		return
	}
	f.sent = true
	for _, s := range l.shards {
		s.fallBack(f.silent(s))
	}
	f.resend(ctx, l.shards)
}

// silent is the reply of a shard whose dispatcher did not reply.
func (f *fanOut) silent(s *shard) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: s.Shard, Status: hysquery.ShardTimeout, Version: f.pin.version, Epoch: f.pin.shardMap.Epoch,
		Reason: "its dispatcher did not reply",
	}
}

// take keeps the replies of a leg, the first answer of each shard.
func (f *fanOut) take(ctx context.Context, l *leg, replies []hysdispatch.SubReply) {
	var elsewhere, shed []*shard
	for i, s := range l.shards {
		s.running--
		reply := replies[i]
		f.sent = f.sent || !reply.NotRun
		f.gone = f.gone || snapshotGone(reply)
		if s.final {
			continue
		}
		if reply.Status == hysquery.ShardAnswered {
			s.reply, s.final = reply, true
			f.open--
			continue
		}
		s.fallBack(reply)
		if reply.Status == hysquery.ShardUnavailable && reply.NotRun {
			elsewhere = append(elsewhere, s)
		}
		if reply.Status == hysquery.ShardOverloaded && reply.NotRun {
			shed = append(shed, s)
		}
	}
	f.ask(ctx, elsewhere)
	f.postpone(ctx, shed)
}

// fallBack keeps a reply that is no answer, unless one is known that says more.
func (s *shard) fallBack(reply hysdispatch.SubReply) {
	if s.final {
		return
	}
	if s.reply.NotRun || s.reply.Status == hysquery.ShardTimeout {
		s.reply = reply
	}
}

// resend sends shards to their next dispatchers too, within the budget and
// only if they may run more than once.
func (f *fanOut) resend(ctx context.Context, shards []*shard) {
	waiting := slices.ContainsFunc(shards, func(s *shard) bool { return !s.final && s.asked < len(s.order) })
	if waiting && !f.query.request.Query.NonIdempotent && f.query.gatherer.budget.TrySpend(0) {
		f.ask(ctx, shards)
	}
}

// close makes the reply of each shard final that no leg can answer any more,
// and cancels the legs that are not needed any more.
func (f *fanOut) close() {
	f.dropPostponed()
	for _, s := range f.shards {
		if !s.final && s.running == 0 && !f.waits(s) {
			f.finalize(s)
		}
	}
	for _, l := range f.legs {
		if !l.ended && !slices.ContainsFunc(l.shards, func(s *shard) bool { return !s.final }) {
			l.cancel()
		}
	}
}

// maySent reports whether a searcher may have been sent a part, now or later.
func (f *fanOut) maySent() bool {
	return f.sent || slices.ContainsFunc(f.legs, func(l *leg) bool { return !l.ended })
}
