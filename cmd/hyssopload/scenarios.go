package main

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"hyssopshore/core/hysquery"
)

// scenario is a measurement with its target. It measures service, or the one
// given on the command line if that is empty.
type scenario struct {
	name    string
	target  string
	service string
	run     func(*bench) ([]figure, error)
}

var scenarios = []scenario{
	{name: "slow-replica", target: "p99 with one replica of each shard 10x slow at most 1.2 x that without", run: slowReplica},
	{name: "extra-sends", target: "hedges and retries at most 5% of sub-requests, 1% at 120% load", run: extraSends},
	{name: "lost-replica", target: "coverage at least 99.9%, 100% after 2 s", run: lostReplica},
	{name: "burst", target: "others' urgent p99 at most 1.25 x, their throughput within 5%", run: burst},
	{name: "shares", target: "each group within 5% of its weighted share", run: shares},
	{name: "gate-checks", target: "urgent p99 at most 1.5 x unloaded, against bulk at 150%", service: "waiver-desk", run: urgentAgainstBulk},
	{name: "overload", target: "useful answers at 150% at least 90% of those at capacity, refusals under 5 ms", run: overload},
	{name: "silence", target: "p99 recovers within 1 s of half the connections going silent", run: silence},
	{name: "added-cost", target: "at most 2 ms over the slowest shard at the median", service: "peal-ledger", run: addedCost},
	{name: "canary", target: "none: what a request costs that has not succeeded before", service: "peal-ledger", run: canary},
	{name: "replacement", target: "connections of a searcher never above its limit", run: replacement},
}

// slowReplica measures at 60% of the capacity of all slots, and at 60% of the
// capacity that remains when one replica of each shard is slow.
func slowReplica(b *bench) ([]figure, error) {
	const slowFactor = 10
	replicas := float64(b.service.Replicas)
	remaining := 0.6 * (replicas - 1 + 1.0/slowFactor) / replicas
	before, beforeRemaining := b.load(b.phase, b.uniformStreams(0.6)), b.load(b.phase, b.uniformStreams(remaining))
	b.slowFirstReplicas(slowFactor)
	b.load(warmUpTime, b.uniformStreams(remaining))
	afterRemaining, after := b.load(b.phase, b.uniformStreams(remaining)), b.load(b.phase, b.uniformStreams(0.6))
	return []figure{
		newFigure("p99 without, at 60% of all slots", before.quantile(99), "ms"),
		newFigure("p99 with slow replicas, at 60% of all slots", after.quantile(99), "ms"),
		newFigure("coverage with, at 60% of all slots", after.coverage(), "%"),
		atMost("p99 with over without, at 60% of all slots", after.quantile(99)/before.quantile(99), "x", 1.2),
		newFigure("p99 without, at 60% of the slots left", beforeRemaining.quantile(99), "ms"),
		newFigure("p99 with slow replicas, at 60% of the slots left", afterRemaining.quantile(99), "ms"),
		newFigure("p99 with over without, at 60% of the slots left", afterRemaining.quantile(99)/beforeRemaining.quantile(99), "x"),
	}, nil
}

func extraSends(b *bench) ([]figure, error) {
	extra := func(load float64) float64 {
		distinct, all := b.countSubRequests()
		b.load(b.phase, b.uniformStreams(load))
		distinctAfter, allAfter := b.countSubRequests()
		return 100 * (float64(allAfter-all)/float64(max(distinctAfter-distinct, 1)) - 1)
	}
	return []figure{
		atMost("extra sub-requests at 60% load", extra(0.6), "%", 5),
		atMost("extra sub-requests at 120% load", extra(1.2), "%", 1),
	}, nil
}

