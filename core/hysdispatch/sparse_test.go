package hysdispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// sparseLoad is the load of one of many instances: an occasional query over many
// shards, so that the instance sends to each shard too rarely to know its latencies.
// Each shard has a near replica and two in other regions, to one of which there is a
// connection; a third of the shards have only the far ones. The near ones pause
// occasionally.
type sparseLoad struct {
	seed uint64
}

const (
	sparseShards   = 36
	sparseFarOnly  = 12
	sparseQueries  = 60
	sparseInterval = 1200 * time.Millisecond
	sparseWork     = 8 * time.Millisecond
	sparsePause    = 150 * time.Millisecond
	// sparsePaused is how often a near replica pauses.
	sparsePaused    = 0.04
	sparseNear      = time.Millisecond
	sparseFar       = 16 * time.Millisecond
	sparseHandshake = 6 * time.Millisecond
)

// connected reports connections to all replicas but the first of the far ones.
func (sparseLoad) connected(s hysmember.Searcher) bool { return s.Zone != "far" }

func (l sparseLoad) dispatcher() *hysdispatch.Dispatcher {
	random := rand.New(rand.NewPCG(l.seed, 7))
	var mu sync.Mutex
	pause := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() < sparsePaused {
			return sparsePause
		}
		return 0
	}
	d := hysdispatch.New(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		switch to.Zone {
		case "near":
			time.Sleep(sparseNear + sparseWork + pause())
		case "far":
			time.Sleep(2*sparseFar + sparseHandshake + sparseWork)
		default:
			time.Sleep(sparseFar + sparseWork)
		}
		return hysdispatch.Result{}
	},
		hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percentile: 90, DefaultDelay: 40 * time.Millisecond, RetryReserve: 0.2}),
		hysdispatch.WithBudget(func(hysservice.Name) *hysbudget.Budget { return hysbudget.New(0.2, 2) }),
		hysdispatch.WithConnections(l.connected))
	for shard := range sparseShards {
		d.SetReplicas(sparseService(shard), l.replicas(shard), 1)
	}
	return d
}

func sparseService(shard int) hysservice.Name { return hysservice.Name(fmt.Sprint("shard-", shard)) }

func (sparseLoad) replicas(shard int) []hysdispatch.Replica {
	all := replicas(3)
	zones := []hysmember.Zone{"far", "far and connected", "near"}
	distances := []time.Duration{sparseFar, sparseFar, sparseNear}
	for i := range all {
		all[i].Searcher.Zone, all[i].Distance = zones[i], distances[i]
	}
	if shard < sparseFarOnly {
		return all[:2]
	}
	return all
}

// run returns the duration of each query but the first, which finds a dispatcher
// without any latencies.
func (l sparseLoad) run() []time.Duration {
	d := l.dispatcher()
	var spans []time.Duration
	for query := range sparseQueries {
		started := time.Now()
		var wait sync.WaitGroup
		for shard := range sparseShards {
			sub := frontSubRequest(query)
			sub.Service, sub.Deadline = sparseService(shard), started.Add(time.Second)
			wait.Go(func() { d.Submit(context.Background(), sub) })
		}
		wait.Wait()
		if query > 0 {
			spans = append(spans, time.Since(started))
		}
		time.Sleep(sparseInterval)
	}
	// Wait for the workers to end.
	time.Sleep(workersEnd)
	return spans
}

// TestSparseShards replays the load in virtual time with different seeds for the
// pauses. A paused near replica must cost little more than the far one that replaces
// it.
func TestSparseShards(t *testing.T) {
	const seeds = 20
	fallbackTime := sparseNear + sparseWork + sparseFar + sparseWork
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			spans := sparseLoad{seed: seed}.run()
			slices.Sort(spans)
			g.Expect(spans[len(spans)/2]).To(gomega.BeNumerically("<=", fallbackTime+4*time.Millisecond), "median, seed %d", seed)
			g.Expect(spans[len(spans)*3/4]).To(gomega.BeNumerically("<=", fallbackTime+12*time.Millisecond), "third quartile, seed %d", seed)
		})
	}
}
