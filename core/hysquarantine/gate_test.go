package hysquarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 1000) }

func TestQuarantine(t *testing.T) {
	hyssuite.Run(t, "Quarantine")
}

const crasher = hysquery.Fingerprint("killer")

// cluster is a set of searchers. Each crashes when it runs the crasher, and
// restarts at once.
type cluster struct {
	mu      sync.Mutex
	crashes map[hysmember.SearcherID]int
	// restarts counts the restarts of each searcher.
	restarts map[hysmember.SearcherID]int
	runTime  time.Duration
}

func newCluster(runTime time.Duration) *cluster {
	return &cluster{crashes: make(map[hysmember.SearcherID]int), restarts: make(map[hysmember.SearcherID]int), runTime: runTime}
}

func (c *cluster) send(_ context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	c.mu.Lock()
	before := c.restarts[s.ID]
	c.mu.Unlock()
	time.Sleep(c.runTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restarts[s.ID] != before {
		return hysdispatch.Result{Fault: hysdispatch.FaultLost}
	}
	if sub.Fingerprint == crasher {
		c.crashes[s.ID]++
		c.restarts[s.ID]++
		return hysdispatch.Result{Fault: hysdispatch.FaultLost}
	}
	return hysdispatch.Result{}
}

func (c *cluster) totalCrashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, n := range c.crashes {
		total += n
	}
	return total
}

func (c *cluster) gate() (*hysquarantine.Gate, *hysquarantine.Registry) {
	r := hysquarantine.NewRegistry(time.Now)
	crashed := func(context.Context, hysmember.Searcher, uint64) bool { return true }
	return hysquarantine.NewGate(r, hysquarantine.NewProvenCache(), c.send, crashed, firstIncarnation), r
}

func firstIncarnation(hysmember.SearcherID) uint64 { return 1 }

func searcher(n int) hysmember.Searcher {
	return hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprintf("s-%d", n))}
}

func sub(f hysquery.Fingerprint) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{Service: "captains-desk", Fingerprint: f}
}

func key(f hysquery.Fingerprint) hysquarantine.Key {
	return hysquarantine.Key{Service: "captains-desk", Fingerprint: f}
}

var _ = Describe("a gate", func() {
	It("loses at most two searchers to a request sent to all of them at once", func() {
		c := newCluster(time.Millisecond)
		g, r := c.gate()
		var wait sync.WaitGroup
		for i := range 40 {
			wait.Go(func() { g.Send(context.Background(), searcher(i%8), sub(crasher)) })
		}
		wait.Wait()
		Expect(c.totalCrashes()).To(Equal(2))
		Expect(r.Record(key(crasher)).State()).To(Equal(hysquarantine.StateQuarantined))
		result := g.Send(context.Background(), searcher(0), sub(crasher))
		Expect(result.Fault).To(Equal(hysdispatch.FaultQuarantined))
		Expect(result.NotRun).To(BeTrue())
	})

	It("clears requests that only shared the slots of a crashed searcher", func() {
		c := newCluster(time.Millisecond)
		g, r := c.gate()
		var wait sync.WaitGroup
		for i := range 60 {
			f := hysquery.Fingerprint(fmt.Sprintf("innocent-%d", i%10))
			if i%6 == 0 {
				f = crasher
			}
			wait.Go(func() {
				for range 3 {
					if g.Send(context.Background(), searcher(i%4), sub(f)).Fault == hysdispatch.FaultNone {
						return
					}
				}
			})
		}
		wait.Wait()
		Expect(c.totalCrashes()).To(Equal(2))
		for i := range 10 {
			f := hysquery.Fingerprint(fmt.Sprintf("innocent-%d", i))
			Expect(r.Record(key(f)).State()).NotTo(Equal(hysquarantine.StateQuarantined))
			Expect(g.Send(context.Background(), searcher(0), sub(f)).Fault).To(Equal(hysdispatch.FaultNone))
		}
	})

	It("attributes no crash for a connection that was only cut", func() {
		r := hysquarantine.NewRegistry(time.Now)
		cut := func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
			return hysdispatch.Result{Fault: hysdispatch.FaultLost}
		}
		alive := func(context.Context, hysmember.Searcher, uint64) bool { return false }
		g := hysquarantine.NewGate(r, hysquarantine.NewProvenCache(), cut, alive, firstIncarnation)
		for range 5 {
			g.Send(context.Background(), searcher(0), sub("innocent"))
		}
		Expect(r.Record(key("innocent")).State()).To(Equal(hysquarantine.StateClear))
	})

	It("stops waiting when the caller cancels", func() {
		started, release := make(chan struct{}), make(chan struct{})
		blocked := func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
			close(started)
			<-release
			return hysdispatch.Result{}
		}
		r := hysquarantine.NewRegistry(time.Now)
		g := hysquarantine.NewGate(r, hysquarantine.NewProvenCache(), blocked, nil, firstIncarnation)
		var wait sync.WaitGroup
		wait.Go(func() { g.Send(context.Background(), searcher(0), sub("slow")) })
		<-started
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		result := g.Send(ctx, searcher(1), sub("slow"))
		Expect(result.Fault).To(Equal(hysdispatch.FaultCancelled))
		Expect(result.NotRun).To(BeTrue())
		close(release)
		wait.Wait()
	})
})