func lostReplica(b *bench) ([]figure, error) {
	lostAt := b.phase / 3
	timer := time.AfterFunc(lostAt, func() {
		for i := 0; i < len(b.cluster.Searchers); i += b.service.Replicas {
			go b.cluster.Searchers[i].Stop()
		}
	})
	defer timer.Stop()
	all := b.load(b.phase, b.uniformStreams(0.5))
	recovered := all.between(lostAt+2*time.Second, b.phase)
	if len(recovered) == 0 {
		return nil, fmt.Errorf("the phase must be over 3 s")
	}
	during := all.between(lostAt-200*time.Millisecond, lostAt+2*time.Second)
	return []figure{
		atLeast("coverage in the 2 s after the loss", during.coverage(), "%", 99.9),
		atLeast("coverage after 2 s", recovered.coverage(), "%", 100),
		newFigure("p99 before the loss", all.between(0, lostAt).quantile(99), "ms"),
		newFigure("p99 in the 2 s after the loss", during.quantile(99), "ms"),
		newFigure("p99 after 2 s", recovered.quantile(99), "ms"),
	}, nil
}

// burst offers urgent requests of every group at 60% of its share, and then again
// with the first group at ten times its share.
func burst(b *bench) ([]figure, error) {
	streams := b.uniformStreams(0.6)
	withoutBurst := b.load(b.phase, streams)
	streams[0].rate = 10 * weightedShare(0) * b.capacity()
	withBurst := b.load(b.phase, streams)
	others := func(s sample) bool { return s.stream != 0 }
	before, during := withoutBurst.filter(others), withBurst.filter(others)
	return []figure{
		newFigure("others' urgent p99 without the burst", before.quantile(99), "ms"),
		newFigure("others' urgent p99 during the burst", during.quantile(99), "ms"),
		atMost("others' p99 with over without", during.quantile(99)/before.quantile(99), "x", 1.25),
		atLeast("others' shards answered with over without",
			100*during.answered()/before.answered(), "%", 95),
		newFigure("the bursting group's shards answered", 100*withBurst.of(0).coverage()/100, "%"),
	}, nil
}

// shares saturates the service: every group offers twice its share, each through
// a different daemon as far as there are enough.
func shares(b *bench) ([]figure, error) {
	streams := b.uniformStreams(2)
	for i := range streams {
		streams[i].daemon = i % len(b.cluster.Daemons)
	}
	all := b.load(max(b.phase, 10*time.Second), streams).between(time.Second, time.Minute)
	total := all.answered()
	var figures []figure
	worst := 0.0
	for i := range streams {
		deviation := 100 * (all.of(i).answered()/total/weightedShare(i) - 1)
		worst = max(worst, math.Abs(deviation))
		figures = append(figures, newFigure(fmt.Sprintf("group %d of weight %d: off its share by", i, groupWeight(i)), deviation, "%"))
	}
	return append(figures, atMost("largest distance from the share", worst, "%", 5)), nil
}

// urgentAgainstBulk offers urgent requests of one group at 20% of the capacity,
// alone and then with bulk requests of another group at 150%.
func urgentAgainstBulk(b *bench) ([]figure, error) {
	urgent := stream{group: 2, daemon: anyDaemon, rate: 0.2 * b.capacity()}
	bulk := stream{group: 5, daemon: anyDaemon, class: hysquery.ClassBulk, rate: 1.5 * b.capacity()}
	alone := b.load(b.phase, []stream{urgent})
	loaded := b.load(b.phase, []stream{urgent, bulk}).of(0)
	return []figure{
		newFigure("urgent p99 unloaded", alone.quantile(99), "ms"),
		newFigure("urgent p99 against bulk at 150%", loaded.quantile(99), "ms"),
		atMost("urgent p99 loaded over unloaded", loaded.quantile(99)/alone.quantile(99), "x", 1.5),
		newFigure("urgent coverage under load", loaded.coverage(), "%"),
	}, nil
}

func overload(b *bench) ([]figure, error) {
	atCapacity := b.load(b.phase, b.uniformStreams(1))
	aboveCapacity := b.load(b.phase, b.uniformStreams(1.5))
	refused := aboveCapacity.refused()
	withRetryAfter := refused.filter(func(s sample) bool { return s.retryAfter > 0 })
	return []figure{
		newFigure("complete answers at 100%", float64(len(atCapacity.complete()))/b.phase.Seconds(), "/s"),
		newFigure("complete answers at 150%", float64(len(aboveCapacity.complete()))/b.phase.Seconds(), "/s"),
		atLeast("complete answers at 150% over 100%",
			100*float64(len(aboveCapacity.complete()))/float64(max(len(atCapacity.complete()), 1)), "%", 90),
		newFigure("refused at 150%", 100*float64(len(refused))/float64(len(aboveCapacity)), "%"),
		newFigure("p50 of refusals", refused.quantile(50), "ms"),
		atMost("p99 of refusals", refused.quantile(99), "ms", 5),
		atLeast("refusals with a time to come back", 100*float64(len(withRetryAfter))/float64(max(len(refused), 1)), "%", 100),
		newFigure("p99 of complete answers at 150%", aboveCapacity.complete().quantile(99), "ms"),
	}, nil
}

