package hysdispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
)

// TestPausingSearcher replays, in virtual time, a near replica that pauses once and a
// far one that always takes longer. The load must stay at the near one.
func TestPausingSearcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pause atomic.Bool
		var near atomic.Int64
		d := frontDispatcher(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
			if to.ID == "s-1" {
				time.Sleep(12 * time.Millisecond)
				return hysdispatch.Result{}
			}
			near.Add(1)
			if pause.CompareAndSwap(true, false) {
				time.Sleep(60 * time.Millisecond)
			}
			time.Sleep(2 * time.Millisecond)
			return hysdispatch.Result{}
		})
		all := replicas(2)
		all[1].Distance = 10 * time.Millisecond
		d.SetReplicas(service, all, 2)
		for i := range 20 {
			d.Submit(context.Background(), frontSubRequest(i))
		}
		pause.Store(true)
		before := near.Load()
		for i := range 20 {
			d.Submit(context.Background(), frontSubRequest(100+i))
		}
		g := gomega.NewWithT(t)
		g.Expect(near.Load()-before).To(gomega.BeNumerically(">=", 17), "sends to the near replica after its pause")
		t.Logf("%d sends to the near replica", near.Load()-before)
		// Wait for the lingering sends and for the workers to end.
		time.Sleep(workersEnd)
	})
}
