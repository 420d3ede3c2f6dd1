package hysstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/io/hyssearch"
)

// restartIncarnationStep is added to the incarnation at each restart.
const restartIncarnationStep = 1000

// SearcherSettings holds the settings of one searcher.
type SearcherSettings struct {
	ID       hysmember.SearcherID    `json:"id"`
	Service  hysservice.Name         `json:"service"`
	Slots    int                     `json:"slots"`
	Holdings []hyssearch.InfoHolding `json:"holdings"`
	// Records is the number of records of the whole service.
	Records int `json:"records"`
	// ServiceMeanUS is the mean of the log-normal service time, in microseconds.
	ServiceMeanUS int64 `json:"service-mean-us"`
	// ServiceSigma is the sigma of the log-normal service time; 0 makes it
	// constant.
	ServiceSigma float64 `json:"service-sigma"`
	Seed         uint64  `json:"seed"`
}

// SearcherFault describes the faults that a searcher injects.
type SearcherFault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow-factor"`
	Shed       bool    `json:"shed"`
	Draining   bool    `json:"draining"`
	// InfoLags makes info replies say that the searcher is not draining although
	// it is.
	InfoLags bool `json:"info-lags"`
	// Silent makes the searcher never reply to info and search requests.
	Silent bool `json:"silent"`
	// WrongVersion makes it reply from another version than the requested one.
	WrongVersion bool `json:"wrong-version"`
	// CrossReplies makes it reply with the ID of another request.
	CrossReplies bool `json:"cross-replies"`
	// RateLimit is what replies state as the number of requests a second that the
	// searcher takes from all instances, any JSON value; nothing is stated without it.
	RateLimit json.RawMessage `json:"rate-limit,omitempty"`
}

// SearchBody is the body of a request that the stand-in understands.
type SearchBody struct {
	// Find is the text that the key of a matching record contains.
	Find string `json:"find"`
	// Book is the text that a non-idempotent request books.
	Book string `json:"book"`
	// Crash crashes the searcher that runs the request.
	Crash bool `json:"crash"`
	// Limit is the maximum number of records that a shard returns; 0 means no
	// limit.
	Limit int `json:"limit"`
}

// Record is a record of a service at one version.
type Record struct {
	Key     string              `json:"key"`
	Text    string              `json:"text"`
	Version hyssnapshot.Version `json:"version"`
}

// Run identifies a search that a searcher ran.
type Run struct {
	RequestID string              `json:"request-id"`
	Shard     hysservice.ShardID  `json:"shard"`
	Version   hyssnapshot.Version `json:"version"`
	Group     string              `json:"group,omitempty"`
}

// Searcher is a stand-in for a backend server.
type Searcher struct {
	mu          sync.Mutex
	settings    SearcherSettings
	incarnation uint64
	fault       SearcherFault
	running     int
	peak        int
	offered     int
	// arrivals holds when each search was sent to the searcher.
	arrivals []time.Time
	runs     []Run
	attempts map[Run]int
	cancels  map[string]context.CancelFunc
	random   *rand.Rand
	crash    func()
}

// NewSearcher returns a searcher. It calls crash for a request that crashes the
// searcher.
func NewSearcher(s SearcherSettings, incarnation uint64, crash func()) *Searcher {
	return &Searcher{
		settings: s, incarnation: incarnation, crash: crash,
		cancels: make(map[string]context.CancelFunc), attempts: make(map[Run]int),
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// SetFault replaces the injected faults.
func (s *Searcher) SetFault(f SearcherFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetServiceTime sets the mean and the sigma of the service time.
func (s *Searcher) SetServiceTime(mean time.Duration, sigma float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.ServiceMeanUS, s.settings.ServiceSigma = mean.Microseconds(), sigma
}

// SetHoldings replaces the searcher's holdings.
func (s *Searcher) SetHoldings(h []hyssearch.InfoHolding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Holdings = h
}

// Restart simulates a restart: a higher incarnation and no faults.
func (s *Searcher) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation += restartIncarnationStep
	s.fault = SearcherFault{}
}

// Runs returns the searches that the searcher ran, in order.
func (s *Searcher) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Attempts returns how often each sub-request was sent to the searcher,
// including those that it did not run.
func (s *Searcher) Attempts() map[Run]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.attempts)
}

// Offered returns how many searches were sent to the searcher, whether it ran
// them or not.
func (s *Searcher) Offered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offered
}

// Arrivals returns when each search arrived, whether the searcher ran it or not.
func (s *Searcher) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Running returns the number of searches that are running.
func (s *Searcher) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Handler serves the searchers' API. For tests it also serves PUT /fault, PUT
// /holdings and GET /runs.
func (s *Searcher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+hyssearch.PathSearch, s.search)
	mux.HandleFunc("POST "+hyssearch.PathInfo, s.info)
	mux.HandleFunc("POST "+hyssearch.PathCancel, s.cancel)
	mux.HandleFunc("PUT /fault", s.putFault)
	mux.HandleFunc("PUT /holdings", s.putHoldings)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	return mux
}

func (s *Searcher) putFault(w http.ResponseWriter, r *http.Request) {
	var f SearcherFault
	if readJSON(w, r, &f) {
		s.SetFault(f)
	}
}

