// Package standin holds stand-ins for the platform's store, searchers and
// callers, and starts frontend daemons as processes. They speak what the users'
// protocol page says, over loopback.
package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItems is the number of items in one page of a range.
const maxItems = 500

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is a change of a key as a watch returns it.
type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in for the platform's store.
type Store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]*Item
	history   []event
	changed   chan struct{}
	leases    map[int64]*lease
	nextLease int64
	delay     time.Duration
	view      func(machine, key string, value []byte) []byte
	loss      loss
}

// lossTime is how long the answers of writes are lost in one impairment.
const lossTime = 4500 * time.Millisecond

// loss is an impairment in which one write gets no answer and is done late.
type loss struct {
	machine string
	delay   time.Duration
	until   time.Time
	// pending is set until the write was lost.
	pending bool
	// writes counts the writes of all machines in the impairment, lost those without an
	// answer.
	writes int
	lost   int
}

// NewStore returns an empty store whose answers take some time.
func NewStore(delay time.Duration) *Store {
	s := &Store{
		revision: 100, items: make(map[string]*Item), changed: make(chan struct{}),
		leases: make(map[int64]*lease), nextLease: 7000, delay: delay,
	}
	go s.expireLeases()
	return s
}

// BeginLoss begins an impairment of lossTime, in which the next conditional write of a
// machine gets no answer and is done after a delay. The function that it returns awaits the
// end and returns the number of writes and of lost ones.
func (s *Store) BeginLoss(machine string, delay time.Duration) func() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(lossTime)
	s.loss = loss{machine: machine, delay: delay, until: until, pending: true}
	var ended loss
	done := make(chan struct{})
	time.AfterFunc(lossTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		ended, s.loss = s.loss, loss{}
		close(done)
	})
	return func() (int, int) {
		<-done
		return ended.writes, ended.lost
	}
}

// countWrite counts a write, and reports whether it is to be lost.
func (s *Store) countWrite(machine string, conditional bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.loss.until) {
		return 0, false
	}
	s.loss.writes++
	if !conditional || !s.loss.pending || s.loss.machine != machine {
		return 0, false
	}
	s.loss.pending = false
	s.loss.lost++
	return s.loss.delay, true
}

// SetView sets how a machine sees a value. It must be called before the store is served.
func (s *Store) SetView(view func(machine, key string, value []byte) []byte) { s.view = view }

// viewOf returns a value as a machine sees it.
func (s *Store) viewOf(machine, key string, value []byte) []byte {
	if s.view == nil || value == nil {
		return value
	}
	return s.view(machine, key, value)
}

// Put writes a key, as the operator or a searcher does.
func (s *Store) Put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.notify()
	return s.revision
}

// The caller of the following functions holds mu and has raised the revision.

func (s *Store) put(key string, value []byte, leaseID int64) {
	created := s.revision
	if known := s.items[key]; known != nil {
		created = known.Created
	}
	i := &Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, event{Key: key, Value: value, Revision: i.Revision, Created: created, Lease: leaseID})
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

// Handler serves the calls of one machine.
func (s *Store) Handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) { s.getRange(w, r, machine) })
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, machine) })
	mux.HandleFunc("POST /kv-txn", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, machine) })
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		time.Sleep(s.delay)
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, struct {
		*Item
		Current int64 `json:"current-rev"`
	}{i, s.revision})
}

func (s *Store) getRange(w http.ResponseWriter, r *http.Request, machine string) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []*Item{}, false
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			seen := *i
			seen.Value = s.viewOf(machine, i.Key, i.Value)
			items = append(items, &seen)
		}
	}
	slices.SortFunc(items, func(a, b *Item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > maxItems {
		items, more = items[:maxItems], true
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, machine string) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				e.Value = s.viewOf(machine, e.Key, e.Value)
				events = append(events, e)
			}
		}
		changed, current := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, machine string) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if delay, lost := s.countWrite(machine, true); lost {
		time.AfterFunc(delay, func() { _, _ = s.apply(t) })
		<-r.Context().Done()
		return
	}
	status, body := s.apply(t)
	answer(w, status, body)
}

// apply does a conditional write and returns the answer.
func (s *Store) apply(t transaction) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, e := range t.Expected {
		known := int64(0)
		if i := s.items[e.Key]; i != nil {
			known = i.Revision
		}
		if known != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []*Item{}}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL < 1000 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.countWrite("", false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl-ms": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	answer(w, http.StatusOK, struct{}{})
}
