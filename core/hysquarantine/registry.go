// Package hysquarantine keeps a request that crashes searchers from crashing
// many.
//
// A Registry holds the evidence: which request, identified by its
// fingerprint, ran on which searcher when that searcher crashed. A request
// blamed for a crash is a suspect; a suspect that runs alone on a searcher and
// crashes it is quarantined, one that succeeds is cleared. Records merge in
// any order, so that daemons may exchange them and the platform's store may
// keep them.
//
// A Gate stands before the sending of sub-requests. A request that has not
// succeeded yet runs on one searcher at a time; a suspect also runs alone
// there. So a request that crashes searchers takes two of them down, and one
// that only shared the slots of a crashed searcher is cleared by its next run.
//
// A Watch stands beside the sends and holds none back, for daemons that pass
// callers' requests on as they are.
//
// # Usage
//
//	r := hysquarantine.NewRegistry(time.Now)
//	g := hysquarantine.NewGate(r, client.Send, probe)
//	d := hysdispatch.New(g.Send)
//
// Lock order: Gate.mu, then Registry.mu.
package hysquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

//go:generate go tool stringer -type=State -linecomment -output=enum_string.go

// Retention is how long a record is kept after its last crash.
const Retention = time.Hour

// maxRecords bounds the registry; past it the records that expire first go.
const maxRecords = 10_000

// State tells how a request may run.
type State uint8

// The states of a request.
const (
	StateClear       State = iota // clear
	StateSuspect                  // suspect
	StateQuarantined              // quarantined
)

// Key identifies what a request asks of a service.
type Key struct {
	Service     hysservice.Name      `json:"service"`
	Fingerprint hysquery.Fingerprint `json:"fingerprint"`
}

// Crash is one crash of a searcher.
type Crash struct {
	Searcher hysmember.SearcherID `json:"searcher"`
	// Event tells the crashes of one searcher apart.
	Event string `json:"event"`
	// Alone is true if a suspect ran alone on the searcher.
	Alone bool `json:"alone,omitempty"`
}

// Record is the evidence against one request.
type Record struct {
	Key
	// Crashes are those that happened while the request ran.
	Crashes []Crash `json:"crashes"`
	// Lifted are the crashes that no longer count: a later run alone
	// succeeded, or an operator lifted the quarantine.
	Lifted  []Crash   `json:"lifted,omitempty"`
	Expires time.Time `json:"expires"`
}

// Records is a list of records.
type Records []Record

// CountedCrashes returns the crashes that count against the request.
func (r Record) CountedCrashes() []Crash {
	var counted []Crash
	for _, c := range r.Crashes {
		if !slices.Contains(r.Lifted, c) {
			counted = append(counted, c)
		}
	}
	return counted
}

// State tells how the request may run.
func (r Record) State() State {
	counted := r.CountedCrashes()
	switch {
	case len(counted) == 0:
		return StateClear
	case slices.ContainsFunc(counted, func(c Crash) bool { return c.Alone }):
		return StateQuarantined
	default:
		return StateSuspect
	}
}

// Registry holds the records. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	now     func() time.Time
	records map[Key]Record
}

// NewRegistry returns an empty registry.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, records: make(map[Key]Record)}
}

// Record returns the evidence against a request; without any it is empty.
func (r *Registry) Record(key Key) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.records[key]
	if !ok || !known.Expires.After(r.now()) {
		return Record{Key: key}
	}
	return known
}

// AttributeCrash adds a crash to the record of each request that ran on the searcher.
func (r *Registry) AttributeCrash(c Crash, keys ...Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		r.merge(Record{Key: key, Crashes: []Crash{c}, Expires: r.now().Add(Retention).UTC().Truncate(time.Second)})
	}
	r.shrink()
}

// Lift makes the crashes known here no longer count, and those given, which
// another daemon may know. It reports whether any counted.
func (r *Registry) Lift(key Key, crashes ...Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.records[key]
	if (!ok || known.State() == StateClear) && len(crashes) == 0 {
		return false
	}
	lifted := union(known.Crashes, crashes)
	r.merge(Record{Key: key, Crashes: crashes, Lifted: lifted, Expires: r.now().Add(Retention).UTC().Truncate(time.Second)})
	return true
}

// Merge takes in records of other daemons or of the store.
func (r *Registry) Merge(records Records) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range records {
		if other.Expires.After(r.now()) {
			r.merge(other)
		}
	}
	r.shrink()
}

func (r *Registry) merge(other Record) {
	known := r.records[other.Key]
	known.Key = other.Key
	known.Crashes = union(known.Crashes, other.Crashes)
	known.Lifted = union(known.Lifted, other.Lifted)
	if other.Expires.After(known.Expires) {
		known.Expires = other.Expires
	}
	r.records[other.Key] = known
}

// shrink drops what has expired, and what expires first past maxRecords.
func (r *Registry) shrink() {
	now := r.now()
	for key, known := range r.records {
		if !known.Expires.After(now) {
			delete(r.records, key)
		}
	}
	if len(r.records) <= maxRecords {
		return
	}
	for _, old := range r.sorted()[:len(r.records)-maxRecords] {
		delete(r.records, old.Key)
	}
}

// sorted returns the records, those that expire first in front.
func (r *Registry) sorted() Records {
	all := make(Records, 0, len(r.records))
	for _, known := range r.records {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(a.Expires.Compare(b.Expires), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}

// Records returns the records that have not expired.
func (r *Registry) Records() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink()
	return r.sorted()
}

func union(a, b []Crash) []Crash {
	merged := append(slices.Clone(a), b...)
	slices.SortFunc(merged, func(x, y Crash) int {
		return cmp.Or(cmp.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Event, y.Event), compareAlone(x, y))
	})
	return slices.Compact(merged)
}

func compareAlone(a, b Crash) int {
	switch {
	case a.Alone == b.Alone:
		return 0
	case a.Alone:
		return 1
	default:
		return -1
	}
}

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for v := StateClear; v <= StateQuarantined; v++ {
		if v.String() == string(text) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("State.UnmarshalText: no state %q", text)
}