func (s *Searcher) putHoldings(w http.ResponseWriter, r *http.Request) {
	var h []hyssearch.InfoHolding
	if readJSON(w, r, &h) {
		s.SetHoldings(h)
	}
}

func (s *Searcher) info(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	reply := hyssearch.InfoReply{
		Searcher: s.settings.ID, Service: s.settings.Service, Incarnation: s.incarnation,
		Draining: s.fault.Draining && !s.fault.InfoLags, Holdings: s.settings.Holdings,
	}
	silent := s.fault.Silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, reply)
}

func (s *Searcher) cancel(w http.ResponseWriter, r *http.Request) {
	var request hyssearch.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	stop := s.cancels[cancelKey(request.RequestID, request.Attempt)]
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
	writeJSON(w, struct{}{})
}

func cancelKey(id string, attempt uint64) string {
	return fmt.Sprintf("%s/%d", id, attempt)
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	var request hyssearch.SearchRequest
	if !readJSON(w, r, &request) {
		return
	}
	reply := hyssearch.SearchReply{
		RequestID: request.RequestID, Attempt: request.Attempt, Shard: request.Shard,
		Epoch: request.Epoch, Version: request.Version, Status: hyssearch.StatusOK,
	}
	var body SearchBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		reply.Status, reply.Reason = hyssearch.StatusRejected, err.Error()
		writeJSON(w, reply)
		return
	}
	s.run(r.Context(), request, body, &reply)
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.Silent {
		<-r.Context().Done()
		return
	}
	reply.RateLimit = fault.RateLimit
	if fault.CrossReplies {
		reply.RequestID += "-crossed"
	}
	writeJSON(w, reply)
}

func (s *Searcher) run(ctx context.Context, request hyssearch.SearchRequest, body SearchBody, reply *hyssearch.SearchReply) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	holding, serviceTime, status := s.admit(request, stop)
	reply.Status = status
	if status != hyssearch.StatusOK {
		reply.Draining = status == hyssearch.StatusDraining
		return
	}
	defer s.releaseSlot(request)
	if body.Crash {
		s.crash()
	}
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		reply.Status = hyssearch.StatusCancelled
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.WrongVersion {
		reply.Version++
	}
	reply.Draining = s.fault.Draining
	if body.Book != "" {
		reply.Hits = []json.RawMessage{json.RawMessage(fmt.Sprintf(`{"booked":%q}`, body.Book))}
		return
	}
	reply.Hits = Search(request.Service, s.settings.Records, holding, reply.Version, body)
}

// admit takes a slot for a request and returns the holding to search and the
// service time, or a status other than OK if the request can't run.
func (s *Searcher) admit(request hyssearch.SearchRequest, stop context.CancelFunc) (hyssearch.InfoHolding, time.Duration, hyssearch.SearchStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[Run{RequestID: request.RequestID, Shard: request.Shard}]++
	s.offered++
	s.arrivals = append(s.arrivals, time.Now())
	if s.fault.Draining {
		return hyssearch.InfoHolding{}, 0, hyssearch.StatusDraining
	}
	if s.fault.Shed || s.running >= s.settings.Slots {
		return hyssearch.InfoHolding{}, 0, hyssearch.StatusShed
	}
	i := slices.IndexFunc(s.settings.Holdings, func(h hyssearch.InfoHolding) bool {
		return h.Epoch == request.Epoch && h.Shard == request.Shard
	})
	if i < 0 {
		return hyssearch.InfoHolding{}, 0, hyssearch.StatusEpochGone
	}
	h := s.settings.Holdings[i]
	if !slices.Contains(h.Versions, request.Version) {
		return hyssearch.InfoHolding{}, 0, hyssearch.StatusVersionGone
	}
	s.running++
	s.peak = max(s.peak, s.running)
	s.runs = append(s.runs, Run{RequestID: request.RequestID, Shard: request.Shard, Version: request.Version})
	s.cancels[cancelKey(request.RequestID, request.Attempt)] = stop
	return h, s.serviceTime(), hyssearch.StatusOK
}

func (s *Searcher) releaseSlot(request hyssearch.SearchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	delete(s.cancels, cancelKey(request.RequestID, request.Attempt))
}

func (s *Searcher) serviceTime() time.Duration {
	mean := float64(s.settings.ServiceMeanUS)
	if s.fault.SlowFactor > 0 {
		mean *= s.fault.SlowFactor
	}
	return time.Duration(mean*logNormal(s.random, s.settings.ServiceSigma)) * time.Microsecond
}

// Search returns the records of a holding at a version that match a request.
// Tests also call it to compute the expected hits.
func Search(service hysservice.Name, records int, h hyssearch.InfoHolding, v hyssnapshot.Version, body SearchBody) []json.RawMessage {
	hits := []json.RawMessage{}
	for i := range records {
		key := fmt.Sprintf("%s-%06d", service, i)
		hash := hysquery.KeyHash(key)
		if hash < h.From || hash >= h.To || !strings.Contains(key, body.Find) {
			continue
		}
		if body.Limit > 0 && len(hits) >= body.Limit {
			break
		}
		data, err := json.Marshal(Record{Key: key, Text: fmt.Sprintf("%s at %d", key, v), Version: v})
		if err != nil {
			continue
		}
		hits = append(hits, data)
	}
	return hits
}
