package hysgather_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
)

// TestBusyDispatcher sends two queries to one dispatcher. The first one takes
// longer than the stall delay. Its part is resent to another dispatcher only if
// the dispatcher does not answer the second query meanwhile.
func TestBusyDispatcher(t *testing.T) {
	for name, c := range map[string]struct {
		second step
		others int
	}{
		"the part of a busy dispatcher is not resent":        {second: step{Does: "answer", AfterMS: 10}, others: 0},
		"the part of a dispatcher without replies is resent": {second: step{Does: "stall"}, others: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := script{
					Order:       map[string][]string{"*": {"a", "b"}},
					Dispatchers: map[string][]step{"a": {{Does: "answer", AfterMS: 150}, c.second}, "b": {{Does: "answer", AfterMS: 5}}},
				}
				w := s.newCluster()
				w.snapshots[0].Shards = 1
				gatherer := hysgather.New(w.snapshot, w.rank, w.send)
				first := make(chan hysquery.Answer, 1)
				go func() { first <- gatherer.Answer(context.Background(), s.request()) }()
				time.Sleep(60 * time.Millisecond)
				go gatherer.Answer(context.Background(), s.request())
				g.Expect((<-first).Outcome).To(Equal(hysquery.OutcomeComplete))
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				g.Expect(w.calls["b"]).To(Equal(c.others))
			})
		})
	}
}
