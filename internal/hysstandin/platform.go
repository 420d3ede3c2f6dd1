// Package hysstandin holds small stand-ins for the platform and the searchers,
// for tests and measurements. They serve the real protocols over real sockets
// and can inject faults.
//
// # Usage
//
//	p := hysstandin.NewPlatform()
//	server := httptest.NewServer(p.Handler())
//	p.SetFault(hysstandin.PlatformFault{Down: true})
package hysstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysstore"
)

// maxValueBytes is the size of the largest value that the platform accepts.
const maxValueBytes = 1 << 20

// listPath is the path of the instance list.
const listPath = "/v1/instances"

// PlatformFault describes the faults that the platform injects.
type PlatformFault struct {
	// Down fails every call before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers is how many writes take effect without a reply.
	LoseAnswers int `json:"lose-answers"`
	// DropWrites is how many writes are dropped before they take effect.
	DropWrites int `json:"drop-writes"`
	// HoldWrites is how many writes take effect only HoldMS milliseconds after
	// their connection was closed.
	HoldWrites int   `json:"hold-writes"`
	HoldMS     int64 `json:"hold-ms"`
	// StoreDown fails every call of the key-value service; the instance list is
	// still served.
	StoreDown bool `json:"store-down"`
	// DelayMS is added to the duration of every call, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// FreezeList makes reads return the instance list as it was when the fault
	// began.
	FreezeList bool `json:"freeze-list"`
	// SilentWatches keeps watches from reporting changes.
	SilentWatches bool `json:"silent-watches"`
}

// PlatformCounts counts the calls that the platform served.
type PlatformCounts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

type platformValue struct {
	data     []byte
	revision hysstore.Revision
	lease    string
}

type platformLease struct {
	ttl     time.Duration
	expires time.Time
}

// Platform is a key-value store with compare-and-swap, leases and watches, and
// an instance list.
type Platform struct {
	mu         sync.Mutex
	now        func() time.Time
	values     map[string]platformValue
	leases     map[string]platformLease
	revision   hysstore.Revision
	changed    chan struct{}
	list       hysmember.List
	frozenList hysmember.List
	fault      PlatformFault
	counts     PlatformCounts
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		now:     time.Now,
		values:  make(map[string]platformValue),
		leases:  make(map[string]platformLease),
		changed: make(chan struct{}),
	}
}

// SetFault replaces the injected faults.
func (p *Platform) SetFault(f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeList && !p.fault.FreezeList {
		p.frozenList = p.list
	}
	p.fault = f
}

// SetList replaces the instance list.
func (p *Platform) SetList(l hysmember.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = l
}

// Counts returns how many calls were served.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Snapshot returns a copy of all values, for Restore.
func (p *Platform) Snapshot() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string][]byte, len(p.values))
	for k, v := range p.values {
		copied[k] = v.data
	}
	return copied
}

// Restore replaces all values, as restoring an older backup does. They get new
// revisions.
func (p *Platform) Restore(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = make(map[string]platformValue, len(values))
	for k, data := range values {
		p.revision++
		p.values[k] = platformValue{data: data, revision: p.revision}
	}
	p.notify()
}

// Handler serves the platform's API. For tests it also serves PUT /fault, PUT
// /instances and GET /counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.withFault(p.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", p.withFault(p.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", p.withFault(p.remove))
	mux.HandleFunc("GET /v1/kv", p.withFault(p.listKeys))
	mux.HandleFunc("POST /v1/leases/{id}", p.withFault(p.renewLease))
	mux.HandleFunc("GET "+listPath, p.withFault(p.getList))
	mux.HandleFunc("PUT /instances", p.putList)
	mux.HandleFunc("PUT /fault", p.putFault)
	mux.HandleFunc("GET /counts", p.getCounts)
	return mux
}

// writeFault is the fault injected into one write.
type writeFault uint8

const (
	writeDone writeFault = iota
	writeAnswerLost
	writeDropped
	writeHeld
)

// nextFault returns the faults in force and the one to inject into this call.
func (p *Platform) nextFault(r *http.Request) (PlatformFault, writeFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.fault
	switch {
	case r.Method == http.MethodGet:
		return fault, writeDone
	case fault.LoseAnswers > 0:
		p.fault.LoseAnswers--
		return fault, writeAnswerLost
	case fault.DropWrites > 0:
		p.fault.DropWrites--
		return fault, writeDropped
	case fault.HoldWrites > 0:
		p.fault.HoldWrites--
		return fault, writeHeld
	default:
		return fault, writeDone
	}
}

