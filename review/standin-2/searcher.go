package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two reports of a searcher.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that has reached a searcher.
type arrival struct {
	at     time.Time
	id     string
	path   string
	method string
	body   string
	ran    bool
}

// searcher is a backend server.
type searcher struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// records is the number of records in an answer; 0 for a searcher that is no shard.
	records int
	record  *record

	mu       sync.Mutex
	running  int
	limit    string
	arrivals []arrival
	server   *http.Server
	sequence int64
	born     int64
	stopped  bool
}

// startSearcher starts a searcher that reports itself to the store.
func startSearcher(s *searcher, st *store) *searcher {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 20 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.report(st)
	go func() {
		for {
			time.Sleep(heartbeat)
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			if stopped {
				return
			}
			s.report(st)
		}
	}()
	return s
}

func (s *searcher) report(st *store) {
	s.sequence++
	st.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.slots,
		"state": "ready", "warmup-left-ms": 0, "sequence": s.sequence, "born": s.born,
	})
}

func (s *searcher) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.server.Close()
}

// stamp signs a body as the answer of a searcher to a request.
func stamp(searcher, id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(searcher+" "+id+" "), body...))
	return fmt.Sprintf("%s.%x", searcher, sum[:8])
}

// validStamp reports whether a stamp signs a body as the answer to a request.
func validStamp(text, id string, body []byte) bool {
	name, _, ok := strings.Cut(text, ".")
	return ok && stamp(name, id, body) == text
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=20")
	s.mu.Lock()
	limit := s.limit
	full := s.running >= s.slots
	misdirected := r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != s.id
	ran := !full && !misdirected
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, path: r.RequestURI, method: r.Method, body: string(body), ran: ran})
	if ran {
		s.running++
	}
	s.mu.Unlock()
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if !ran {
		w.Header().Set("X-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if misdirected {
			status = http.StatusMisdirectedRequest
		}
		w.WriteHeader(status)
		return
	}
	s.record.add("searcher %s runs %s %s %s", s.id, id, r.Method, r.RequestURI)
	timer := time.NewTimer(s.work)
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	answer := []byte("form " + r.RequestURI + " of " + s.id + "\n")
	if s.records > 0 {
		answer = newRecords(s.records)
	}
	signature := stamp(s.id, id, answer)
	parts.add(signature, part{service: s.service, id: id, body: answer})
	w.Header().Set("X-Server-Stamp", signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}

// setLimit sets the rate limit that the searcher states from now on, and forgets what has
// reached it before.
func (s *searcher) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.arrivals = limit, nil
}

// times returns when requests have reached the searcher.
func (s *searcher) times() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]time.Time, 0, len(s.arrivals))
	for _, a := range s.arrivals {
		all = append(all, a.at)
	}
	return all
}
