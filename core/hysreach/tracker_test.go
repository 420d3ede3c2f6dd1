package hysreach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
)

func TestReach(t *testing.T) {
	hyssuite.Run(t, "Reach")
}

// script is one case of testdata/reach.json: searchers, sends to them and cuts of their
// links.
type script struct {
	Name     string `json:"name"`
	Services int    `json:"services"`
	Replicas int    `json:"replicas"`
	// SendsPerSecond are spread over all searchers at random. LatencyMS is how long a
	// searcher takes.
	SendsPerSecond int   `json:"sends-per-second"`
	LatencyMS      int64 `json:"latency-ms"`
	// CancelMS is after how long a send without an answer is cancelled, which says
	// nothing of the searcher; 0 if none is.
	CancelMS int64 `json:"cancel-ms"`
	RunMS    int64 `json:"run-ms"`
	Cuts     []cut `json:"cuts"`
	// Partitions is how often the instance must have counted as partitioned.
	Partitions int `json:"partitions"`
	// LostMS and RegainedMS are by when the first service must be lost, and by when
	// after the last cut all must be in reach.
	LostMS     int64 `json:"lost-ms"`
	RegainedMS int64 `json:"regained-ms"`
	// Lost is the number of services that were lost at any time.
	Lost int `json:"lost"`
	// MaxProbes bounds the number of probes.
	MaxProbes int `json:"max-probes"`
}

// cut makes searchers unreachable from one time to another.
type cut struct {
	FromMS int64 `json:"from-ms"`
	ToMS   int64 `json:"to-ms"`
	// How is hang, refuse, live (connections in use go on, new ones are refused) or
	// slow, which is no cut.
	How string `json:"how"`
	// Services and Replicas select the searchers with lower numbers; 0 stands for all.
	Services int `json:"services"`
	Replicas int `json:"replicas"`
}

const step = time.Millisecond

// sendTimeout is how long a send without an answer takes to fail.
const sendTimeout = 300 * time.Millisecond

// world plays a script in virtual time.
type world struct {
	script
	now      time.Time
	start    time.Time
	random   *rand.Rand
	tracker  *hysreach.Tracker
	targets  hysreach.Targets
	events   map[int64][]func()
	lost     map[hysservice.Name]bool
	lostAt   time.Duration
	allAt    time.Duration
	probes   int
	partings int
}

func newWorld(s script) *world {
	w := &world{
		script: s, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)),
		events: make(map[int64][]func()), lost: make(map[hysservice.Name]bool),
	}
	w.now = w.start
	w.tracker = hysreach.NewTracker(func() time.Time { return w.now })
	for service := range s.Services {
		for replica := range s.Replicas {
			w.targets = append(w.targets, hysreach.Target{Searcher: hysmember.Searcher{
				ID: hysmember.SearcherID(fmt.Sprintf("s-%d-%d", service, replica)), Service: hysservice.Name(fmt.Sprint("d", service)),
				Address: "10.0.0.1:1", Zone: hysmember.Zone(fmt.Sprint("z", replica)),
			}, Distance: time.Duration(replica) * time.Millisecond})
		}
	}
	w.handle(w.tracker.SetSearchers(w.targets))
	return w
}

func (w *world) elapsed() time.Duration { return w.now.Sub(w.start) }

func (w *world) after(span time.Duration, work func()) {
	at := (w.elapsed() + span).Milliseconds()
	w.events[at] = append(w.events[at], work)
}

// cutNow returns how the link to a searcher is cut, empty if it is not.
func (w *world) cutNow(i int) string {
	ms := w.elapsed().Milliseconds()
	service, replica := i/w.Replicas, i%w.Replicas
	for _, c := range w.Cuts {
		if ms >= c.FromMS && ms < c.ToMS && (c.Services == 0 || service < c.Services) && (c.Replicas == 0 || replica < c.Replicas) {
			return c.How
		}
	}
	return ""
}

