package hysfront

import (
	"context"
	"sync"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

// maxRelays is how many other daemons are asked to run a sub-request.
const maxRelays = 3

// batchWindow is the time within which the sub-requests of a query are collected that
// go to the same daemon.
const batchWindow = time.Millisecond

// Patience with a daemon that is to run what this one can't, beyond that with a near one
// that would only run it better. The way to a remote one is longer.
const (
	relayPatience       = 60 * time.Millisecond
	remoteRelayPatience = relayPatience + 6*remoteDistance
)

// relayMargin is how much earlier than due another daemon sends results, besides the
// distance to it.
const relayMargin = 4 * time.Millisecond

// Reasons for which this daemon runs no sub-requests of another one.
var (
	errLost       = &hysingress.DeclinedError{Reason: string(hysdispatch.ErrUnreachable), RetryAfter: 500 * time.Millisecond}
	errSuspicious = &hysingress.DeclinedError{Reason: "it is not known whether any searcher is in reach", RetryAfter: 200 * time.Millisecond}
)

// relay returns a function that runs the sub-requests of one request here, or at another
// daemon if no searcher of their service is in reach here.
func (f *Front) relay(shards []hysservice.Name, delegable bool) hysgather.SubmitFunc {
	b := &relayBatches{front: f, rounds: make(map[int]*relayBatch)}
	if len(shards) > 0 {
		b.window = batchWindow
	}
	return func(ctx context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
		reply := f.dispatcher.Submit(ctx, sub)
		if !reply.Unreachable || ctx.Err() != nil || delegable && f.mostlyLost(shards) {
			return reply
		}
		return b.relay(ctx, sub, reply)
	}
}

// mostlyLost reports whether more than half of the shards of a query are lost.
func (f *Front) mostlyLost(shards []hysservice.Name) bool {
	return 2*f.reach.LostCount(shards) > len(shards)
}

// relayBatches relays the sub-requests of one request. Those that are relayed at the
// same time, for the same time, go together.
type relayBatches struct {
	front  *Front
	window time.Duration

	mu     sync.Mutex
	rounds map[int]*relayBatch
}

// relayBatch holds sub-requests for one daemon.
type relayBatch struct {
	to      hysmember.Instance
	subs    []hysdispatch.SubRequest
	replies []chan hysdispatch.SubReply
}

// relay lets other daemons run a sub-request, one after the other until one reaches its
// searchers. local is the reply of this daemon.
func (b *relayBatches) relay(ctx context.Context, sub hysdispatch.SubRequest, local hysdispatch.SubReply) hysdispatch.SubReply {
	last := local
	var asked hysmember.Instances
	for round := range maxRelays {
		if !last.NotRun && !sub.Idempotent || !sub.AwaitRun(ctx, last.PossibleRuns) {
			break
		}
		rest := sub
		rest.MaxRuns -= last.PossibleRuns
		reply, to, ok := b.run(ctx, round, rest, asked)
		if !ok {
			break
		}
		asked = append(asked, to)
		reply.Sends, reply.NotRun = reply.Sends+last.Sends, reply.NotRun && last.NotRun
		reply.PossibleRuns += last.PossibleRuns
		if reply.Message != nil {
			reply.NotRun = false
		}
		last = reply
		if !reply.Unreachable {
			break
		}
	}
	return last
}

// run runs a sub-request at another daemon, together with the others of the same round.
// It returns false if there is no daemon to ask.
func (b *relayBatches) run(ctx context.Context, round int, sub hysdispatch.SubRequest, asked hysmember.Instances) (hysdispatch.SubReply, hysmember.Instance, bool) {
	result := make(chan hysdispatch.SubReply, 1)
	to, ok := b.add(ctx, round, sub, asked, result)
	if !ok {
		return hysdispatch.SubReply{}, hysmember.Instance{}, false
	}
	select {
	case reply := <-result:
		return reply, to, true
	case <-ctx.Done():
		return hysdispatch.SubReply{
			Shard: sub.Shard, Status: hysquery.ShardTimeout, Reason: "no other instance answered in time", RelayedTo: to.ID,
			PossibleRuns: sub.MaxRuns,
		}, to, true
	}
}

// add adds a sub-request to the batch of a round.
func (b *relayBatches) add(ctx context.Context, round int, sub hysdispatch.SubRequest, asked hysmember.Instances, result chan hysdispatch.SubReply) (hysmember.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.rounds[round]
	if batch == nil {
		to, ok := b.front.relays.Pick(sub.Service, asked)
		if !ok {
			return hysmember.Instance{}, false
		}
		batch = &relayBatch{to: to}
		b.rounds[round] = batch
		time.AfterFunc(b.window, func() { b.send(ctx, round) })
	}
	batch.subs, batch.replies = append(batch.subs, sub), append(batch.replies, result)
	return batch.to, true
}

// send sends the batch of a round and passes the replies on.
func (b *relayBatches) send(ctx context.Context, round int) {
	b.mu.Lock()
	batch := b.rounds[round]
	delete(b.rounds, round)
	b.mu.Unlock()
	ctx, stop := context.WithDeadline(ctx, batch.subs[0].Deadline)
	defer stop()
	f, began := b.front, time.Now()
	answered := 0
	delivered := make([]bool, len(batch.subs))
	err := f.relayClient.Run(ctx, batch.to.Address, batch.subs, f.runOptions(batch.to), func(r hysrelay.RunResult) {
		if delivered[r.Index] {
			return
		}
		delivered[r.Index] = true
		if hysgather.HasResult(r.Reply) {
			answered++
		}
		if r.Reply.Unreachable {
			f.relays.Record(batch.to.ID, batch.subs[r.Index].Service, hysgather.DelegationDeclined, errLost.RetryAfter)
		}
		r.Reply.RelayedTo = batch.to.ID
		batch.replies[r.Index] <- r.Reply
	})
	end, declinedFor := delegationEnd(err)
	f.metrics.ObserveRelay(end.String(), len(batch.subs))
	if ctx.Err() == nil {
		f.relays.Record(batch.to.ID, "", end, declinedFor)
	}
	first := batch.subs[0]
	f.log.Info("sub-requests relayed", "id", first.RequestID, "service", first.Service, "to", batch.to.ID, "count", len(batch.subs),
		"answered", answered, "end", end.String(), "error", err, "ms", time.Since(began).Milliseconds())
	for i, sub := range batch.subs {
		if !delivered[i] {
			batch.replies[i] <- undelivered(sub, batch.to, end, err)
		}
	}
}

// undelivered returns the reply to a sub-request for which another daemon gave none.
func undelivered(sub hysdispatch.SubRequest, to hysmember.Instance, end hysgather.DelegationEnd, err error) hysdispatch.SubReply {
	reply := hysdispatch.UnreachableReply(sub)
	reply.RelayedTo = to.ID
	if err != nil {
		reply.Reason = string(hysdispatch.ErrUnreachable) + ", and of another instance: " + err.Error()
	}
	switch {
	case end.NotRun():
	case end == hysgather.DelegationSilent:
		reply.NotRun, reply.PossibleRuns = false, 1
	default:
		reply.NotRun, reply.PossibleRuns = false, sub.MaxRuns
	}
	return reply
}

// runOptions returns how a daemon is asked to run sub-requests.
func (f *Front) runOptions(to hysmember.Instance) hysrelay.RunOptions {
	return hysrelay.RunOptions{Patience: f.patience(to), Margin: relayMargin + f.instanceDistance(to)}
}

// patience returns how much longer than a near daemon another one may take to accept
// what this one can't run.
func (f *Front) patience(to hysmember.Instance) time.Duration {
	if to.Region == f.settings.Region {
		return relayPatience
	}
	return remoteRelayPatience
}

// instanceDistance returns the minimum round-trip time to another daemon.
func (f *Front) instanceDistance(i hysmember.Instance) time.Duration {
	return f.distance(hysmember.Searcher{Zone: i.Zone, Region: i.Region})
}

// runForAnother runs sub-requests of another daemon, which can't reach their searchers.
func (f *Front) runForAnother(ctx context.Context, subs []hysdispatch.SubRequest, accept func() error) (<-chan hysrelay.RunResult, error) {
	if err := f.declines(services(subs)); err != nil {
		return nil, err
	}
	if f.delegatedShards.Add(int64(len(subs))) > f.maxDelegatedShards() {
		f.delegatedShards.Add(-int64(len(subs)))
		return nil, errFull
	}
	if err := accept(); err != nil {
		f.delegatedShards.Add(-int64(len(subs)))
		return nil, err
	}
	f.metrics.ObserveRelay("for-another", len(subs))
	results := make(chan hysrelay.RunResult, len(subs))
	go f.runAll(ctx, subs, results)
	return results, nil
}

// runAll runs sub-requests of another daemon, passes each reply on as soon as it is there,
// and logs them together.
func (f *Front) runAll(ctx context.Context, subs []hysdispatch.SubRequest, results chan<- hysrelay.RunResult) {
	began := time.Now()
	replies := make([]hysdispatch.SubReply, len(subs))
	var wait sync.WaitGroup
	for i, sub := range subs {
		wait.Go(func() {
			defer f.delegatedShards.Add(-1)
			replies[i] = f.dispatcher.Submit(ctx, sub)
			results <- hysrelay.RunResult{Index: i, Reply: replies[i]}
		})
	}
	wait.Wait()
	f.logRunForAnother(subs, replies, time.Since(began))
}

// logRunForAnother logs how sub-requests of another daemon have ended.
func (f *Front) logRunForAnother(subs []hysdispatch.SubRequest, replies []hysdispatch.SubReply, took time.Duration) {
	if len(subs) == 0 {
		return
	}
	answered, sends, maxRuns := 0, 0, 0
	for _, reply := range replies {
		if hysgather.HasResult(reply) {
			answered++
		}
		sends += reply.Sends
		maxRuns = max(maxRuns, reply.PossibleRuns)
	}
	first := subs[0]
	f.log.Info("sub-requests run for another instance", "id", first.RequestID, "service", first.Service, "count", len(subs),
		"answered", answered, "sends", sends, "max-shard-runs", maxRuns, "max-attempts", first.MaxRuns,
		"confirmed", first.Confirmed.IsReceived(), "ms", took.Milliseconds())
}

func services(subs []hysdispatch.SubRequest) []hysservice.Name {
	names := make([]hysservice.Name, 0, len(subs))
	for _, sub := range subs {
		names = append(names, sub.Service)
	}
	return names
}

// declines returns why this daemon runs nothing for another one at some services, nil if
// it does.
func (f *Front) declines(names []hysservice.Name) error {
	switch {
	case f.draining.Load():
		return errStopping
	case f.configuration() == nil || f.mostlyLost(names):
		return errLost
	case f.reach.Suspicious():
		return errSuspicious
	default:
		return nil
	}
}
