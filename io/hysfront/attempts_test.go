package hysfront_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
)

// Times of the scripts of attempts. A searcher works for longer than the usual hedge
// delay.
const (
	attemptsGoal          = 100 * time.Millisecond
	attemptsWork          = 400 * time.Millisecond
	attemptsCloseDelay    = 500 * time.Millisecond
	attemptsAcceptTimeout = 20 * time.Millisecond
	attemptsSettle        = 800 * time.Millisecond
	// routeAttempts is the number of attempts of the query route.
	routeAttempts = 2
)

// attemptScript is one case of testdata/attempts.json: a query at a daemon whose calls to
// the others have no reply, and whose cancels arrive late.
type attemptScript struct {
	Name string `json:"name"`
	// Gatherers is set if the daemon delegates its queries.
	Gatherers bool `json:"gatherers"`
	// Cut are the services from whose searchers the daemon is cut off.
	Cut []hysservice.Name `json:"cut"`
	// Expected is logged by the daemon if the script has had its effect, ExpectedElsewhere
	// by one of the others.
	Expected          string `json:"expected"`
	ExpectedElsewhere string `json:"expected-elsewhere"`
}

// busySearcher is a searcher that takes its time and counts what it runs.
func busySearcher(id hysmember.SearcherID, service hysservice.Name, work func() time.Duration, runs *runCounts) hysmember.Entry {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		runs.add(string(service) + " " + request.Header.Get(headers.RequestID))
		select {
		case <-time.After(work()):
		case <-request.Context().Done():
			return
		}
		w.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "s-"+string(id))
		_, _ = io.WriteString(w, "0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	return hysmember.Entry{
		Searcher: hysmember.Searcher{ID: id, Service: service, Address: hysmember.Address(strings.TrimPrefix(server.URL, "http://")), Zone: "z"},
		Slots:    8, StartTime: 10, Revision: hystest.Revision(1),
	}
}

// attemptFleet is a daemon that takes queries, two others and the ways to them.
type attemptFleet struct {
	entry   *linkedDaemon
	daemons []*linkedDaemon
	ways    []*hystest.Proxy
	runs    *runCounts
	// lost are the services from whose searchers the first daemon is cut off.
	lost []hysservice.Name
}

// newAttemptFleet starts daemons whose addresses begin with a prefix. If gatherers is set
// the first one gathers no queries.
func newAttemptFleet(prefix string, gatherers bool, work func() time.Duration) *attemptFleet {
	f := &attemptFleet{runs: &runCounts{counts: make(map[string]int)}}
	shards := []hysservice.Name{"desk", "ledger"}
	var searchers hysmember.Entries
	for _, service := range shards {
		for n := range 4 {
			searchers = append(searchers, busySearcher(hysmember.SearcherID(fmt.Sprint(service, "-", n)), service, work, f.runs))
		}
	}
	var daemons []*linkedDaemon
	var peers hysmember.Instances
	for n := range 3 {
		d := newLinkedDaemon(fmt.Sprintf("%s.%d", prefix, n+1), searchers)
		d.settings.ProcessorShare = 1
		// Hedges are not held back by the budget.
		d.settings.RetrySlack, d.settings.RetryWindow = 1000, 200*time.Millisecond
		d.options = []hysfront.Option{hysfront.WithGathererAcceptTimeout(attemptsAcceptTimeout)}
		if n == 0 && gatherers {
			d.settings.ProcessorShare = 0.1
		}
		instance := d.instance()
		instance.ProcessorShare = d.settings.ProcessorShare
		if n > 0 {
			way := hystest.NewProxy(instance.Address)
			DeferCleanup(way.Close)
			f.ways = append(f.ways, way)
			instance.Address = way.Address()
		}
		daemons, peers = append(daemons, d), append(peers, instance)
	}
	if gatherers {
		peers = append(peers, weakInstances()...)
	}
	f.entry, f.daemons = daemons[0], daemons
	for _, d := range daemons {
		s := &store{version: 1, revision: hystest.Revision(5), shards: shards, entries: d.entries, peers: peers, goal: attemptsGoal, watchWait: 100 * time.Millisecond}
		d.start(s)
	}
	for _, d := range daemons {
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
	}
	return f
}

// weakInstances returns instances that are only listed, so that not all gather.
func weakInstances() hysmember.Instances {
	var weak hysmember.Instances
	for n := range 9 {
		weak = append(weak, hysmember.Instance{
			ID: hysmember.InstanceID(fmt.Sprint("weak-", n)), Address: "127.0.0.1:1", Zone: "other", Region: "r", ProcessorShare: 0.1,
		})
	}
	return weak
}

