package hysdispatch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// TestIdleDispatcher replays, in virtual time, an instance of a large fleet that has
// many services and no load. It must not check them periodically, which shows as
// reads of the clock, and still promptly match what waits for a replica that backs
// off.
func TestIdleDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var clockReads atomic.Int64
		clock := hysdispatch.WithClock(func() time.Time {
			clockReads.Add(1)
			return time.Now()
		})
		refused := true
		d := hysdispatch.New(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
			if refused {
				refused = false
				return hysdispatch.Result{Fault: hysdispatch.FaultRefused, NotRun: true}
			}
			return hysdispatch.Result{}
		}, clock)
		ctx, stop := context.WithCancel(context.Background())
		go d.Run(ctx)
		d.SetReplicas(service, replicas(1), 1)
		for n := range 200 {
			d.SetReplicas(hysservice.Name(fmt.Sprint("shard-", n)), replicas(3), 7)
		}
		synctest.Wait()
		before := clockReads.Load()
		time.Sleep(time.Minute)
		g.Expect(clockReads.Load()-before).To(gomega.BeZero(), "clock reads in an idle minute")

		d.Submit(ctx, frontSubRequest(1))
		began := time.Now()
		reply := d.Submit(ctx, frontSubRequest(2))
		g.Expect(reply.Reason).To(gomega.BeEmpty())
		g.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 50*time.Millisecond)), "the backoff of the replica")
		before = clockReads.Load()
		time.Sleep(time.Minute)
		g.Expect(clockReads.Load()-before).To(gomega.BeZero(), "clock reads in an idle minute after work")
		stop()
	})
}
