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

// restraintScript is one load of testdata/restraints.json: requests at a steady
// rate at searchers that ask for rest or leave, while the list changes.
type restraintScript struct {
	Name      string `json:"name"`
	Searchers int    `json:"searchers"`
	Slots     int    `json:"slots"`
	LoadMS    int    `json:"load-ms"`
	// IntervalMS is the time between requests: 1 ms keeps a searcher's two slots
	// busy.
	IntervalMS int                   `json:"interval-ms"`
	Answers    []restraintAnswer     `json:"answers"`
	Lists      []restraintList       `json:"lists"`
	Want       restraintExpectations `json:"want"`
}

// restraintAnswer is what a searcher answers in a span; else it serves.
type restraintAnswer struct {
	Searcher     hysmember.SearcherID `json:"searcher"`
	FromMS       int                  `json:"from-ms"`
	ToMS         int                  `json:"to-ms"`
	Fault        string               `json:"fault"`
	Draining     bool                 `json:"draining"`
	RetryAfterMS int                  `json:"retry-after-ms"`
}

// restraintList is the list from a time on.
type restraintList struct {
	MS        int                  `json:"ms"`
	Slots     int                  `json:"slots"`
	Without   hysmember.SearcherID `json:"without"`
	Restarted hysmember.SearcherID `json:"restarted"`
}

type restraintExpectations struct {
	// Unsent spans have no send to the searcher, SentAfter ones have one.
	Unsent    []restraintSpan `json:"unsent"`
	SentAfter []restraintSpan `json:"sent-after"`
	// Refused requests name the time at which a searcher is back.
	Refused  *restraintSpan `json:"refused"`
	LostMost int            `json:"lost-most"`
}

type restraintSpan struct {
	Searcher hysmember.SearcherID `json:"searcher"`
	FromMS   int                  `json:"from-ms"`
	ToMS     int                  `json:"to-ms"`
	MS       int                  `json:"ms"`
	WithinMS int                  `json:"within-ms"`
	UntilMS  int                  `json:"until-ms"`
}

// restraintPlay is one play of a script in virtual time.
type restraintPlay struct {
	script restraintScript
	start  time.Time

	mu      sync.Mutex
	sends   map[hysmember.SearcherID][]int
	replies map[int]hysdispatch.SubReply
	// took is how long the requests took, by their start.
	took map[int]time.Duration
}

func (p *restraintPlay) at() int { return int(time.Since(p.start).Milliseconds()) }

func (p *restraintPlay) send(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
	at := p.at()
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

func (a restraintAnswer) result() hysdispatch.Result {
	r := hysdispatch.Result{Draining: a.Draining, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond}
	switch a.Fault {
	case "shed":
		r.Fault, r.NotRun = hysdispatch.FaultShed, true
	case "failed":
		r.Fault = hysdispatch.FaultFailed
	}
	return r
}

// list gives the dispatcher the searchers of a step.
func (p *restraintPlay) list(d *hysdispatch.Dispatcher, l restraintList, incarnations map[hysmember.SearcherID]uint64) {
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

func (p *restraintPlay) run() {
	d := forwarding(p.send)
	incarnations := make(map[hysmember.SearcherID]uint64)
	p.list(d, restraintList{}, incarnations)
	for _, l := range p.script.Lists {
		time.AfterFunc(time.Duration(l.MS)*time.Millisecond, func() { p.list(d, l, incarnations) })
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	var wait sync.WaitGroup
	interval := time.Duration(max(p.script.IntervalMS, 1)) * time.Millisecond
	for id := 0; p.at() < max(p.script.LoadMS, 5000); id++ {
		wait.Go(func() { p.request(d, id) })
		time.Sleep(interval)
	}
	wait.Wait()
	stop()
	time.Sleep(workersEnd)
}

func (p *restraintPlay) request(d *hysdispatch.Dispatcher, id int) {
	at, started := p.at(), time.Now()
	sub := forwarded(id)
	sub.Goal, sub.MaxRuns = 100*time.Millisecond, 4
	reply := d.Submit(context.Background(), sub)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies[at], p.took[at] = reply, time.Since(started)
}

func (p *restraintPlay) check(g *gomega.WithT) {
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
			g.Expect(p.took[at]).To(gomega.BeNumerically("<", 5*time.Millisecond), "refused at once")
			g.Expect(at+int(reply.RetryAfter.Milliseconds())).To(gomega.BeNumerically("~", r.UntilMS, 40), "the time to come back")
		}
	}
	g.Expect(lost*100).To(gomega.BeNumerically("<=", w.LostMost*all), "%d of %d requests had no answer", lost, all)
}

// TestRestraints replays what searchers ask of this instance.
func TestRestraints(t *testing.T) {
	var scripts []restraintScript
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
				p := &restraintPlay{
					script: s, start: time.Now(), sends: make(map[hysmember.SearcherID][]int),
					replies: make(map[int]hysdispatch.SubReply), took: make(map[int]time.Duration),
				}
				p.run()
				p.check(gomega.NewWithT(t))
			})
		})
	}
}