// sendToReachable sends to a searcher unless it is out of reach, as instances do.
func (w *world) sendToReachable(i int) {
	if w.tracker.Reachable(w.targets[i].Searcher.ID) {
		w.send(i)
	}
}

func (w *world) send(i int) {
	id, began := w.targets[i].Searcher.ID, w.now
	w.tracker.SendStarted()
	end := func(work func()) func() {
		return func() {
			w.tracker.SendEnded()
			work()
		}
	}
	latency := time.Duration(w.LatencyMS) * time.Millisecond
	answer := end(func() {
		if w.cutNow(i) != "hang" {
			w.handle(w.tracker.Heard(id))
		}
	})
	cancel := time.Duration(w.CancelMS) * time.Millisecond
	cancelled := cancel > 0 && (w.cutNow(i) == "hang" || w.cutNow(i) == "slow" && cancel < 20*latency)
	if cancelled {
		w.after(cancel, w.tracker.SendEnded)
		return
	}
	switch w.cutNow(i) {
	case "hang":
		w.after(sendTimeout, end(func() { w.tracker.Failed(id, began, hysreach.EvidenceTimeout) }))
	case "refuse":
		w.after(step, end(func() { w.tracker.Failed(id, began, hysreach.EvidenceRefused) }))
	case "slow":
		w.after(20*latency, answer)
	default:
		w.after(latency, answer)
	}
}

func (w *world) probe(i int) {
	w.probes++
	id, began := w.targets[i].Searcher.ID, w.now
	failed := func(e hysreach.Evidence) func() {
		return func() { w.handle(w.tracker.ProbeFailed(id, began, e)) }
	}
	switch w.cutNow(i) {
	case "hang":
		w.after(hysreach.ProbeTimeout, failed(hysreach.EvidenceTimeout))
	case "refuse":
		w.after(step, failed(hysreach.EvidenceRefused))
	case "live":
		w.after(step, failed(hysreach.EvidenceRefusedInUse))
	default:
		w.after(step, func() { w.handle(w.tracker.Reached(id)) })
	}
}

func (w *world) handle(changes hysreach.Changes) {
	for _, c := range changes {
		switch c.Kind {
		case hysreach.ChangePartitioned:
			w.partings++
		case hysreach.ChangeServiceLost:
			if len(w.lost) == 0 {
				w.lostAt = w.elapsed()
			}
			w.lost[c.Service] = true
		}
	}
	if w.tracker.Status().LostServices > 0 {
		w.allAt = 0
	} else if w.allAt == 0 {
		w.allAt = w.elapsed()
	}
}

func (w *world) index(id hysmember.SearcherID) int {
	for i, t := range w.targets {
		if t.Searcher.ID == id {
			return i
		}
	}
	return -1
}

func (w *world) run() {
	for ; w.elapsed().Milliseconds() < w.RunMS; w.now = w.now.Add(step) {
		ms := w.elapsed().Milliseconds()
		for _, work := range w.events[ms] {
			work()
		}
		if w.random.Float64()*1000 < float64(w.SendsPerSecond) {
			w.sendToReachable(w.random.IntN(len(w.targets)))
		}
		if ms%hysreach.CheckInterval.Milliseconds() != 0 {
			continue
		}
		targets, changes := w.tracker.NextProbes()
		w.handle(changes)
		for _, t := range targets {
			w.probe(w.index(t.Searcher.ID))
		}
	}
}