func (p *Platform) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, write := p.nextFault(r)
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
		if fault.Down || (fault.StoreDown && r.URL.Path != listPath) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		switch write {
		case writeDone:
			next(w, r)
			return
		case writeAnswerLost:
			next(discardWriter{header: make(http.Header)}, r)
		case writeHeld:
			p.delayWrite(next, r, time.Duration(fault.HoldMS)*time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}
}

// delayWrite makes a write take effect later, as if the network had delayed it.
func (p *Platform) delayWrite(next http.HandlerFunc, r *http.Request, wait time.Duration) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(data))
	delayed.SetPathValue("key", r.PathValue("key"))
	time.AfterFunc(wait, func() { next(discardWriter{header: make(http.Header)}, delayed) })
}

// discardWriter discards the reply to a write that takes effect.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	known, watch := revisionParameter(r, "not-revision")
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		v, ok := p.liveValue(key)
		changed, silent := p.changed, p.fault.SilentWatches
		p.mu.Unlock()
		if !watch || (v.revision != known && !silent) {
			p.answer(w, v, ok, watch)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			p.answer(w, v, ok, watch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) answer(w http.ResponseWriter, v platformValue, ok, watch bool) {
	p.mu.Lock()
	p.counts.Reads++
	if watch {
		p.counts.Watches++
	}
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeRevision(w, v.revision)
	_, _ = w.Write(v.data)
}

// liveValue returns the value of a key unless its lease has expired.
func (p *Platform) liveValue(key string) (platformValue, bool) {
	v, ok := p.values[key]
	if !ok {
		return v, false
	}
	if v.lease != "" && p.now().After(p.leases[v.lease].expires) {
		return platformValue{}, false
	}
	return v, true
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(data) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.compareAndSwap(w, r, func(key string) {
		p.values[key] = platformValue{data: data, revision: p.revision, lease: r.URL.Query().Get("lease")}
	})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.compareAndSwap(w, r, func(key string) { delete(p.values, key) })
}

func (p *Platform) compareAndSwap(w http.ResponseWriter, r *http.Request, change func(key string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	key := r.PathValue("key")
	expected, given := revisionParameter(r, "revision")
	known, _ := p.liveValue(key)
	if given && known.revision != expected {
		http.Error(w, "another revision", http.StatusPreconditionFailed)
		return
	}
	p.revision++
	change(key)
	p.notify()
	writeRevision(w, p.revision)
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) listKeys(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.counts.Reads++
	entries := []hysstore.Entry{}
	for k := range p.values {
		if v, ok := p.liveValue(k); ok && strings.HasPrefix(k, prefix) {
			entries = append(entries, hysstore.Entry{Key: k, Revision: v.revision})
		}
	}
	p.mu.Unlock()
	writeJSON(w, entries)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := strconv.ParseInt(r.URL.Query().Get("ttl-ms"), 10, 64)
	if err != nil || ttl < 1 {
		http.Error(w, "ttl-ms must be above 0", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	id := r.PathValue("id")
	l, ok := p.leases[id]
	if ok && p.now().After(l.expires) {
		http.Error(w, "the lease has lapsed", http.StatusGone)
		return
	}
	span := time.Duration(ttl) * time.Millisecond
	p.leases[id] = platformLease{ttl: span, expires: p.now().Add(span)}
}

func (p *Platform) getList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	list := p.list
	if p.fault.FreezeList {
		list = p.frozenList
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

func (p *Platform) putList(w http.ResponseWriter, r *http.Request) {
	var l hysmember.List
	if readJSON(w, r, &l) {
		p.SetList(l)
	}
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFault
	if readJSON(w, r, &f) {
		p.SetFault(f)
	}
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

func revisionParameter(r *http.Request, name string) (hysstore.Revision, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return hysstore.Revision(n), err == nil
}

func writeRevision(w http.ResponseWriter, r hysstore.Revision) {
	w.Header().Set("X-Revision", strconv.FormatUint(uint64(r), 10))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
