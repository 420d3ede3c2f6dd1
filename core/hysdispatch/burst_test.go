package hysdispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// burst is a load of queries over some shards of two replicas with one slot
// each, offered faster than the slots can run them.
type burst struct {
	shards   int
	queries  int
	interval time.Duration
	work     time.Duration
	goal     time.Duration
}

// burstResult counts the queries by how they ended.
type burstResult struct {
	inGoal  atomic.Int64
	late    atomic.Int64
	refused atomic.Int64
	// immediate counts refusals that came within a quarter of the goal.
	immediate atomic.Int64
	// mu guards retryTimes, the distinct retry times of the refusals.
	mu         sync.Mutex
	retryTimes map[time.Duration]bool
}

func (b burst) run(admit bool) *burstResult {
	d := frontDispatcher(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
		time.Sleep(b.work)
		return hysdispatch.Result{}
	})
	for i := range b.shards {
		d.SetReplicas(hysservice.Name(fmt.Sprint("d", i)), replicas(2), 1)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.Run(ctx)
	result := &burstResult{retryTimes: make(map[time.Duration]bool)}
	var wait sync.WaitGroup
	for n := range b.queries {
		wait.Go(func() { b.query(d, n, admit, result) })
		time.Sleep(b.interval)
	}
	wait.Wait()
	return result
}

func (b burst) query(d *hysdispatch.Dispatcher, n int, admit bool, result *burstResult) {
	started := time.Now()
	subs := make([]hysdispatch.SubRequest, b.shards)
	for i := range subs {
		subs[i] = frontSubRequest(n)
		subs[i].Service, subs[i].Goal, subs[i].MaxRuns = hysservice.Name(fmt.Sprint("d", i)), b.goal, 1
		subs[i].Deadline, subs[i].Admitted = started.Add(10*b.goal), true
	}
	if admit {
		if refusal, ok := d.Admit(subs, b.shards); !ok {
			result.recordRefusal(refusal.RetryAfter, time.Since(started) < b.goal/4)
			return
		}
	}
	if submitAll(d, subs) == b.shards && time.Since(started) <= b.goal {
		result.inGoal.Add(1)
		return
	}
	result.late.Add(1)
}

func (r *burstResult) recordRefusal(after time.Duration, early bool) {
	r.refused.Add(1)
	if early {
		r.immediate.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryTimes[after.Round(10*time.Millisecond)] = true
}

var _ = Describe("a burst of queries at 1.5 times the capacity of the shards", func() {
	load := burst{shards: 3, queries: 300, interval: 6700 * time.Microsecond, work: 20 * time.Millisecond, goal: 150 * time.Millisecond}

	It("is mostly answered in time, because the excess is refused immediately", func() {
		admitted, all := load.run(true), load.run(false)
		Expect(admitted.inGoal.Load()).To(BeNumerically(">", 2*all.inGoal.Load()), "in time, with and without admission")
		Expect(admitted.refused.Load()).To(BeNumerically(">", 0))
		Expect(admitted.immediate.Load()).To(Equal(admitted.refused.Load()))
		Expect(len(admitted.retryTimes)).To(BeNumerically(">", 5), "callers that are asked to retry at different times")
	})

	It("refuses a query immediately if too few of its shards have a searcher", func() {
		d := frontDispatcher(nil)
		d.SetReplicas("d0", replicas(2), 1)
		subs := []hysdispatch.SubRequest{frontSubRequest(1), frontSubRequest(1)}
		subs[0].Service, subs[1].Service = "d0", "d1"
		refusal, ok := d.Admit(subs, 2)
		Expect(ok).To(BeFalse())
		Expect(refusal.NotRun).To(BeTrue())
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		_, ok = d.Admit(subs, 1)
		Expect(ok).To(BeTrue())
	})
})