var _ = Describe("the reach of the searchers", func() {
	var scripts []script
	hyssuite.Read("reach.json", &scripts)
	for _, s := range scripts {
		It(s.Name, func() {
			w := newWorld(s)
			w.run()
			Expect(w.partings).To(Equal(s.Partitions))
			Expect(w.lost).To(HaveLen(s.Lost))
			Expect(w.probes).To(BeNumerically("<=", s.MaxProbes))
			if s.Lost == 0 {
				return
			}
			Expect(w.lostAt.Milliseconds()).To(BeNumerically("<=", s.LostMS))
			Expect(w.allAt).NotTo(BeZero(), "all services are in reach in the end")
			Expect(w.allAt.Milliseconds()).To(BeNumerically("<=", s.RegainedMS))
		})
	}

	It("believes that it reaches searchers that are new or have started anew", func() {
		w := newWorld(script{
			Services: 2, Replicas: 2, SendsPerSecond: 100, LatencyMS: 5, RunMS: 2000,
			Cuts: []cut{{FromMS: 500, ToMS: 9000, How: "hang", Services: 1}},
		})
		w.run()
		Expect(w.tracker.Lost("d0")).To(BeTrue())
		w.targets[1].Incarnation++
		changes := w.tracker.SetSearchers(w.targets)
		Expect(w.tracker.Lost("d0")).To(BeFalse())
		Expect(changes).To(ContainElement(HaveField("Kind", hysreach.ChangeServiceRegained)))
	})

	It("does not believe that it reaches new searchers while it is cut off from all", func() {
		w := newWorld(script{
			Services: 2, Replicas: 2, SendsPerSecond: 100, LatencyMS: 5, RunMS: 2000,
			Cuts: []cut{{FromMS: 500, ToMS: 9000, How: "hang"}},
		})
		w.run()
		w.targets[1].Incarnation++
		Expect(w.tracker.SetSearchers(w.targets)).To(BeEmpty())
		Expect(w.tracker.Lost("d0")).To(BeTrue())
		Expect(w.tracker.Reachable(w.targets[1].Searcher.ID)).To(BeFalse())
	})

	It("goes on being found out when searchers are removed while they are probed", func() {
		w := newWorld(script{Services: 4, Replicas: 1})
		fail := func() {
			w.now = w.now.Add(step)
			began := w.now
			w.now = w.now.Add(step)
			w.tracker.Failed("s-0-0", began, hysreach.EvidenceReset)
			w.now = w.now.Add(5 * time.Second)
		}
		fail()
		probes, _ := w.tracker.NextProbes()
		Expect(w.tracker.Suspicious()).To(BeTrue())
		w.tracker.SetSearchers(nil)
		for _, t := range probes {
			w.tracker.Reached(t.Searcher.ID)
		}
		Expect(w.tracker.Suspicious()).To(BeFalse())
		w.tracker.SetSearchers(w.targets)
		fail()
		probes, _ = w.tracker.NextProbes()
		Expect(probes).NotTo(BeEmpty())
		Expect(w.tracker.Suspicious()).To(BeTrue())
	})

	It("is known to be lost for all when the searchers fail one after the other", func() {
		w := newWorld(script{Services: 3, Replicas: 1})
		var changes hysreach.Changes
		for i := range w.targets {
			w.now = w.now.Add(time.Second)
			began := w.now
			w.now = w.now.Add(step)
			// A searcher that is not listed any more still answers, so that there is no
			// suspicion about all.
			w.tracker.Heard("unlisted")
			w.tracker.Failed(w.targets[i].Searcher.ID, began, hysreach.EvidenceReset)
			w.now = w.now.Add(step)
			probes, _ := w.tracker.NextProbes()
			for _, t := range probes {
				changes = append(changes, w.tracker.ProbeFailed(t.Searcher.ID, w.now, hysreach.EvidenceRefused)...)
			}
		}
		Expect(w.tracker.Status().LostServices).To(Equal(3))
		Expect(w.tracker.Status().Partitioned).To(BeTrue())
		Expect(changes).To(ContainElement(HaveField("Kind", hysreach.ChangePartitioned)))
	})

	It("has lost no service without searchers, and none that all are leaving", func() {
		w := newWorld(script{Services: 1, Replicas: 1})
		Expect(w.tracker.Lost("unknown")).To(BeFalse())
		w.targets[0].Searcher.Leaving = true
		w.tracker.SetSearchers(w.targets)
		Expect(w.tracker.Lost("d0")).To(BeFalse())
		targets, _ := w.tracker.NextProbes()
		Expect(targets).To(BeEmpty())
	})
})