// query sends a query to the first daemon.
func (f *attemptFleet) query(id string) (status int) {
	r, err := http.NewRequest(http.MethodGet, "http://"+string(f.entry.settings.CallerAddress)+"/query/"+id, nil)
	if err != nil {
		return 0
	}
	r.Host = "rota.example"
	r.Header.Set(headers.RequestID, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// mute takes the replies of the other daemons, and lets them learn late of a cancel.
func (f *attemptFleet) mute() {
	for _, way := range f.ways {
		way.SetMuted(true)
		way.SetCloseDelay(attemptsCloseDelay)
	}
}

// logsElsewhere returns the logs of the other daemons.
func (f *attemptFleet) logsElsewhere() string {
	var logs strings.Builder
	for _, d := range f.daemons[1:] {
		logs.WriteString(d.log.String())
	}
	return logs.String()
}

// expectAttempts checks that no shard has run a request more often than its route allows.
func (f *attemptFleet) expectAttempts() {
	for key, count := range f.runs.all() {
		ExpectWithOffset(1, count).To(BeNumerically("<=", routeAttempts), key)
	}
}

var _ = Describe("a query whose daemons hear too late of each other", func() {
	var scripts []attemptScript
	hyssuite.Read("attempts.json", &scripts)
	for number, script := range scripts {
		It("runs at no more searchers of a shard than its route allows: "+script.Name, func() {
			var work atomic.Int64
			f := newAttemptFleet(fmt.Sprintf("127.0.%d", 110+number), script.Gatherers, func() time.Duration { return time.Duration(work.Load()) })
			if script.Gatherers {
				Eventually(f.entry.log.String, "3s").Should(ContainSubstring(`"gathers":false`))
			}
			// The first query opens the connections.
			f.query("first")
			work.Store(int64(attemptsWork))
			if len(script.Cut) > 0 {
				f.entry.cut(hystest.CutReset, script.Cut...)
				Eventually(f.entry.log.String, "3s").Should(MatchRegexp("no searcher (of the service )?in reach"))
			}
			f.mute()
			f.query("second")
			time.Sleep(attemptsSettle)
			Expect(f.entry.log.String()).To(ContainSubstring(script.Expected))
			Expect(f.logsElsewhere()).To(ContainSubstring(script.ExpectedElsewhere))
			f.expectAttempts()
		})
	}

	It("says of a sub-request how many searchers may have run it, at all daemons that were asked", func() {
		var work atomic.Int64
		f := newAttemptFleet("127.0.119", false, func() time.Duration { return time.Duration(work.Load()) })
		f.query("first")
		work.Store(int64(attemptsWork))
		f.entry.cut(hystest.CutReset, "desk")
		Eventually(f.entry.log.String, "3s").Should(ContainSubstring("no searcher of the service in reach"))
		f.mute()
		submit := f.entry.front.Relay([]hysservice.Name{"desk", "ledger"})
		reply := submit(context.Background(), hysdispatch.SubRequest{
			RequestID: "second", Service: "desk", Group: "query", Idempotent: true, Proven: true, RetryNotRun: true, MaxRuns: routeAttempts,
			Deadline: time.Now().Add(time.Second), Due: time.Now().Add(attemptsGoal), Goal: attemptsGoal,
			Message: &hysmessage.Request{Method: http.MethodGet, Target: "/query/second", Host: "rota.example"},
		})
		Expect(reply.Unreachable).To(BeTrue())
		time.Sleep(attemptsSettle)
		Expect(f.runs.all()["desk second"]).To(BeNumerically(">=", routeAttempts))
		Expect(reply.PossibleRuns).To(BeNumerically(">=", f.runs.all()["desk second"]))
	})

	for number, seed := range []uint64{1, 2, 3, 4} {
		It(fmt.Sprint("runs at no more searchers of a shard than its route allows, whatever fails between the daemons: seed ", seed), func() {
			random := rand.New(rand.NewPCG(seed, 0))
			var work atomic.Int64
			f := newAttemptFleet(fmt.Sprintf("127.0.%d", 120+number), seed%2 == 1, func() time.Duration { return time.Duration(work.Load()) })
			f.query("first")
			var wait sync.WaitGroup
			for n := range chaosQueries {
				wait.Go(func() {
					time.Sleep(time.Duration(n) * chaosQueryInterval)
					f.query(fmt.Sprint("query-", n))
				})
			}
			for range int(chaosQueries * chaosQueryInterval / chaosFaultInterval) {
				f.disturb(random, &work)
				time.Sleep(chaosFaultInterval)
			}
			wait.Wait()
			time.Sleep(attemptsSettle)
			f.expectAttempts()
			Expect(f.entry.log.String()).To(ContainSubstring(`"end":"silent"`), "the faults have hit")
		})
	}
})

// Traffic and faults of the random runs.
const (
	chaosQueries       = 100
	chaosQueryInterval = 30 * time.Millisecond
	chaosFaultInterval = 60 * time.Millisecond
	// chaosMaxDelay bounds the delays of the ways between daemons, which the acceptance
	// takes twice, and chaosMaxWork the work of a searcher.
	chaosMaxDelay = 3 * attemptsAcceptTimeout
	chaosMaxWork  = 150 * time.Millisecond
)

// heal ends the cut of the first daemon from its searchers, if there is one.
func (f *attemptFleet) heal() {
	if len(f.lost) > 0 {
		f.entry.heal(f.lost...)
		f.lost = nil
	}
}

// disturb makes one change to the ways between the daemons or to the searchers.
func (f *attemptFleet) disturb(random *rand.Rand, work *atomic.Int64) {
	way := f.ways[random.IntN(len(f.ways))]
	services := []hysservice.Name{"desk", "ledger"}
	switch random.IntN(8) {
	case 0:
		way.SetMuted(true)
	case 1, 2:
		way.SetMuted(false)
	case 3:
		way.SetCloseDelay(time.Duration(random.Int64N(int64(attemptsCloseDelay))))
	case 4:
		way.SetDelay(time.Duration(random.Int64N(int64(chaosMaxDelay))))
	case 5:
		f.heal()
		f.lost = services[random.IntN(len(services)):]
		f.entry.cut(hystest.CutReset, f.lost...)
	case 6:
		f.heal()
	case 7:
		work.Store(random.Int64N(int64(chaosMaxWork)))
	}
}
