package hysquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
)

// probeTimeout bounds one call of a ProbeFunc.
const probeTimeout = 300 * time.Millisecond

// Callbacks of a Gate.
type (
	// ProbeFunc reports whether an incarnation of a searcher has crashed. It
	// has if the searcher refuses connections or runs as a newer incarnation.
	// A searcher that is unreachable for another reason has not crashed.
	ProbeFunc func(context.Context, hysmember.Searcher, uint64) bool
	// IncarnationFunc returns the last known incarnation of a searcher.
	IncarnationFunc func(hysmember.SearcherID) uint64
)

// Gate limits the concurrent sends of unproven requests. It is safe for
// concurrent use.
type Gate struct {
	mu       sync.Mutex
	registry *Registry
	proven   *ProvenCache
	send     hysdispatch.Sender
	probe    ProbeFunc
	// incarnation is called before each send.
	incarnation IncarnationFunc
	// changed is closed and replaced whenever a send ends.
	changed chan struct{}
	// inFlight counts the running sends of each request, over all searchers.
	inFlight    map[Key]int
	occupancies map[hysmember.SearcherID]*occupancy
}

// occupancy holds the sends that run on one searcher.
type occupancy struct {
	requests map[Key]int
	count    int
	// alone is true while a suspect request runs; nothing else may run then.
	alone bool
	// reserved is the suspect request that waits until the searcher is idle.
	reserved Key
	// runningAtLoss lists the requests that ran when the first connection was
	// lost.
	runningAtLoss []Key
	// crashEvent identifies the crash of the searcher under these requests. It
	// is empty until the crash is confirmed.
	crashEvent string
}

// NewGate returns a gate that limits the sends of a sender.
func NewGate(r *Registry, p *ProvenCache, send hysdispatch.Sender, probe ProbeFunc, incarnation IncarnationFunc) *Gate {
	return &Gate{
		registry: r, proven: p, send: send, probe: probe, incarnation: incarnation,
		changed:     make(chan struct{}),
		inFlight:    make(map[Key]int),
		occupancies: make(map[hysmember.SearcherID]*occupancy),
	}
}

// Send sends a sub-request as soon as it may run. If the searcher crashes, Send
// attributes the crash to all requests that ran on it.
func (g *Gate) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	key := Key{Service: sub.Service, Fingerprint: sub.Fingerprint}
	o, refusal := g.admit(ctx, s, key, sub.Proven)
	if o == nil {
		return refusal
	}
	incarnation := g.incarnation(s.ID)
	result := g.send(ctx, s, sub)
	if result.Fault == hysdispatch.FaultLost {
		g.attributeIfCrashed(s, incarnation, o)
	}
	g.release(s, o, key, result)
	return result
}

// admit waits until the request may run on the searcher. If it may not run,
// admit returns no occupancy and a result with the reason.
func (g *Gate) admit(ctx context.Context, s hysmember.Searcher, key Key, proven bool) (*occupancy, hysdispatch.Result) {
	for {
		o, state, changed := g.tryAdmit(s, key, proven)
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
			g.cancelReservation(s, key)
			return nil, hysdispatch.Result{Fault: hysdispatch.FaultCancelled, NotRun: true, Reason: "cancelled"}
		}
	}
}

// tryAdmit admits the request if it may run now. Otherwise it returns the state
// of the request and a channel that is closed when a send ends.
func (g *Gate) tryAdmit(s hysmember.Searcher, key Key, proven bool) (*occupancy, State, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.registry.Record(key).State()
	o := g.occupancyOf(s)
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

// mayRun reports whether the request may run on the searcher now. It reserves
// the searcher for a suspect request that has to wait until it is idle.
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

// occupancyOf returns the occupancy of a searcher, an empty one if nothing runs
// on it. The caller holds mu.
func (g *Gate) occupancyOf(s hysmember.Searcher) *occupancy {
	o, ok := g.occupancies[s.ID]
	if !ok {
		o = &occupancy{requests: make(map[Key]int)}
		g.occupancies[s.ID] = o
	}
	return o
}

// cancelReservation lets other requests run on a searcher that was reserved for a
// request whose send was cancelled.
func (g *Gate) cancelReservation(s hysmember.Searcher, key Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.occupancyOf(s); o.reserved == key {
		o.reserved = Key{}
	}
	g.removeIdle(s)
	g.notifyWaiters()
}

// attributeIfCrashed probes the searcher after a lost connection. If it has
// crashed, the crash is attributed to every request that ran when the first
// connection was lost.
func (g *Gate) attributeIfCrashed(s hysmember.Searcher, incarnation uint64, o *occupancy) {
	g.recordLoss(o)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !g.probe(ctx, s, incarnation) {
		g.mu.Lock()
		o.runningAtLoss = nil
		g.mu.Unlock()
		return
	}
	crash, keys := g.detachCrashed(s, o)
	for _, key := range keys {
		g.proven.Remove(key)
	}
	g.registry.AttributeCrash(crash, keys...)
}

// recordLoss records the running requests when the first connection is lost.
func (g *Gate) recordLoss(o *occupancy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.runningAtLoss != nil {
		return
	}
	for key := range o.requests {
		o.runningAtLoss = append(o.runningAtLoss, key)
	}
}

// detachCrashed returns the crash and the requests that it is attributed to. It
// detaches the occupancy from the searcher, so that the crash is not attributed
// to requests that are admitted later.
func (g *Gate) detachCrashed(s hysmember.Searcher, o *occupancy) (Crash, []Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.crashEvent == "" {
		o.crashEvent = uuid.NewString()
	}
	if g.occupancies[s.ID] == o {
		delete(g.occupancies, s.ID)
	}
	return Crash{Searcher: s.ID, Event: o.crashEvent, Alone: o.alone}, o.runningAtLoss
}

// release ends a send that was admitted. A request that succeeded is proven, and
// cleared of crash suspicion if it ran alone.
func (g *Gate) release(s hysmember.Searcher, o *occupancy, key Key, result hysdispatch.Result) {
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
	g.removeIdle(s)
	g.notifyWaiters()
}

// removeIdle removes the occupancy of a searcher on which nothing runs or waits.
func (g *Gate) removeIdle(s hysmember.Searcher) {
	if o := g.occupancies[s.ID]; o != nil && o.count == 0 && o.reserved == (Key{}) {
		delete(g.occupancies, s.ID)
	}
}

func (g *Gate) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}
