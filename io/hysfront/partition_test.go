package hysfront_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
)

// Timing and bounds of the partition scripts.
const (
	partitionGoal = 300 * time.Millisecond
	// partitionSettle is the time after a cut from which callers of a partitioned
	// daemon must be served like those of the others.
	partitionSettle = 1500 * time.Millisecond
	// rejoinSettle is the time after a cut from which daemons use their own
	// connections again.
	rejoinSettle = 1500 * time.Millisecond
	// partitionSpan is how long the answers are counted, during the cut and after it.
	partitionSpan = 1200 * time.Millisecond
	// servedRatio is how often callers of a partitioned daemon are served at the first
	// try, compared with those of the others.
	servedRatio = 0.98
	// partitionMaxLatency bounds the time of every answer, also of a request that is
	// in flight when the cut begins. It is half of the longest deadline.
	partitionMaxLatency = time.Second
	// refusalMaxLatency bounds the time of a refusal where nobody can serve.
	refusalMaxLatency = 250 * time.Millisecond
)

// runCounts counts how often searchers have run each request of each service.
type runCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runCounts) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

func (r *runCounts) get(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// all returns the counts of all requests.
func (r *runCounts) all() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// remoteSearcher is a searcher that each daemon reaches over a link of its own.
func remoteSearcher(id hysmember.SearcherID, service hysservice.Name, work time.Duration, runs *runCounts) hysmember.Entry {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.add(string(service) + " " + r.Header.Get(headers.RequestID))
		time.Sleep(work)
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "s-"+string(id))
		_, _ = io.WriteString(w, "0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	return hysmember.Entry{
		Searcher: hysmember.Searcher{
			ID: id, Service: service, Address: hysmember.Address(strings.TrimPrefix(server.URL, "http://")), Zone: "z",
		},
		Slots: 8, StartTime: 10, Revision: hystest.Revision(1),
	}
}

// linkedDaemon is a daemon with a link to each searcher.
type linkedDaemon struct {
	*daemon
	links   map[hysmember.SearcherID]*hystest.Proxy
	entries hysmember.Entries
}

// newLinkedDaemon returns a daemon in an availability zone of its own, so that it gets
// the list of the searchers from nobody else.
func newLinkedDaemon(ip string, searchers hysmember.Entries) *linkedDaemon {
	d := &linkedDaemon{daemon: newDaemon(ip), links: make(map[hysmember.SearcherID]*hystest.Proxy)}
	d.settings.Zone, d.settings.StopGrace = hysmember.Zone("z-"+ip), 200*time.Millisecond
	for _, e := range searchers {
		link := hystest.NewProxy(e.Searcher.Address)
		DeferCleanup(link.Close)
		d.links[e.Searcher.ID] = link
		e.Searcher.Address = link.Address()
		d.entries = append(d.entries, e)
	}
	return d
}

// cut cuts the links to the searchers of some services, or to all without any.
func (d *linkedDaemon) cut(how hystest.Cut, services ...hysservice.Name) {
	for _, e := range d.entries {
		if len(services) == 0 || contains(services, e.Searcher.Service) {
			d.links[e.Searcher.ID].Cut(how)
		}
	}
}

func (d *linkedDaemon) heal(services ...hysservice.Name) {
	for _, e := range d.entries {
		if len(services) == 0 || contains(services, e.Searcher.Service) {
			d.links[e.Searcher.ID].Heal()
		}
	}
}

func contains(services []hysservice.Name, service hysservice.Name) bool {
	for _, s := range services {
		if s == service {
			return true
		}
	}
	return false
}

// attempt is one request of a caller and its end.
type attempt struct {
	id         string
	kind       string
	began      time.Time
	latency    time.Duration
	status     int
	missing    string
	retryAfter string
}

func (a attempt) served() bool {
	return a.status == http.StatusOK && a.missing != "1" && a.missing != "2"
}

// attempts is a list of attempts, which several callers add to.
type attempts struct {
	mu  sync.Mutex
	all []attempt
}

// between returns the attempts that began in a span.
func (a *attempts) between(from, to time.Time) []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var some []attempt
	for _, one := range a.all {
		if !one.began.Before(from) && one.began.Before(to) {
			some = append(some, one)
		}
	}
	return some
}

// servedShare returns the share of attempts that were served.
func servedShare(all []attempt) float64 {
	served := 0
	for _, a := range all {
		if a.served() {
			served++
		}
	}
	return float64(served) / float64(max(len(all), 1))
}

