package hysquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
)

// probeTimeout bounds the question whether a searcher has crashed.
const probeTimeout = 300 * time.Millisecond

// Seams of a Gate.
type (
	// ProbeFunc reports whether an incarnation of a searcher has crashed: the
	// searcher refuses connections or runs in a newer one. A searcher that
	// can't be reached for another reason has not crashed.
	ProbeFunc func(context.Context, hysmember.Searcher, uint64) bool
	// IncarnationFunc returns the incarnation of a searcher as last learned.
	IncarnationFunc func(hysmember.SearcherID) uint64
)

// Gate limits the sends of requests that have not yet succeeded. It is safe
// for concurrent use.
type Gate struct {
	mu       sync.Mutex
	registry *Registry
	proven   *ProvenCache
	send     hysdispatch.Sender
	probe    ProbeFunc
	// incarnation is asked before each send.
	incarnation IncarnationFunc
	// changed is closed and replaced whenever a send ends.
	changed chan struct{}
	// inFlight counts the running sends of each request.
	inFlight map[Key]int
	running  map[hysmember.SearcherID]*occupancy
}

// occupancy is what runs on one searcher.
type occupancy struct {
	requests map[Key]int
	count    int
	// alone is true while a suspect runs.
	alone bool
	// reserved is the suspect that waits for the searcher to be free.
	reserved Key
	// lost lists the requests that ran when the first connection was lost.
	lost []Key
	// event is set once the searcher has crashed under these requests.
	event string
}

// NewGate returns a gate before a sender.
func NewGate(r *Registry, p *ProvenCache, send hysdispatch.Sender, probe ProbeFunc, incarnation IncarnationFunc) *Gate {
	return &Gate{
		registry: r, proven: p, send: send, probe: probe, incarnation: incarnation,
		changed:  make(chan struct{}),
		inFlight: make(map[Key]int),
		running:  make(map[hysmember.SearcherID]*occupancy),
	}
}

// Send sends a sub-request once it may run, and blames the requests that ran
// on the searcher if it crashes.
func (g *Gate) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	key := Key{Service: sub.Service, Fingerprint: sub.Fingerprint}
	o, refusal := g.enter(ctx, s, key, sub.Proven)
	if o == nil {
		return refusal
	}
	incarnation := g.incarnation(s.ID)
	result := g.send(ctx, s, sub)
	if result.Fault == hysdispatch.FaultLost {
		g.blameIfCrashed(s, incarnation, o)
	}
	g.leave(s, o, key, result)
	return result
}

// enter waits until the request may run on the searcher. Without an occupancy
// it may not, and the result says why.
func (g *Gate) enter(ctx context.Context, s hysmember.Searcher, key Key, proven bool) (*occupancy, hysdispatch.Result) {
	for {
		o, state, changed := g.try(s, key, proven)
		if o != nil {
			return o, hysdispatch.Result{}
		}
		if state == StateQuarantined {
			return nil, hysdispatch.Result{
				Fault: hysdispatch.FaultQuarantined, NotRun: true,
				Reason: "the request crashed searchers and is quarantined",
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g.unreserve(s, key)
			return nil, hysdispatch.Result{Fault: hysdispatch.FaultCancelled, NotRun: true, Reason: "cancelled"}
		}
	}
}

func (g *Gate) try(s hysmember.Searcher, key Key, proven bool) (*occupancy, State, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.registry.Record(key).State()
	o := g.occupancy(s)
	if !g.mayRun(o, key, state, proven || g.proven.Contains(key)) {
		return nil, state, g.changed
	}
	o.count++
	o.requests[key]++
	o.alone = state == StateSuspect
	o.reserved = Key{}
	g.inFlight[key]++
	return o, state, nil
}

func (g *Gate) mayRun(o *occupancy, key Key, state State, proven bool) bool {
	reserved := o.reserved != (Key{}) && o.reserved != key
	switch {
	case state == StateQuarantined || o.alone || reserved:
		return false
	case state == StateSuspect:
		if g.inFlight[key] > 0 {
			if o.reserved == key {
				o.reserved = Key{}
			}
			return false
		}
		o.reserved = key
		return o.count == 0
	default:
		return proven || g.inFlight[key] == 0
	}
}

func (g *Gate) occupancy(s hysmember.Searcher) *occupancy {
	o, ok := g.running[s.ID]
	if !ok {
		o = &occupancy{requests: make(map[Key]int)}
		g.running[s.ID] = o
	}
	return o
}

func (g *Gate) unreserve(s hysmember.Searcher, key Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.occupancy(s); o.reserved == key {
		o.reserved = Key{}
	}
	g.forgetIdle(s)
	g.notify()
}

// blameIfCrashed blames every request that ran on the searcher when the first
// connection was lost.
func (g *Gate) blameIfCrashed(s hysmember.Searcher, incarnation uint64, o *occupancy) {
	g.noteLost(o)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !g.probe(ctx, s, incarnation) {
		g.mu.Lock()
		o.lost = nil
		g.mu.Unlock()
		return
	}
	crash, keys := g.noteCrash(s, o)
	for _, key := range keys {
		g.proven.Remove(key)
	}
	g.registry.AttributeCrash(crash, keys...)
}

func (g *Gate) noteLost(o *occupancy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.lost != nil {
		return
	}
	for key := range o.requests {
		o.lost = append(o.lost, key)
	}
}

// noteCrash detaches the occupancy, so that what enters from now on does not
// share the crash.
func (g *Gate) noteCrash(s hysmember.Searcher, o *occupancy) (Crash, []Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.event == "" {
		o.event = uuid.NewString()
	}
	if g.running[s.ID] == o {
		delete(g.running, s.ID)
	}
	return Crash{Searcher: s.ID, Event: o.event, Alone: o.alone}, o.lost
}

func (g *Gate) leave(s hysmember.Searcher, o *occupancy, key Key, result hysdispatch.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ranAlone := o.alone
	o.count--
	o.requests[key]--
	if o.requests[key] == 0 {
		delete(o.requests, key)
	}
	if o.count == 0 {
		o.alone = false
	}
	g.inFlight[key]--
	if g.inFlight[key] == 0 {
		delete(g.inFlight, key)
	}
	if result.Fault == hysdispatch.FaultNone {
		if ranAlone {
			g.registry.Lift(key)
		}
		g.proven.Add(key)
	}
	g.forgetIdle(s)
	g.notify()
}

// forgetIdle drops the occupancy of a searcher on which nothing runs or waits.
func (g *Gate) forgetIdle(s hysmember.Searcher) {
	if o := g.running[s.ID]; o != nil && o.count == 0 && o.reserved == (Key{}) {
		delete(g.running, s.ID)
	}
}

func (g *Gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
