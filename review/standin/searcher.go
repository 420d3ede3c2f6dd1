package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of a searcher.
const heartbeat = 1200 * time.Millisecond

// Searcher is a stand-in for a searcher.
type Searcher struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Work is how long a request takes.
	Work time.Duration
	// OnArrival is called with each request; it may be nil.
	OnArrival func(s *Searcher, r *http.Request)
	// Limit returns the value of Server-Limit, "" for none; it may be nil.
	Limit func() string

	c       *Case
	address string
	born    int64
	slots   chan struct{}
	queued  atomic.Int64
	stamps  atomic.Int64
}

// Open starts a searcher without writing its entry.
func (c *Case) Open(s *Searcher) {
	l := c.Listen(c.Address())
	s.c, s.address, s.born = c, l.Addr().String(), time.Now().UnixMilli()
	s.slots = make(chan struct{}, s.Slots)
	go func() { _ = http.Serve(l, s) }()
}

// Announce writes the entry of a searcher, with an address, until the case ends.
func (c *Case) Announce(s *Searcher, store *Store, address string) {
	go func() {
		for sequence := 1; ; sequence++ {
			store.Put("servers/"+s.ID, map[string]any{
				"service": s.Service, "address": address, "zone": s.Zone, "version": "v1", "capacity": s.Slots,
				"state": "ready", "warmup-left-ms": 0, "sequence": sequence, "born": s.born,
			})
			time.Sleep(heartbeat)
		}
	}()
}

// Serve starts a searcher and writes its entry until the case ends.
func (c *Case) Serve(s *Searcher, store *Store) {
	c.Open(s)
	c.Announce(s, store, s.address)
}

// Address returns the searcher's address.
func (s *Searcher) Address() string { return s.address }

// maxQueued is how many requests wait for a slot.
const maxQueued = 12

// ServeHTTP runs a request.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if s.Limit != nil {
		if limit := s.Limit(); limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.OnArrival != nil {
		s.OnArrival(s, r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.queued.Add(1) > int64(maxQueued+s.Slots) {
		s.queued.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.c.Record("%s runs %s", s.ID, id)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d", s.ID, s.stamps.Add(1)))
	w.Header().Set("Content-Type", "application/octet-stream")
	fmt.Fprintf(w, "%s %s %s %d\n", s.ID, r.Method, id, len(body))
}
