package hysdispatch_test

import (
	"context"
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

// confirmationScript is one case of testdata/confirmations.json: a sub-request of another
// instance, which may be confirmed some time after it was sent.
type confirmationScript struct {
	Name    string `json:"name"`
	MaxRuns int    `json:"max-runs"`
	// ConfirmMS is when it is confirmed; 0 if it never is.
	ConfirmMS int `json:"confirm-ms"`
	// WorkMS is how long each send takes. The first Failures of them fail; NotRun is set if
	// they have not run then.
	WorkMS   int  `json:"work-ms"`
	Failures int  `json:"failures"`
	NotRun   bool `json:"not-run"`
	// WantRunsBefore and WantRuns are the runs until the confirmation, and in all.
	WantRunsBefore int `json:"want-runs-before"`
	WantRuns       int `json:"want-runs"`
	// WantAnswerMS is when it is answered; 0 if it is not.
	WantAnswerMS int `json:"want-answer-ms"`
}

// confirmationDeadline is the deadline of the scripts.
const confirmationDeadline = time.Second

func (s confirmationScript) run(t *testing.T) {
	g := gomega.NewWithT(t)
	var sends, runs atomic.Int64
	send := func(ctx context.Context, _ hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
		fails := sends.Add(1) <= int64(s.Failures)
		if !fails || !s.NotRun {
			runs.Add(1)
		}
		select {
		case <-time.After(time.Duration(s.WorkMS) * time.Millisecond):
		case <-ctx.Done():
			return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
		}
		switch {
		case fails && s.NotRun:
			return hysdispatch.Result{Fault: hysdispatch.FaultShed, NotRun: true}
		case fails:
			return hysdispatch.Result{Fault: hysdispatch.FaultLost}
		}
		return hysdispatch.Result{}
	}
	d := hysdispatch.New(send, hysdispatch.WithBudget(func(hysservice.Name) *hysbudget.Budget { return hysbudget.New(1, 100) }),
		hysdispatch.WithHedging(hysdispatch.HedgePolicy{Percentile: 95, DefaultDelay: 100 * time.Millisecond}))
	d.SetReplicas(service, replicas(4), 2)
	confirmed := make(chan struct{})
	sub := subRequest("r", confirmationDeadline)
	sub.MaxRuns, sub.Confirmed, sub.RetryNotRun = s.MaxRuns, confirmed, true
	began := time.Now()
	replied := make(chan hysdispatch.SubReply, 1)
	go func() { replied <- d.Submit(context.Background(), sub) }()
	if s.ConfirmMS > 0 {
		time.Sleep(time.Duration(s.ConfirmMS) * time.Millisecond)
		g.Expect(runs.Load()).To(gomega.BeEquivalentTo(s.WantRunsBefore), "runs before the confirmation")
		close(confirmed)
	}
	reply := <-replied
	g.Expect(reply.Status == hysquery.ShardAnswered).To(gomega.Equal(s.WantAnswerMS > 0), reply.Reason)
	if s.WantAnswerMS > 0 {
		g.Expect(time.Since(began)).To(gomega.Equal(time.Duration(s.WantAnswerMS) * time.Millisecond))
	}
	time.Sleep(workersEnd)
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(s.WantRuns), "runs")
}

// TestUnconfirmedRuns guards against more runs than the instance counts for which a
// sub-request runs, and which may have taken this one for silent.
func TestUnconfirmedRuns(t *testing.T) {
	var scripts []confirmationScript
	hyssuite.Read("confirmations.json", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) { synctest.Test(t, script.run) })
	}
}

// TestRepeatedSubRequest guards against repeats that no budget counts: one that may have
// been sent before is an extra send, and allows none.
func TestRepeatedSubRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var budget *hysbudget.Budget
		d := hysdispatch.New(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
			return hysdispatch.Result{}
		}, hysdispatch.WithBudget(func(hysservice.Name) *hysbudget.Budget {
			budget = hysbudget.New(1, 3)
			return budget
		}))
		d.SetReplicas(service, replicas(2), 2)
		sub := subRequest("r", time.Second)
		sub.Repeated = true
		g.Expect(d.Submit(context.Background(), sub).Status).To(gomega.Equal(hysquery.ShardAnswered))
		g.Expect(budget.Remaining()).To(gomega.BeEquivalentTo(2))
		time.Sleep(workersEnd)
	})
}
