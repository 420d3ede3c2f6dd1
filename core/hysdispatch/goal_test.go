package hysdispatch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysbudget"
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
)

// goalLoad is a load of sub-requests with a goal on two near replicas and a far one,
// in virtual time.
type goalLoad struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Interval int    `json:"interval-ms"`
	Goal     int    `json:"goal-ms"`
	// Near and Far are the durations of sends at the replicas. Every LongEach-th send
	// to a near one takes Long.
	Near     int `json:"near-ms"`
	Far      int `json:"far-ms"`
	Long     int `json:"long-ms"`
	LongEach int `json:"long-each"`
	// InTime is the least number of replies within the goal, Sends the largest number
	// of sends.
	InTime int `json:"in-time"`
	Sends  int `json:"sends"`
}

// delayCase is a case of HedgeDelay.
type delayCase struct {
	Name  string `json:"name"`
	Goal  int    `json:"goal-ms"`
	Usual int    `json:"usual-ms"`
	Other int    `json:"other-ms"`
	Delay int    `json:"delay-ms"`
}

func TestDelayWithin(t *testing.T) {
	var cases []delayCase
	hyssuite.Read("delays.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			delay := hysdispatch.HedgeDelay(milliseconds(c.Goal), milliseconds(c.Usual), milliseconds(c.Other))
			gomega.NewWithT(t).Expect(delay).To(gomega.Equal(milliseconds(c.Delay)))
		})
	}
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// TestGoals replays loads in which the goal determines when a send is hedged.
func TestGoals(t *testing.T) {
	var loads []goalLoad
	hyssuite.Read("goals.json", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inTime, sends := l.run()
				t.Logf("%d of %d in time, %d sends", inTime, l.Requests, sends)
				g := gomega.NewWithT(t)
				g.Expect(inTime).To(gomega.BeNumerically(">=", l.InTime), "replies within the goal")
				g.Expect(sends).To(gomega.BeNumerically("<=", l.Sends), "sends")
			})
		})
	}
}

func (l goalLoad) run() (inTime, sends int) {
	var near, all, answered atomic.Int64
	d := hysdispatch.New(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		all.Add(1)
		switch {
		case to.ID == "s-2":
			time.Sleep(milliseconds(l.Far))
		case l.LongEach > 0 && near.Add(1)%int64(l.LongEach) == 0:
			time.Sleep(milliseconds(l.Long))
		default:
			time.Sleep(milliseconds(l.Near))
		}
		return hysdispatch.Result{}
	},
		hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percentile: 90, DefaultDelay: 40 * time.Millisecond, RetryReserve: 0.2}),
		hysdispatch.WithBudget(func(hysservice.Name) *hysbudget.Budget { return hysbudget.New(1, 10) }),
		hysdispatch.WithLinger(milliseconds(l.Goal)))
	three := replicas(3)
	three[0].Distance, three[1].Distance, three[2].Distance = time.Millisecond, time.Millisecond, 40*time.Millisecond
	d.SetReplicas(service, three, 4)
	var wait sync.WaitGroup
	for i := range l.Requests {
		wait.Go(func() {
			sub, goal := frontSubRequest(i), milliseconds(l.Goal)
			sub.Goal, sub.Due, sub.Deadline = goal, time.Now().Add(goal), time.Now().Add(4*goal)
			started := time.Now()
			if d.Submit(context.Background(), sub).Status == hysquery.ShardAnswered && time.Since(started) <= goal {
				answered.Add(1)
			}
		})
		time.Sleep(milliseconds(l.Interval))
	}
	wait.Wait()
	// Wait for the lingering sends and for the workers to end.
	time.Sleep(workersEnd)
	return int(answered.Load()), int(all.Load())
}
