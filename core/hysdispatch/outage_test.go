package hysdispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hyssuite"
)

// outage is one case of testdata/outages.json: for a while no searcher of a shard
// answers.
type outage struct {
	Name string `json:"name"`
	// How is how sends end meanwhile: hang (never), timeout (not connected after a
	// while) or refused.
	How            string `json:"how"`
	SendsPerSecond int    `json:"sends-per-second"`
	// WorkMS is how long a searcher takes before and after the outage.
	WorkMS int64 `json:"work-ms"`
	// Query asks for each request first whether it is admitted as a query.
	Query      bool  `json:"query"`
	OutageMS   int64 `json:"outage-ms"`
	DeadlineMS int64 `json:"deadline-ms"`
	GoalMS     int64 `json:"goal-ms"`
	Idempotent bool  `json:"idempotent"`
	// WithinMS is how soon after the outage all requests must be answered again.
	WithinMS int64 `json:"within-ms"`
}

// connectTimeout is how long a connection takes to fail that hangs.
const connectTimeout = 300 * time.Millisecond

// outageStart is how long the searchers answer before the outage.
const outageStart = time.Second

func (o outage) send(ctx context.Context, out *atomic.Bool) hysdispatch.Result {
	if !out.Load() {
		time.Sleep(time.Duration(o.WorkMS) * time.Millisecond)
		return hysdispatch.Result{}
	}
	switch o.How {
	case "refused":
		return hysdispatch.Result{Fault: hysdispatch.FaultRefused, NotRun: true}
	case "timeout":
		select {
		case <-time.After(connectTimeout):
			return hysdispatch.Result{Fault: hysdispatch.FaultRefused, NotRun: true}
		case <-ctx.Done():
			return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, NotRun: true}
		}
	default:
		<-ctx.Done()
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
	}
}

// run plays the outage and returns how many requests were sent after it, and how many
// of them were answered.
func (o outage) run() (sent, answered int64) {
	var out atomic.Bool
	d := frontDispatcher(func(ctx context.Context, _ hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		return o.send(ctx, &out)
	})
	d.SetReplicas(service, replicas(3), 2)
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	end := outageStart + time.Duration(o.OutageMS)*time.Millisecond
	time.AfterFunc(outageStart, func() { out.Store(true) })
	time.AfterFunc(end, func() { out.Store(false) })
	began := time.Now()
	counted := end + time.Duration(o.WithinMS)*time.Millisecond
	var all, served atomic.Int64
	var wait sync.WaitGroup
	for n := 0; time.Since(began) < counted+2*time.Second; n++ {
		counts := time.Since(began) >= counted
		wait.Go(func() {
			sub := frontSubRequest(n)
			sub.Idempotent, sub.Goal = o.Idempotent, time.Duration(o.GoalMS)*time.Millisecond
			sub.Deadline = time.Now().Add(time.Duration(o.DeadlineMS) * time.Millisecond)
			sub.Due = time.Now().Add(sub.Goal)
			ok := o.submit(d, sub)
			if !counts {
				return
			}
			all.Add(1)
			if ok {
				served.Add(1)
			}
		})
		time.Sleep(time.Second / time.Duration(o.SendsPerSecond))
	}
	wait.Wait()
	stop()
	// Wait for the workers to end.
	time.Sleep(workersEnd)
	return all.Load(), served.Load()
}

// submit reports whether a sub-request was answered.
func (o outage) submit(d *hysdispatch.Dispatcher, sub hysdispatch.SubRequest) bool {
	subs := []hysdispatch.SubRequest{sub}
	if o.Query {
		if _, admitted := d.Admit(subs, 1); !admitted {
			return false
		}
	}
	return d.Submit(context.Background(), subs[0]).Status == hysquery.ShardAnswered
}

// TestShardIsTriedAgainAfterOutage replays outages of a whole shard in virtual time: its
// requests must be answered again soon after it.
func TestShardIsTriedAgainAfterOutage(t *testing.T) {
	var outages []outage
	hyssuite.Read("outages.json", &outages)
	for _, o := range outages {
		t.Run(o.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, answered := o.run()
				gomega.NewWithT(t).Expect(answered).To(gomega.Equal(sent), fmt.Sprintf("%+v", o))
			})
		})
	}
}