var _ = Describe("a registry", func() {
	It("merges records in any order to the same state", func() {
		now := func() time.Time { return time.Unix(1_000, 0) }
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "records")
			order := rapid.Permutation(records).Draw(t, "order")
			a, b := hysquarantine.NewRegistry(now), hysquarantine.NewRegistry(now)
			a.Merge(records)
			for _, record := range order {
				b.Merge(hysquarantine.Records{record, record})
			}
			if fmt.Sprint(a.Records()) != fmt.Sprint(b.Records()) {
				t.Fatalf("%v is not %v", a.Records(), b.Records())
			}
		})
	})

	It("expires a record after its retention", func() {
		now := time.Unix(1_000, 0)
		r := hysquarantine.NewRegistry(func() time.Time { return now })
		r.AttributeCrash(hysquarantine.Crash{Searcher: "s-0", Event: "e", Alone: true}, key(crasher))
		Expect(r.Record(key(crasher)).State()).To(Equal(hysquarantine.StateQuarantined))
		now = now.Add(hysquarantine.Retention)
		Expect(r.Record(key(crasher)).State()).To(Equal(hysquarantine.StateClear))
		Expect(r.Records()).To(BeEmpty())
	})

	It("counts no crash that an operator lifted, on any instance", func() {
		a, b := hysquarantine.NewRegistry(time.Now), hysquarantine.NewRegistry(time.Now)
		a.AttributeCrash(hysquarantine.Crash{Searcher: "s-0", Event: "e", Alone: true}, key(crasher))
		b.Merge(a.Records())
		Expect(a.Lift(key(crasher))).To(BeTrue())
		b.Merge(a.Records())
		a.Merge(b.Records())
		Expect(a.Record(key(crasher)).State()).To(Equal(hysquarantine.StateClear))
		Expect(b.Record(key(crasher)).State()).To(Equal(hysquarantine.StateClear))
	})
})

func drawRecord(t *rapid.T) hysquarantine.Record {
	crash := rapid.Custom(func(t *rapid.T) hysquarantine.Crash {
		return hysquarantine.Crash{
			Searcher: hysmember.SearcherID(rapid.SampledFrom([]string{"s-0", "s-1"}).Draw(t, "searcher")),
			Event:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "event"),
			Alone:    rapid.Bool().Draw(t, "alone"),
		}
	})
	return hysquarantine.Record{
		Key:     key(hysquery.Fingerprint(rapid.SampledFrom([]string{"f", "g"}).Draw(t, "fingerprint"))),
		Crashes: rapid.SliceOfN(crash, 0, 3).Draw(t, "crashes"),
		Lifted:  rapid.SliceOfN(crash, 0, 2).Draw(t, "lifted"),
		Expires: time.Unix(int64(rapid.IntRange(1_001, 1_010).Draw(t, "expires")), 0),
	}
}
