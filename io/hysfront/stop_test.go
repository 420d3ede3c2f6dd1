package hysfront_test

import (
	"fmt"
	"io"
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

// stopScript is a planned stop of testdata/stops.json while requests are in flight.
type stopScript struct {
	Name   string `json:"name"`
	Path   string `json:"path"`
	WorkMS int    `json:"work-ms"`
	// Count requests are sent at the same time, SentMS after the begin of the stop.
	Count  int `json:"count"`
	SentMS int `json:"sent-ms"`
	// AllServed is set if all of them must be served.
	AllServed bool `json:"all-served"`
}

// countingSearcher is a searcher that counts the requests by their ids.
type countingSearcher struct {
	entry hysmember.Entry

	mu       sync.Mutex
	arrivals map[string]int
}

func newCountingSearcher(work time.Duration) *countingSearcher {
	s := &countingSearcher{arrivals: make(map[string]int)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrivals[r.Header.Get(headers.RequestID)]++
		s.mu.Unlock()
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "s")
		_, _ = io.WriteString(w, "0123456789abcdef")
	}))
	DeferCleanup(server.Close)
	s.entry = hysmember.Entry{
		Searcher: hysmember.Searcher{ID: "s-1", Service: "roll", Address: hysmember.Address(strings.TrimPrefix(server.URL, "http://")), Zone: "z"},
		Slots:    2, Revision: hystest.Revision(1),
	}
	return s
}

// arrived returns how often a request has reached the searcher.
func (s *countingSearcher) arrived(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

// stopAnswer is the answer to one request, or the error in place of a whole one.
type stopAnswer struct {
	id         string
	status     int
	retryAfter string
	err        error
}

// ask sends a request on a connection of its own.
func (d *daemon) ask(path, id string) stopAnswer {
	a := stopAnswer{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+string(d.settings.CallerAddress)+path+id, strings.NewReader("body"))
	if err != nil {
		a.err = err
		return a
	}
	r.Host, r.Close = "rota.example", true
	r.Header.Set(headers.RequestID, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	_, a.err = io.ReadAll(response.Body)
	return a
}

// Guards against requests in flight whose connections are cut at the end of a planned stop
// in place of an answer: review/1.
var _ = Describe("a planned stop while requests are in flight", func() {
	var scripts []stopScript
	hyssuite.Read("stops.json", &scripts)
	for number, script := range scripts {
		It("gives each request an answer, and a true one: "+script.Name, func() {
			searcher := newCountingSearcher(time.Duration(script.WorkMS) * time.Millisecond)
			shared := &store{
				version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher.entry},
				books: true, shards: []hysservice.Name{"roll"}, goal: 400 * time.Millisecond,
			}
			d := start(shared, fmt.Sprintf("127.0.70.%d", number+1))
			Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
			d.stop()
			time.Sleep(time.Duration(script.SentMS) * time.Millisecond)
			answers := make(chan stopAnswer, script.Count)
			for n := range script.Count {
				go func() { answers <- d.ask(script.Path, fmt.Sprint("r-", n)) }()
			}
			for range script.Count {
				a := <-answers
				Expect(a.err).NotTo(HaveOccurred(), "%s got no whole answer", a.id)
				switch a.status {
				case http.StatusOK:
				case http.StatusServiceUnavailable:
					Expect(searcher.arrived(a.id)).To(BeZero(), "%s is said not to have run", a.id)
					Expect(a.retryAfter).NotTo(BeEmpty())
				default:
					Expect(a.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
					Expect(searcher.arrived(a.id)).To(BeNumerically(">", 0), "%s has not run", a.id)
				}
				if script.AllServed {
					Expect(a.status).To(Equal(http.StatusOK))
				}
			}
		})
	}
})
