package hysgather_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hyssnapshot"
)

// behaviors are what a dispatcher may do with a part; answers are the most
// frequent.
var behaviors = []string{
	"answer", "answer", "answer", "stall", "lost", "run-late", "refused", "overloaded", "unavailable",
	"wrong-version", "wrong-epoch", "wrong-shard", "truncated", "doubled",
}

// drawScript draws dispatchers that fail in any way and searchers whose
// snapshot changes up to three times while the query runs.
func drawScript(t *rapid.T) script {
	s := script{
		Once: rapid.Bool().Draw(t, "once"), WaitForCoverage: rapid.Bool().Draw(t, "wait"),
		Order: map[string][]string{}, Dispatchers: map[string][]step{},
		LeaveAfterMS: rapid.SampledFrom([]int{0, 0, 0, 20}).Draw(t, "leave"),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "snapshots") {
		s.Snapshots = append(s.Snapshots, drawSnapshot(t, i))
	}
	names := []string{"a", "b", "c"}
	for shard := range 5 {
		s.Order[fmt.Sprint(shard)] = rapid.Permutation(names).Draw(t, "order")
	}
	for _, n := range names {
		s.Dispatchers[n] = rapid.SliceOfN(rapid.Custom(drawStep), 1, 4).Draw(t, n)
	}
	return s
}

// drawSnapshot draws the i-th snapshot and the time from which it is served.
func drawSnapshot(t *rapid.T, i int) snapshotStep {
	epoch := rapid.IntRange(1, 2).Draw(t, "epoch")
	s := snapshotStep{
		AtMS: i * rapid.IntRange(1, 60).Draw(t, "at"), Epoch: hyssnapshot.Epoch(epoch), Shards: 2 * epoch,
		Versions: []hyssnapshot.Version{hyssnapshot.Version(i + 1)},
	}
	if rapid.Bool().Draw(t, "both") {
		s.Versions = append(s.Versions, hyssnapshot.Version(i+2))
	}
	if rapid.IntRange(0, 4).Draw(t, "lacks") == 0 {
		s.Lacking = []int{0}
	}
	return s
}

func drawStep(t *rapid.T) step {
	return step{
		Does:    rapid.SampledFrom(behaviors).Draw(t, "does"),
		AfterMS: rapid.IntRange(0, 120).Draw(t, "after"),
	}
}

// TestAnyFailure checks every answer against the oracle, its deadline and, for
// non-idempotent requests, that at most one shard ran.
func TestAnyFailure(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScript(r)
		violation := ""
		synctest.Test(t, func(*testing.T) {
			w := s.newCluster()
			answer := w.answer(s)
			took := time.Since(w.started)
			time.Sleep(2 * lateRun)
			violation = w.violation(answer)
			if took > s.request().Query.Deadline.Duration() {
				violation += fmt.Sprintf(" answered after %s", took)
			}
			if s.Once && w.ran() > 1 {
				violation += fmt.Sprintf(" ran %d times", w.ran())
			}
			if s.Once && answer.Outcome == hysquery.OutcomePartial {
				violation += " partial outcome of a non-idempotent request"
			}
		})
		if violation != "" {
			r.Fatal(violation)
		}
	})
}
