package hysgather_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 1000) }

// script is one case of testdata/gather.json.
type script struct {
	Name            string                  `json:"name"`
	Once            bool                    `json:"once"`
	WaitForCoverage bool                    `json:"wait-for-coverage"`
	Snapshots       []snapshotStep          `json:"snapshots"`
	Order           map[string][]string     `json:"order"`
	Dispatchers     map[string][]step       `json:"dispatchers"`
	LeaveAfterMS    int                     `json:"leave-after-ms"`
	Outcome         hysquery.Outcome        `json:"outcome"`
	Statuses        []hysquery.ShardStatus  `json:"statuses"`
	Version         hyssnapshot.Version     `json:"version"`
	Epoch           hyssnapshot.Epoch       `json:"epoch"`
	Runs            *int                    `json:"runs"`
	Cancelled       int                     `json:"cancelled"`
	WithinMS        hysservice.Milliseconds `json:"within-ms"`
}

// request returns the query of every script, with a latency goal of 200 ms and
// a deadline of 1 s on a virtual clock.
func (s script) request() hysgather.Request {
	return hysgather.Request{
		Query: hysquery.Query{
			RequestID: "request-1", Service: serviceName, Deadline: 1000, NonIdempotent: s.Once, Key: "treble",
		},
		Service: hysservice.Service{Name: serviceName, LatencyGoal: 200, WaitForCoverage: s.WaitForCoverage},
		Weight:  1,
	}
}

// newCluster returns the dispatchers and searchers of the script.
func (s script) newCluster() *cluster {
	w := &cluster{
		once: s.Once, started: time.Now(), snapshots: s.Snapshots,
		order: s.Order, steps: s.Dispatchers, calls: make(map[string]int),
	}
	if len(w.snapshots) == 0 {
		w.snapshots = []snapshotStep{{Epoch: 1, Shards: 2, Versions: []hyssnapshot.Version{1}}}
	}
	return w
}

// answer runs the query of the script. The caller leaves after LeaveAfterMS, if
// any.
func (w *cluster) answer(s script) hysquery.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.LeaveAfterMS > 0 {
		time.AfterFunc(time.Duration(s.LeaveAfterMS)*time.Millisecond, cancel)
	}
	g := hysgather.New(w.snapshot, w.rank, w.send)
	if s.Once {
		return g.AnswerAtMostOnce(ctx, s.request())
	}
	return g.Answer(ctx, s.request())
}

func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/gather.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.check(NewWithT(t)) })
		})
	}
}

// check runs the script and compares the answer with what it wants.
func (s script) check(g *WithT) {
	w := s.newCluster()
	answer := w.answer(s)
	took := time.Since(w.started)
	time.Sleep(2 * lateRun)
	g.Expect(w.violation(answer)).To(BeEmpty())
	g.Expect(answer.Outcome).To(Equal(s.Outcome), answer.Reason)
	g.Expect(took).To(BeNumerically("<=", s.WithinMS.Duration()))
	if s.Outcome == hysquery.OutcomeNotRun {
		final := len(answer.Coverage) > 0 && answer.Coverage[0].Status == hysquery.ShardQuarantined
		g.Expect(answer.RetryAfter > 0).To(Equal(!final), "only a quarantined request has no retry delay")
	}
	if s.Statuses != nil {
		var statuses []hysquery.ShardStatus
		for _, c := range answer.Coverage {
			statuses = append(statuses, c.Status)
		}
		g.Expect(statuses).To(Equal(s.Statuses))
	}
	if s.Version > 0 {
		g.Expect(answer.Version).To(Equal(s.Version))
	}
	if s.Epoch > 0 {
		g.Expect(answer.Epoch).To(Equal(s.Epoch))
	}
	if s.Runs != nil {
		g.Expect(w.ran()).To(Equal(*s.Runs))
	}
	g.Expect(w.cancellations()).To(BeNumerically(">=", s.Cancelled))
}
