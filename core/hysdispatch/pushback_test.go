package hysdispatch_test

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
)

// pushbackScript is one load of testdata/restraints.json: requests at a steady rate
// to searchers that ask for a pause or leave, while the list changes.
type pushbackScript struct {
	Name      string `json:"name"`
	Searchers int    `json:"searchers"`
	Slots     int    `json:"slots"`
	LoadMS    int    `json:"load-ms"`
	// IntervalMS is the time between requests; 1 ms keeps both slots of a searcher
	// busy.
	IntervalMS int                  `json:"interval-ms"`
	Answers    []pushbackReply      `json:"answers"`
	Lists      []pushbackList       `json:"lists"`
	Want       pushbackExpectations `json:"want"`
}

// pushbackReply is how a searcher replies in a time span; otherwise it answers.
type pushbackReply struct {
	Searcher     hysmember.SearcherID `json:"searcher"`
	FromMS       int                  `json:"from-ms"`
	ToMS         int                  `json:"to-ms"`
	Fault        string               `json:"fault"`
	Draining     bool                 `json:"draining"`
	RetryAfterMS int                  `json:"retry-after-ms"`
}

// pushbackList is the list from a time on.
type pushbackList struct {
	MS        int                  `json:"ms"`
	Slots     int                  `json:"slots"`
	Without   hysmember.SearcherID `json:"without"`
	Restarted hysmember.SearcherID `json:"restarted"`
}

type pushbackExpectations struct {
	// Within Unsent spans nothing may be sent to the searcher. Soon after the time of
	// a SentAfter span something must be.
	Unsent    []pushbackSpan `json:"unsent"`
	SentAfter []pushbackSpan `json:"sent-after"`
	// Refused requests must state the time at which a searcher is available again.
	Refused  *pushbackSpan `json:"refused"`
	LostMost int           `json:"lost-most"`
}

type pushbackSpan struct {
	Searcher hysmember.SearcherID `json:"searcher"`
	FromMS   int                  `json:"from-ms"`
	ToMS     int                  `json:"to-ms"`
	MS       int                  `json:"ms"`
	WithinMS int                  `json:"within-ms"`
	UntilMS  int                  `json:"until-ms"`
}

// pushbackRun is one run of a script in virtual time.
type pushbackRun struct {
	script pushbackScript
	start  time.Time

	mu      sync.Mutex
	sends   map[hysmember.SearcherID][]int
	replies map[int]hysdispatch.SubReply
	// durations are those of the requests, by their start.
	durations map[int]time.Duration
}

func (p *pushbackRun) elapsedMS() int { return int(time.Since(p.start).Milliseconds()) }

func (p *pushbackRun) send(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
	at := p.elapsedMS()
	p.mu.Lock()
	p.sends[to.ID] = append(p.sends[to.ID], at)
	p.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	for _, a := range p.script.Answers {
		if a.Searcher == to.ID && at >= a.FromMS && at < a.ToMS {
			return a.result()
		}
	}
	return hysdispatch.Result{}
}

func (a pushbackReply) result() hysdispatch.Result {
	r := hysdispatch.Result{Draining: a.Draining, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond}
	switch a.Fault {
	case "shed":
		r.Fault, r.NotRun = hysdispatch.FaultShed, true
	case "failed":
		r.Fault = hysdispatch.FaultFailed
	}
	return r
}

// list sets the searchers of a step.
func (p *pushbackRun) list(d *hysdispatch.Dispatcher, l pushbackList, incarnations map[hysmember.SearcherID]uint64) {
	incarnations[l.Restarted]++
	var listed []hysdispatch.Replica
	for _, r := range replicas(p.script.Searchers) {
		r.Incarnation = 1 + incarnations[r.Searcher.ID]
		if r.Searcher.ID != l.Without {
			listed = append(listed, r)
		}
	}
	d.SetReplicas(service, listed, max(l.Slots, p.script.Slots, 2))
}

func (p *pushbackRun) run() {
	d := frontDispatcher(p.send)
	incarnations := make(map[hysmember.SearcherID]uint64)
	p.list(d, pushbackList{}, incarnations)
	for _, l := range p.script.Lists {
		time.AfterFunc(time.Duration(l.MS)*time.Millisecond, func() { p.list(d, l, incarnations) })
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	var wait sync.WaitGroup
	interval := time.Duration(max(p.script.IntervalMS, 1)) * time.Millisecond
	for id := 0; p.elapsedMS() < max(p.script.LoadMS, 5000); id++ {
		wait.Go(func() { p.request(d, id) })
		time.Sleep(interval)
	}
	wait.Wait()
	stop()
	time.Sleep(workersEnd)
}

func (p *pushbackRun) request(d *hysdispatch.Dispatcher, id int) {
	at, started := p.elapsedMS(), time.Now()
	sub := frontSubRequest(id)
	sub.Goal, sub.MaxRuns = 100*time.Millisecond, 4
	reply := d.Submit(context.Background(), sub)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies[at], p.durations[at] = reply, time.Since(started)
}

func (p *pushbackRun) check(g *gomega.WithT) {
	w := p.script.Want
	for _, span := range w.Unsent {
		for _, at := range p.sends[span.Searcher] {
			g.Expect(at >= span.FromMS && at < span.ToMS).To(gomega.BeFalse(), "%s was sent to at %d ms", span.Searcher, at)
		}
	}
	for _, span := range w.SentAfter {
		last := span.MS + max(span.WithinMS, 500)
		g.Expect(p.sends[span.Searcher]).To(gomega.ContainElement(gomega.And(
			gomega.BeNumerically(">=", span.MS), gomega.BeNumerically("<=", last))), "sends to %s", span.Searcher)
	}
	lost, all := 0, len(p.replies)
	for at, reply := range p.replies {
		if reply.Status != hysquery.ShardAnswered {
			lost++
		}
		if r := w.Refused; r != nil && at >= r.FromMS && at < r.ToMS {
			g.Expect(reply.NotRun).To(gomega.BeTrue())
			g.Expect(p.durations[at]).To(gomega.BeNumerically("<", 5*time.Millisecond), "refused immediately")
			g.Expect(at+int(reply.RetryAfter.Milliseconds())).To(gomega.BeNumerically("~", r.UntilMS, 40), "the retry time")
		}
	}
	g.Expect(lost*100).To(gomega.BeNumerically("<=", w.LostMost*all), "%d of %d requests had no answer", lost, all)
}

// TestPushback replays what searchers ask of this instance.
func TestPushback(t *testing.T) {
	var scripts []pushbackScript
	data, err := os.ReadFile("testdata/restraints.json")
	if err == nil {
		err = json.Unmarshal(data, &scripts)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pushbackRun{
					script: s, start: time.Now(), sends: make(map[hysmember.SearcherID][]int),
					replies: make(map[int]hysdispatch.SubReply), durations: make(map[int]time.Duration),
				}
				p.run()
				p.check(gomega.NewWithT(t))
			})
		})
	}
}
