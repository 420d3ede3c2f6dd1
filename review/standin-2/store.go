package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usualStoreDelay is how long the store takes for an answer while nothing is wrong.
const usualStoreDelay = 4 * time.Millisecond

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store. Each machine of the system gets an address of
// its own, so that the store can turn single machines away.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
	delay    time.Duration
	// rejected holds the machines that get no answer to any call.
	rejected map[string]bool
	servers  []*http.Server
	record   *record
	// onRange is called with the machine and the prefix of each listing, if it is set.
	onRange func(machine, prefix string)
}

func newStore(r *record) *store {
	s := &store{
		items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), revision: 1,
		delay: usualStoreDelay, rejected: make(map[string]bool), record: r,
	}
	go s.expireLeases()
	return s
}

// listen returns the store's address for one machine.
func (s *store) listen(machine string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// setDelay changes how long an answer takes.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// reject turns a machine away, or serves it again.
func (s *store) reject(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[machine] = on
}

// hasKeyWith reports whether a key contains a text.
func (s *store) hasKeyWith(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.Contains(key, text) {
			return true
		}
	}
	return false
}

// awaitListing waits until a machine has listed the instances.
func (s *store) awaitListing(machine string, within time.Duration) {
	listed := make(chan struct{}, 1)
	s.mu.Lock()
	s.onRange = func(by, prefix string) {
		if by != machine || strings.HasPrefix(prefix, "servers/") {
			return
		}
		select {
		case listed <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	select {
	case <-listed:
		s.record.add("%s has listed the instances", machine)
	case <-time.After(within):
		fail(fmt.Errorf("%s does not list the instances", machine))
	}
}

// put writes a key as the operator and the searchers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
	s.notify()
}

// write writes a key at the current revision. The caller holds mu.
func (s *store) write(key, value string, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.items[key]; ok {
		i.Created = known.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove removes a key at the next revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.Before(l.expires) {
				continue
			}
			delete(s.leases, id)
			for key, i := range s.items {
				if i.Lease == id {
					s.remove(key)
				}
			}
			s.notify()
		}
		s.mu.Unlock()
	}
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay, rejected := s.delay, s.rejected[machine]
	s.mu.Unlock()
	time.Sleep(delay)
	if rejected {
		s.record.add("no answer of the store to %s: %s %s", machine, r.Method, r.URL.Path)
		stayQuiet(r)
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
		s.mu.Lock()
		onRange := s.onRange
		s.mu.Unlock()
		if onRange != nil {
			onRange(machine, r.URL.Query().Get("prefix"))
		}
	case path == "/kv-watch":
		s.serveWatch(w, r, machine)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

// stayQuiet waits until the caller has given a call up, and closes its connection without an
// answer.
func stayQuiet(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Current int64 `json:"current-rev"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, machine string) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) && len(events) < 500 {
				events = append(events, i)
			}
		}
		current, changed, rejected := s.revision, s.changed, s.rejected[machine]
		s.mu.Unlock()
		if rejected {
			stayQuiet(r)
			return
		}
		if len(events) == 500 {
			current = events[len(events)-1].Revision
		}
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []item `json:"expected-rev"`
		Puts     []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range call.Expected {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range call.Expected {
				if i, ok := s.items[e.Key]; ok {
					items = append(items, i)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": items, "current-rev": s.revision})
			return
		}
	}
	for _, p := range call.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
			return
		}
	}
	s.revision++
	for _, p := range call.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision, "current-rev": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(call.TTL) * time.Millisecond
	id := s.revision*1000 + int64(len(s.leases))
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": call.TTL, "current-rev": s.revision})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{})
}

// check ends the program on an error of the test itself.
func check(err error) {
	if err != nil {
		fail(fmt.Errorf("the case could not run: %w", err))
	}
}