// call sends requests to a daemon at a rate until the time is over: requests for one
// searcher, queries and bookings in turn.
func (d *daemon) call(perSecond int, until time.Time) *attempts {
	result := &attempts{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wait.Go(func() {
			a := attempt{id: fmt.Sprint(d.settings.Instance, "-", n), kind: []string{"one", "query", "book"}[n%3], began: time.Now()}
			r, _ := http.NewRequest(http.MethodPost, "http://"+string(d.settings.CallerAddress)+"/"+a.kind+"/"+a.id, nil)
			r.Host = "rota.example"
			r.Header.Set(headers.RequestID, a.id)
			r.Header.Set(headers.Deadline, "2000")
			if response, err := client.Do(r); err == nil {
				a.status, a.missing, a.retryAfter = response.StatusCode, response.Header.Get(headers.Missing), response.Header.Get("Retry-After")
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			a.latency = time.Since(a.began)
			result.mu.Lock()
			defer result.mu.Unlock()
			result.all = append(result.all, a)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wait.Wait()
	return result
}

// partitionScript is one case of testdata/partitions.json.
type partitionScript struct {
	Name    string `json:"name"`
	Daemons int    `json:"daemons"`
	// Cut is the number of daemons that are cut off, How the way of the cut, from the
	// searchers of Services, or from all without any.
	Cut      int               `json:"cut"`
	How      string            `json:"how"`
	Services []hysservice.Name `json:"services"`
	// Halves cuts every second of these daemons from the first shard, and the others
	// from the second one, in place of Services.
	Halves bool `json:"halves"`
	// PerSecond is the rate of the requests at each daemon.
	PerSecond int `json:"per-second"`
}

var cuts = map[string]hystest.Cut{
	"hang": hystest.CutHang, "requests": hystest.CutRequests, "replies": hystest.CutReplies,
	"reset": hystest.CutReset, "refuse": hystest.CutRefuse,
}

// services returns the services from which a daemon is cut off.
func (s partitionScript) services(number int) []hysservice.Name {
	if s.Halves {
		return []hysservice.Name{[]hysservice.Name{"desk", "ledger"}[number%2]}
	}
	return s.Services
}

// checkAnswers checks what holds for each attempt, also during the cut.
func checkAnswers(all []attempt, runs *runCounts) {
	for _, a := range all {
		ran := runs.get("roll " + a.id)
		Expect(a.latency).To(BeNumerically("<", partitionMaxLatency), "%+v", a)
		if a.kind == "book" {
			Expect(ran).To(BeNumerically("<=", 1), "%+v", a)
		}
		if a.kind == "book" && a.status == http.StatusServiceUnavailable {
			Expect(ran).To(BeZero(), "%+v was refused", a)
		}
	}
}

var _ = Describe("callers of daemons that can't reach their searchers", func() {
	var scripts []partitionScript
	hyssuite.Read("partitions.json", &scripts)
	for number, script := range scripts {
		It("are served like those of the others: "+script.Name, func() {
			runs := &runCounts{counts: make(map[string]int)}
			var searchers hysmember.Entries
			for _, service := range []hysservice.Name{"roll", "desk", "ledger"} {
				for n := range 2 {
					searchers = append(searchers, remoteSearcher(hysmember.SearcherID(fmt.Sprint(service, "-", n)), service, 5*time.Millisecond, runs))
				}
			}
			var daemons []*linkedDaemon
			var peers hysmember.Instances
			for n := range script.Daemons {
				d := newLinkedDaemon(fmt.Sprintf("127.0.%d.%d", 70+number, n+1), searchers)
				daemons = append(daemons, d)
				peers = append(peers, d.instance())
			}
			for _, d := range daemons {
				d.start(&store{
					version: 1, revision: hystest.Revision(5), entries: d.entries, peers: peers, goal: partitionGoal, books: true,
					shards: []hysservice.Name{"desk", "ledger"}, watchWait: 100 * time.Millisecond,
				})
			}
			for _, d := range daemons {
				Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
			}
			began := time.Now()
			cutAt := began.Add(time.Second)
			healAt := cutAt.Add(partitionSettle + partitionSpan)
			end := healAt.Add(rejoinSettle + partitionSpan)
			results := make([]*attempts, len(daemons))
			var wait sync.WaitGroup
			for n, d := range daemons {
				wait.Go(func() { results[n] = d.call(script.PerSecond, end) })
			}
			time.Sleep(time.Until(cutAt))
			for n, d := range daemons[:script.Cut] {
				d.cut(cuts[script.How], script.services(n)...)
			}
			time.Sleep(time.Until(healAt))
			for n, d := range daemons[:script.Cut] {
				d.heal(script.services(n)...)
			}
			wait.Wait()

			var atCut, atOthers []attempt
			for n, r := range results {
				all := r.between(began, end)
				checkAnswers(all, runs)
				during := r.between(cutAt.Add(partitionSettle), healAt)
				if n < script.Cut {
					atCut = append(atCut, during...)
				} else {
					atOthers = append(atOthers, during...)
				}
				Expect(servedShare(r.between(healAt.Add(rejoinSettle), end))).To(BeNumerically(">=", servedRatio), "daemon %d after the cut", n)
			}
			if script.Cut == script.Daemons && !script.Halves {
				for _, a := range atCut {
					Expect(a.status).To(Equal(http.StatusServiceUnavailable), "%+v", a)
					Expect(a.retryAfter).NotTo(BeEmpty(), "%+v", a)
					Expect(a.latency).To(BeNumerically("<", refusalMaxLatency), "%+v", a)
				}
				return
			}
			if len(atOthers) > 0 {
				Expect(servedShare(atOthers)).To(BeNumerically(">=", 0.99))
			}
			Expect(servedShare(atCut)).To(BeNumerically(">=", servedRatio))
		})
	}
})
