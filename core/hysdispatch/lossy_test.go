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

// lossyLoad is a load of infrequent requests on three replicas. The near replica and
// one of the far ones immediately fail 60 of 100 sends; the other far one answers all
// of them. The backoff after a failure ends before the next request.
type lossyLoad struct {
	seed  uint64
	fault hysdispatch.Fault
}

// lossyResult counts the failed sends and the answered requests.
type lossyResult struct {
	lost     int64
	answered int64
}

const (
	lossyRequests = 200
	lossyInterval = 20 * time.Millisecond
)

func (l lossyLoad) run() lossyResult {
	random := rand.New(rand.NewPCG(l.seed, 2))
	var mu sync.Mutex
	var lost, answered atomic.Int64
	fails := func(to hysmember.SearcherID) bool {
		mu.Lock()
		defer mu.Unlock()
		return to != "s-2" && random.Float64() < 0.6
	}
	d := frontDispatcher(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		if fails(to.ID) {
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
	for i := range lossyRequests {
		wait.Go(func() {
			if d.Submit(context.Background(), frontSubRequest(i)).Status == hysquery.ShardAnswered {
				answered.Add(1)
			}
		})
		time.Sleep(lossyInterval)
	}
	wait.Wait()
	stop()
	// Wait for the workers to end.
	time.Sleep(workersEnd)
	return lossyResult{lost: lost.Load(), answered: answered.Load()}
}

// TestLossySearchers replays the load in virtual time with fifty seeds for the sends
// that fail. The load must move to the replica that answers.
func TestLossySearchers(t *testing.T) {
	const seeds = 50
	for _, fault := range []hysdispatch.Fault{hysdispatch.FaultShed, hysdispatch.FaultSilent} {
		t.Run(fault.String(), func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					r := lossyLoad{seed: seed, fault: fault}.run()
					g.Expect(r.lost).To(gomega.BeNumerically("<", lossyRequests/10), "failed sends, seed %d", seed)
					g.Expect(r.answered).To(gomega.BeNumerically(">", lossyRequests*90/100), "answered, seed %d", seed)
				})
			}
		})
	}
}
