package hysdispatch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
)

// sharedSearcher runs requests in the order of arrival, two at the same time.
type sharedSearcher struct {
	slots chan struct{}
}

func newSharedSearcher() *sharedSearcher {
	return &sharedSearcher{slots: make(chan struct{}, 2)}
}

func (s *sharedSearcher) run(ctx context.Context, _ hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
	}
	defer func() { <-s.slots }()
	work := 8 * time.Millisecond
	if sub.Class == hysquery.ClassBulk {
		work = 60 * time.Millisecond
	}
	time.Sleep(work)
	return hysdispatch.Result{}
}

// offer sends requests of a class through several dispatchers in turn and returns how
// many of a hundred were answered within the goal. The dispatchers are told the goal
// if goals is true.
func offer(all []*hysdispatch.Dispatcher, class hysquery.Class, count int, interval, goal, deadline time.Duration, goals bool) int {
	var inGoal atomic.Int64
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() {
			sub := frontSubRequest(n)
			sub.Class, sub.Deadline, sub.MaxRuns, sub.Admitted = class, time.Now().Add(deadline), 1, true
			if goals {
				sub.Goal, sub.Admitted = goal, false
			}
			started := time.Now()
			reply := all[n%len(all)].Submit(context.Background(), sub)
			if reply.Status == hysquery.ShardAnswered && time.Since(started) <= goal {
				inGoal.Add(1)
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return int(inGoal.Load()) * 100 / count
}

// shareSearcher offers urgent and bulk requests, together 1.3 times what the one
// searcher can run, and returns the percentage of the urgent ones answered within
// their goal.
func shareSearcher(goals bool) int {
	s := newSharedSearcher()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all []*hysdispatch.Dispatcher
	for range 5 {
		d := frontDispatcher(s.run)
		d.SetReplicas(service, replicas(1), 2)
		go d.Run(ctx)
		all = append(all, d)
	}
	var bulk sync.WaitGroup
	bulk.Go(func() {
		offer(all, hysquery.ClassBulk, 75, 33*time.Millisecond, 400*time.Millisecond, time.Second, goals)
	})
	defer bulk.Wait()
	return offer(all, hysquery.ClassUrgent, 250, 10*time.Millisecond, 100*time.Millisecond, time.Second, goals)
}

var _ = Describe("a searcher overloaded by several dispatchers", func() {
	It("answers the urgent requests in time, because the others wait in the dispatchers' queues", func() {
		with, without := shareSearcher(true), shareSearcher(false)
		Expect(with).To(BeNumerically(">", without+20), "percent in time, with and without the goals")
		Expect(with).To(BeNumerically(">", 70))
	})
})
