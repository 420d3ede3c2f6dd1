package hysdispatch_test

import (
	"context"
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
)

// losingLoad is a load of rare requests on three replicas. The near one and one
// of the far ones lose 60 of 100 at once; the other far one answers all of them.
// The pause after a loss ends before the next request.
type losingLoad struct {
	seed  uint64
	fault hysdispatch.Fault
}

// losingResult counts what became of the requests and the sends.
type losingResult struct {
	lost     int64
	answered int64
}

const (
	losingRequests = 200
	losingInterval = 20 * time.Millisecond
)

func (l losingLoad) run() losingResult {
	random := rand.New(rand.NewPCG(l.seed, 2))
	var mu sync.Mutex
	var lost, answered atomic.Int64
	loses := func(to hysmember.SearcherID) bool {
		mu.Lock()
		defer mu.Unlock()
		return to != "s-2" && random.Float64() < 0.6
	}
	d := forwarding(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		if loses(to.ID) {
			lost.Add(1)
			return hysdispatch.Result{Fault: l.fault, NotRun: l.fault == hysdispatch.FaultShed}
		}
		span := 8 * time.Millisecond
		if to.ID != "s-0" {
			span = 25 * time.Millisecond
		}
		time.Sleep(span)
		return hysdispatch.Result{}
	})
	all := replicas(3)
	all[1].Distance, all[2].Distance = 16*time.Millisecond, 16*time.Millisecond
	d.SetReplicas(service, all, 2)
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	var wait sync.WaitGroup
	for i := range losingRequests {
		wait.Go(func() {
			if d.Submit(context.Background(), forwarded(i)).Status == hysquery.ShardAnswered {
				answered.Add(1)
			}
		})
		time.Sleep(losingInterval)
	}
	wait.Wait()
	stop()
	// Ends the workers.
	time.Sleep(workersEnd)
	return losingResult{lost: lost.Load(), answered: answered.Load()}
}

// TestLosingSearchers replays the load in virtual time, with fifty draws of
// which sends are lost: the load must move to the replica that answers.
func TestLosingSearchers(t *testing.T) {
	const draws = 50
	for _, fault := range []hysdispatch.Fault{hysdispatch.FaultShed, hysdispatch.FaultSilent} {
		t.Run(fault.String(), func(t *testing.T) {
			for seed := range uint64(draws) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					r := losingLoad{seed: seed, fault: fault}.run()
					g.Expect(r.lost).To(gomega.BeNumerically("<", losingRequests/10), "lost sends, draw %d", seed)
					g.Expect(r.answered).To(gomega.BeNumerically(">", losingRequests*90/100), "answered, draw %d", seed)
				})
			}
		})
	}
}
