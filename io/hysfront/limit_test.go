package hysfront_test

import (
	"fmt"
	"hyssopshore/internal/hystest"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
)

// limitWindow is the span in which a searcher with a rate limit counts its requests.
// It tolerates limitTolerance times the limit and limitSlack requests more.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitedSearcher is a searcher that states a rate limit and records its requests.
type limitedSearcher struct {
	entry hysmember.Entry

	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func newLimitedSearcher(id hysmember.SearcherID, limit string) *limitedSearcher {
	s := &limitedSearcher{limit: limit}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := s.arrive(); limit != "" {
			w.Header().Set(headers.Limit, limit)
		}
		time.Sleep(2 * time.Millisecond)
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "s-"+string(id))
		_, _ = io.WriteString(w, "0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	s.entry = hysmember.Entry{
		Searcher: hysmember.Searcher{ID: id, Service: "roll", Address: address, Zone: "z"}, Slots: 8, StartTime: 10, Revision: hystest.Revision(1),
	}
	return s
}

func (s *limitedSearcher) arrive() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	return s.limit
}

// between returns the number of requests from one time to another.
func (s *limitedSearcher) between(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// busiest returns the number of requests in the busiest window that begins after a
// time.
func (s *limitedSearcher) busiest(from time.Time) int {
	s.mu.Lock()
	arrivals := slices.Clone(s.arrivals)
	s.mu.Unlock()
	most := 0
	for _, at := range arrivals {
		if !at.Before(from) {
			most = max(most, s.between(at, at.Add(limitWindow)))
		}
	}
	return most
}

// load sends requests to a daemon at a rate until the time is over.
func (d *daemon) load(perSecond int, until time.Time) {
	if perSecond == 0 {
		return
	}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wait.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+string(d.settings.CallerAddress)+"/", nil)
			r.Host = "rota.example"
			r.Header.Set(headers.RequestID, fmt.Sprint(d.settings.Instance, "-", n))
			r.Header.Set(headers.Deadline, "1000")
			if response, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wait.Wait()
}

var _ = Describe("the rate limit that a searcher states for all daemons together", func() {
	var scripts []struct {
		Name      string  `json:"name"`
		Searchers int     `json:"searchers"`
		Limited   int     `json:"limited"`
		Rate      float64 `json:"rate"`
		// Loads are the requests a second at each daemon.
		Loads []int `json:"loads"`
		// Used is the least share of the limit that must be used.
		Used float64 `json:"used"`
	}
	hyssuite.Read("limits.json", &scripts)
	for number, script := range scripts {
		It("is not exceeded, and is used: "+script.Name, func() {
			var searchers []*limitedSearcher
			shared := &store{version: 1, revision: hystest.Revision(5)}
			for n := range script.Searchers {
				limit := ""
				if n < script.Limited {
					limit = fmt.Sprint(script.Rate)
				}
				s := newLimitedSearcher(hysmember.SearcherID(fmt.Sprint("s-", n)), limit)
				searchers = append(searchers, s)
				shared.entries = append(shared.entries, s.entry)
			}
			var daemons []*daemon
			for n := range script.Loads {
				d := newDaemon(fmt.Sprintf("127.0.%d.%d", 40+number, n+1))
				daemons = append(daemons, d)
				shared.peers = append(shared.peers, d.instance())
			}
			for _, d := range daemons {
				d.start(shared)
			}
			for _, d := range daemons {
				Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
			}
			began := time.Now()
			end := began.Add(6 * time.Second)
			var wait sync.WaitGroup
			for n, d := range daemons {
				wait.Go(func() { d.load(script.Loads[n], end) })
			}
			wait.Wait()
			from := began.Add(time.Second)
			for _, s := range searchers[:script.Limited] {
				Expect(s.busiest(from)).To(BeNumerically("<=", limitTolerance*limitWindow.Seconds()*script.Rate+limitSlack))
				used := float64(s.between(from, end)) / end.Sub(from).Seconds()
				Expect(used).To(BeNumerically(">=", script.Used*script.Rate))
			}
		})
	}
})
