package hysdispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
)

// overloadLoad is a load of queries over some shards which for a while exceeds what
// the searchers can run. A caller that is refused retries once, after the time that
// the refusal states. Each searcher has slots and its own queue.
type overloadLoad struct {
	Name     string `json:"name"`
	Shards   int    `json:"shards"`
	Replicas int    `json:"replicas"`
	Slots    int    `json:"slots"`
	Work     int    `json:"work-ms"`
	// Every LongEach-th send takes ten times as long; 0 for none.
	LongEach int `json:"long-each"`
	Goal     int `json:"goal-ms"`
	Deadline int `json:"deadline-ms"`
	// Seconds is how long the overload lasts, Excess its rate as a multiple of what
	// the searchers can run.
	Seconds int     `json:"seconds"`
	Excess  float64 `json:"excess"`
	// InTime is the least fraction of what the searchers can run that must be
	// answered in time, Unserved the largest fraction of the queries that may get no
	// answer.
	InTime   float64 `json:"in-time"`
	Unserved float64 `json:"unserved"`
	// Extra is the largest fraction of the sends that may be hedges or retries.
	Extra float64 `json:"extra"`
}

type overloadResult struct {
	inTime, late, refusedTwice, failed, sends, extra atomic.Int64
}

// TestOverload replays overloads in virtual time.
func TestOverload(t *testing.T) {
	var loads []overloadLoad
	hyssuite.Read("crowds.json", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r overloadResult
				queries := l.run(&r)
				capacity := l.rate() * float64(l.Seconds)
				unserved := float64(r.refusedTwice.Load()+r.failed.Load()) / float64(queries)
				inTime := float64(r.inTime.Load()) / capacity
				extra := float64(r.extra.Load()) / float64(r.sends.Load())
				t.Logf("%d queries, %.0f can be run: %d in time (%.2f), %d late, %d refused twice, %d without an answer (%.3f unserved), %.3f of the sends hedges or retries",
					queries, capacity, r.inTime.Load(), inTime, r.late.Load(), r.refusedTwice.Load(), r.failed.Load(), unserved, extra)
				g := gomega.NewWithT(t)
				g.Expect(inTime).To(gomega.BeNumerically(">=", l.InTime), "fraction in time of what can be run")
				g.Expect(unserved).To(gomega.BeNumerically("<=", l.Unserved), "fraction without an answer")
				g.Expect(extra).To(gomega.BeNumerically("<=", l.Extra), "fraction of the sends that are hedges or retries")
			})
		})
	}
}

// rate is how many queries a second the searchers can run.
func (l overloadLoad) rate() float64 {
	return float64(l.Replicas*l.Slots) / milliseconds(l.Work).Seconds()
}

// run offers the load and returns how many queries were sent.
func (l overloadLoad) run(r *overloadResult) int {
	d := frontDispatcher(l.sender(r))
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	for shard := range l.Shards {
		var all []hysdispatch.Replica
		for _, one := range replicas(l.Replicas) {
			one.Searcher.ID = hysmember.SearcherID(fmt.Sprintf("d%d-%s", shard, one.Searcher.ID))
			all = append(all, one)
		}
		d.SetReplicas(overloadService(shard), all, l.Slots)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	queries := 0
	offer := func(seconds, excess float64) {
		for until := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(until); queries++ {
			n := queries
			wait.Go(func() { l.query(d, n, r) })
			time.Sleep(time.Duration(random.ExpFloat64() / (excess * l.rate()) * float64(time.Second)))
		}
	}
	offer(1, 0.3)
	warmup := queries
	wait.Wait()
	r.inTime.Store(0)
	r.sends.Store(0)
	r.extra.Store(0)
	offer(float64(l.Seconds), l.Excess)
	wait.Wait()
	stop()
	time.Sleep(workersEnd)
	return queries - warmup
}

func overloadService(shard int) hysservice.Name { return hysservice.Name(fmt.Sprint("d", shard)) }

// sender runs a sub-request in a slot of its searcher, in the order of arrival.
func (l overloadLoad) sender(r *overloadResult) hysdispatch.Sender {
	var mu sync.Mutex
	seen := make(map[string]bool)
	random := rand.New(rand.NewPCG(3, 4))
	slots := make(map[hysmember.SearcherID]chan struct{})
	return func(ctx context.Context, to hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
		n := r.sends.Add(1)
		mu.Lock()
		key := fmt.Sprint(sub.RequestID, sub.Service)
		if seen[key] {
			r.extra.Add(1)
		}
		seen[key] = true
		if slots[to.ID] == nil {
			slots[to.ID] = make(chan struct{}, l.Slots)
		}
		searcherSlots := slots[to.ID]
		work := time.Duration((0.65 + 0.7*random.Float64()) * float64(milliseconds(l.Work)))
		mu.Unlock()
		if l.LongEach > 0 && n%int64(l.LongEach) == 0 {
			work *= 10
		}
		select {
		case searcherSlots <- struct{}{}:
		case <-ctx.Done():
			return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
		}
		defer func() { <-searcherSlots }()
		time.Sleep(work)
		return hysdispatch.Result{}
	}
}

// query sends a query, and once more if it is refused.
func (l overloadLoad) query(d *hysdispatch.Dispatcher, n int, r *overloadResult) {
	first := time.Now()
	for attempt := range 2 {
		outcome, after := l.attempt(d, fmt.Sprintf("r-%d-%d", n, attempt), first, attempt > 0)
		switch {
		case outcome == hysquery.ShardAnswered && time.Since(first) <= milliseconds(l.Goal):
			r.inTime.Add(1)
			return
		case outcome == hysquery.ShardAnswered:
			r.late.Add(1)
			return
		case outcome != hysquery.ShardOverloaded:
			r.failed.Add(1)
			return
		case attempt > 0:
			r.refusedTwice.Add(1)
			return
		}
		// Callers wait for a third of their time at most.
		time.Sleep(min(after, milliseconds(l.Deadline)/3))
	}
}

// attempt sends a query once; its answer needs all of its shards.
func (l overloadLoad) attempt(d *hysdispatch.Dispatcher, id string, first time.Time, returning bool) (hysquery.ShardStatus, time.Duration) {
	now := time.Now()
	subs := make([]hysdispatch.SubRequest, l.Shards)
	for i := range subs {
		subs[i] = subRequest(id, 0)
		subs[i].Epoch, subs[i].Version, subs[i].MaxRuns, subs[i].RetryNotRun = 1, 1, 2, true
		subs[i].Service, subs[i].Goal, subs[i].Returning = overloadService(i), milliseconds(l.Goal), returning
		subs[i].Due, subs[i].Deadline = now.Add(milliseconds(l.Goal)), first.Add(milliseconds(l.Deadline))
	}
	if refusal, ok := d.Admit(subs, l.Shards); !ok {
		return hysquery.ShardOverloaded, refusal.RetryAfter
	}
	if submitAll(d, subs) < l.Shards {
		return hysquery.ShardTimeout, 0
	}
	return hysquery.ShardAnswered, 0
}
