// Package hysquarantine limits how many searchers one request can crash.
//
// A Registry holds the crash evidence: which requests, identified by their
// fingerprints, ran on a searcher when it crashed. A request with such evidence
// is a suspect. A suspect that crashes a searcher while it runs there alone is
// quarantined; one that succeeds is cleared. Records merge in any order, so
// instances may exchange them and the platform's store may keep them.
//
// A Gate admits sub-requests before they are sent. An unproven request runs on
// one searcher at a time; a suspect also runs alone there. So a request that
// crashes searchers takes down two of them, and a request that only shared the
// slots of a crashed searcher is cleared by its next run.
//
// A Tracker only observes the outcomes of sends and delays none of them. It is
// for instances that forward callers' requests unchanged.
//
// # Usage
//
//	r := hysquarantine.NewRegistry(time.Now)
//	p := hysquarantine.NewProvenCache()
//	g := hysquarantine.NewGate(r, p, client.Send, probe, incarnation)
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

// maxRecords bounds the registry. Beyond it, the records that expire first are
// evicted.
const maxRecords = 10_000

// State tells how a request may run.
type State uint8

// The states of a request.
const (
	StateClear       State = iota // clear
	StateSuspect                  // suspect
	StateQuarantined              // quarantined
)

// Key identifies the requests to a service that have the same fingerprint.
type Key struct {
	Service     hysservice.Name      `json:"service"`
	Fingerprint hysquery.Fingerprint `json:"fingerprint"`
}

// Crash is one crash of a searcher.
type Crash struct {
	Searcher hysmember.SearcherID `json:"searcher"`
	// Event identifies the crash among those of the searcher.
	Event string `json:"event"`
	// Alone is true if a suspect request ran alone on the searcher.
	Alone bool `json:"alone,omitempty"`
}

// Record is the crash evidence of one request.
type Record struct {
	Key
	// Crashes are the crashes that happened while the request ran.
	Crashes []Crash `json:"crashes"`
	// Lifted are the crashes that no longer count, since the request later
	// succeeded or an operator lifted the quarantine.
	Lifted  []Crash   `json:"lifted,omitempty"`
	Expires time.Time `json:"expires"`
}

// Records is a list of records.
type Records []Record

// CountedCrashes returns the crashes that have not been lifted.
func (r Record) CountedCrashes() []Crash {
	var counted []Crash
	for _, c := range r.Crashes {
		if !slices.Contains(r.Lifted, c) {
			counted = append(counted, c)
		}
	}
	return counted
}

// State returns how the request may run.
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

// Registry holds the records of all requests. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	now     func() time.Time
	records map[Key]Record
}

// NewRegistry returns an empty registry.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, records: make(map[Key]Record)}
}

// Record returns the crash evidence of a request. Without evidence, or if it has
// expired, the record has only its key.
func (r *Registry) Record(key Key) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.records[key]
	if !ok || !known.Expires.After(r.now()) {
		return Record{Key: key}
	}
	return known
}

// AttributeCrash adds a crash to the records of the given requests, which ran on
// the searcher. The records expire after Retention.
func (r *Registry) AttributeCrash(c Crash, keys ...Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		r.merge(Record{Key: key, Crashes: []Crash{c}, Expires: r.now().Add(Retention).UTC().Truncate(time.Second)})
	}
	r.evict()
}

// Lift marks the recorded crashes of a request as lifted, and the given ones,
// which may be known to another instance only. It returns false if there was
// nothing to lift.
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

// Merge merges records of other instances or of the store; expired ones are
// ignored.
func (r *Registry) Merge(records Records) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range records {
		if other.Expires.After(r.now()) {
			r.merge(other)
		}
	}
	r.evict()
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

// evict removes expired records, and those that expire first if there are more
// than maxRecords.
func (r *Registry) evict() {
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

// sorted returns the records by expiry, the earliest first.
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
	r.evict()
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