func silence(b *bench) ([]figure, error) {
	at := b.phase / 3
	timer := time.AfterFunc(at, func() {
		for _, s := range b.cluster.Searchers {
			s.Listener.SilenceHalf()
		}
	})
	defer timer.Stop()
	all := b.load(b.phase, b.uniformStreams(0.5))
	before := all.between(0, at).quantile(99)
	after := all.between(at+time.Second, b.phase)
	return []figure{
		newFigure("p99 before", before, "ms"),
		newFigure("p99 in the first second", all.between(at, at+time.Second).quantile(99), "ms"),
		newFigure("coverage in the first second", all.between(at, at+time.Second).coverage(), "%"),
		atMost("p99 from 1 s after on over before", after.quantile(99)/before, "x", 1.25),
		atLeast("coverage from 1 s after on", after.coverage(), "%", 100),
	}, nil
}

// addedCost compares the latency of answers at 5% load with that of the slowest
// searcher of a direct fan-out without the query tier. The service time is
// constant.
func addedCost(b *bench) ([]figure, error) {
	b.useConstantServiceTime()
	b.load(warmUpTime, b.uniformStreams(0.05))
	direct, err := b.measureDirect()
	if err != nil {
		return nil, err
	}
	distinct, _ := b.countSubRequests()
	cpu := processorTime()
	all := b.load(b.phase, b.uniformStreams(0.05))
	cpu = processorTime() - cpu
	after, _ := b.countSubRequests()
	return []figure{
		newFigure("p50 of the slowest shard without the tier", direct.quantile(50), "ms"),
		newFigure("p50", all.quantile(50), "ms"),
		atMost("p50 over the slowest shard", all.quantile(50)-direct.quantile(50), "ms", 2),
		newFigure("processor time of a sub-request, stand-ins included",
			float64(cpu.Microseconds())/float64(max(after-distinct, 1)), "us"),
	}, nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// replacement replaces every daemon, one after another, under load that goes to
// the ready ones.
func replacement(b *bench) ([]figure, error) {
	done := make(chan error, 1)
	go func() { done <- b.replaceAll() }()
	for {
		b.load(time.Second, b.uniformStreams(0.5))
		select {
		case err := <-done:
			if err != nil {
				return nil, err
			}
			return b.connectionFigures(), nil
		default:
		}
	}
}

func (b *bench) connectionFigures() []figure {
	peak, refused := 0, 0
	for _, s := range b.cluster.Searchers {
		counts := s.Listener.Counts()
		peak, refused = max(peak, counts.Peak), refused+counts.Refused
	}
	return []figure{
		atMost("most connections of a searcher", float64(peak), "", float64(b.service.Connections)),
		newFigure("connections refused", float64(refused), ""),
	}
}

// canary compares proven requests, which have succeeded before, with unproven
// ones, which wait for a canary shard before they are sent to the others.
func canary(b *bench) ([]figure, error) {
	b.load(warmUpTime, b.uniformStreams(0.3))
	proven := b.load(b.phase, b.uniformStreams(0.3))
	streams := b.uniformStreams(0.3)
	for i := range streams {
		streams[i].distinct = true
	}
	unproven := b.load(b.phase, streams)
	return []figure{
		newFigure("p50 of known requests", proven.quantile(50), "ms"),
		newFigure("p50 of new requests", unproven.quantile(50), "ms"),
		newFigure("p99 of known requests", proven.quantile(99), "ms"),
		newFigure("p99 of new requests", unproven.quantile(99), "ms"),
		newFigure("coverage of known requests", proven.coverage(), "%"),
		newFigure("coverage of new requests", unproven.coverage(), "%"),
	}, nil
}
