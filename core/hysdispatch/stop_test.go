package hysdispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hyssuite"
)

// stopLoad is one case of testdata/stops.json: requests that come until an instance ends.
type stopLoad struct {
	Name           string `json:"name"`
	Searchers      int    `json:"searchers"`
	Slots          int    `json:"slots"`
	WorkMS         int64  `json:"work-ms"`
	SendsPerSecond int    `json:"sends-per-second"`
	DeadlineMS     int64  `json:"deadline-ms"`
	GoalMS         int64  `json:"goal-ms"`
	Idempotent     bool   `json:"idempotent"`
	// Refuses makes the searchers refuse connections.
	Refuses bool `json:"refuses"`
}

// leastServed is the least fraction of what is served before the stop without one that
// must be served with it.
const leastServed = 0.9

// Times of the planned stop.
const (
	// stopFrom is when the stop becomes known, stopAt when no more sends are started and
	// stopEnd when the instance ends.
	stopFrom = 3 * time.Second
	stopAt   = 7 * time.Second
	stopEnd  = 8 * time.Second
)

// stopRun is one run of a stopLoad.
type stopRun struct {
	load  stopLoad
	began time.Time

	mu sync.Mutex
	// submittedAt is when each request came, sentAt when it was last sent to a searcher.
	submittedAt map[hysquery.RequestID]time.Duration
	sentAt      map[hysquery.RequestID]time.Duration
	replies     map[hysquery.RequestID]hysdispatch.SubReply
	// endedAt is when each request got its reply.
	endedAt map[hysquery.RequestID]time.Duration
}

func (r *stopRun) send(ctx context.Context, _ hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	r.mu.Lock()
	r.sentAt[sub.RequestID] = time.Since(r.began)
	r.mu.Unlock()
	select {
	case <-time.After(milliseconds(int(r.load.WorkMS))):
	case <-ctx.Done():
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
	}
	if r.load.Refuses {
		return hysdispatch.Result{Fault: hysdispatch.FaultRefused, NotRun: true}
	}
	return hysdispatch.Result{}
}

func newStopRun(l stopLoad) *stopRun {
	return &stopRun{
		load: l, submittedAt: make(map[hysquery.RequestID]time.Duration), sentAt: make(map[hysquery.RequestID]time.Duration),
		replies: make(map[hysquery.RequestID]hysdispatch.SubReply), endedAt: make(map[hysquery.RequestID]time.Duration),
	}
}

// play offers the load and ends all requests at stopEnd. It tells the dispatcher of the
// stop if stops is true.
func (r *stopRun) play(stops bool) {
	l := r.load
	d := frontDispatcher(r.send)
	d.SetReplicas(service, replicas(l.Searchers), l.Slots)
	ctx, end := context.WithCancelCause(context.Background())
	go d.Run(ctx)
	r.began = time.Now()
	if stops {
		time.AfterFunc(stopFrom, func() { d.StopAt(r.began.Add(stopAt)) })
	}
	time.AfterFunc(stopEnd, func() { end(hysdispatch.ErrStopping) })
	var wait sync.WaitGroup
	for n := 0; time.Since(r.began) < stopEnd; n++ {
		wait.Go(func() {
			sub := frontSubRequest(n)
			sub.Idempotent, sub.Goal = l.Idempotent, milliseconds(int(l.GoalMS))
			sub.Deadline, sub.Due = time.Now().Add(milliseconds(int(l.DeadlineMS))), time.Now().Add(sub.Goal)
			submittedAt := time.Since(r.began)
			reply := d.Submit(ctx, sub)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.replies[sub.RequestID], r.submittedAt[sub.RequestID], r.endedAt[sub.RequestID] = reply, submittedAt, time.Since(r.began)
		})
		time.Sleep(time.Second / time.Duration(l.SendsPerSecond))
	}
	wait.Wait()
	time.Sleep(workersEnd + milliseconds(int(l.DeadlineMS)))
}

// TestNothingWaitsWhenTheInstanceStops replays loads that last until an instance ends. It
// guards against requests that wait in its queues until their connections are cut.
func TestNothingWaitsWhenTheInstanceStops(t *testing.T) {
	var loads []stopLoad
	hyssuite.Read("stops.json", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				without, r := newStopRun(l), newStopRun(l)
				without.play(false)
				r.play(true)
				r.check(gomega.NewWithT(t), without.servedBefore(stopAt))
			})
		})
	}
}

// servedBefore returns how many requests were served before a time.
func (r *stopRun) servedBefore(end time.Duration) int {
	served := 0
	for id, reply := range r.replies {
		if reply.Status == hysquery.ShardAnswered && r.endedAt[id] < end {
			served++
		}
	}
	return served
}

// check checks the replies, where usual is how many requests are served before the stop
// without one.
func (r *stopRun) check(g *gomega.WithT, usual int) {
	for id, reply := range r.replies {
		sentAt, sent := r.sentAt[id]
		if !sent {
			g.Expect(r.endedAt[id]).To(gomega.BeNumerically("<=", max(stopAt, r.submittedAt[id])), "%s was not sent and still waits", id)
			g.Expect(reply.NotRun).To(gomega.BeTrue(), "%s was not sent", id)
		}
		if !sent && reply.Status != hysquery.ShardTimeout {
			g.Expect(reply.RetryAfter).To(gomega.BeNumerically(">", 0), "%s is not told when to come back", id)
		}
		if sent && !r.load.Refuses {
			g.Expect(reply.NotRun).To(gomega.BeFalse(), "%s may have run", id)
		}
		g.Expect(sentAt).To(gomega.BeNumerically("<=", stopAt), "%s was sent after the stop", id)
		g.Expect(r.endedAt[id]).To(gomega.BeNumerically("<=", stopEnd), "%s has no reply when the instance ends", id)
	}
	g.Expect(r.servedBefore(stopEnd)).To(gomega.BeNumerically(">=", int(leastServed*float64(usual))))
}
