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

// sharedSearcher runs what it gets in the order in which it comes, two at once.
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

// offer sends requests of a class through several dispatchers in turn and
// returns how many of a hundred were answered within the goal.
func offer(all []*hysdispatch.Dispatcher, class hysquery.Class, count int, interval, goal, deadline time.Duration, aware bool) int {
	var inGoal atomic.Int64
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() {
			sub := forwarded(n)
			sub.Class, sub.Deadline, sub.MaxRuns, sub.Admitted = class, time.Now().Add(deadline), 1, true
			if aware {
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

// shareSearcher offers urgent and bulk requests, together 1.3 times what the
// one searcher can run, and returns the part of the urgent ones in their goal.
func shareSearcher(aware bool) int {
	s := newSharedSearcher()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all []*hysdispatch.Dispatcher
	for range 5 {
		d := forwarding(s.run)
		d.SetReplicas(service, replicas(1), 2)
		go d.Run(ctx)
		all = append(all, d)
	}
	var bulk sync.WaitGroup
	bulk.Go(func() {
		offer(all, hysquery.ClassBulk, 75, 33*time.Millisecond, 400*time.Millisecond, time.Second, aware)
	})
	defer bulk.Wait()
	return offer(all, hysquery.ClassUrgent, 250, 10*time.Millisecond, 100*time.Millisecond, time.Second, aware)
}

var _ = Describe("a searcher that several dispatchers give more than it can run", func() {
	It("answers the urgent requests in time, since the others wait outside of it", func() {
		with, without := shareSearcher(true), shareSearcher(false)
		Expect(with).To(BeNumerically(">", without+20), "percent in time, with and without the goals")
		Expect(with).To(BeNumerically(">", 70))
	})
})
