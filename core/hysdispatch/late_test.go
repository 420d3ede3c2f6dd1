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
	"hyssopshore/internal/hyssuite"
)

// lateLook is one case of testdata/late.json: a process that gets no processor for a
// while in the middle of a send.
type lateLook struct {
	Name string `json:"name"`
	// StallMS is for how long, ReplyMS after what time of it the reply is read.
	StallMS int `json:"stall-ms"`
	ReplyMS int `json:"reply-ms"`
	Hedges  int `json:"hedges"`
}

// run plays the stall in virtual time and returns the number of sends. The clock jumps
// where the process stands still; its timers, which fire then, come late.
func (l lateLook) run() int {
	var stalled, sends atomic.Int64
	clock := hysdispatch.WithClock(func() time.Time { return time.Now().Add(time.Duration(stalled.Load())) })
	d := hysdispatch.New(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
		if sends.Add(1) == 1 {
			time.Sleep(milliseconds(l.ReplyMS))
		}
		return hysdispatch.Result{}
	}, clock, hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percent: 90, Unknown: 40 * time.Millisecond}))
	d.SetReplicas(service, replicas(2), 2)
	go func() {
		time.Sleep(30 * time.Millisecond)
		stalled.Store(int64(milliseconds(l.StallMS)))
	}()
	d.Submit(context.Background(), forwarded(1))
	time.Sleep(workersEnd)
	return int(sends.Load())
}

func TestLateLooks(t *testing.T) {
	var looks []lateLook
	hyssuite.Read("late.json", &looks)
	for _, l := range looks {
		t.Run(l.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gomega.NewWithT(t).Expect(l.run()).To(gomega.Equal(1 + l.Hedges))
			})
		})
	}
}
