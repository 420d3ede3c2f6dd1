package hyspeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/internal/hyswire"
)

// Timing of the gossip between instances.
const (
	exchangeInterval = 200 * time.Millisecond
	// exchangeFanOut is the number of peers contacted in each round.
	exchangeFanOut = 2
	// repairInterval is the number of rounds between two comparisons of digests
	// with a peer.
	repairInterval = 5
	// retainInterval is the number of rounds between two cleanups of the digests,
	// which remove the searchers that are no longer known.
	retainInterval = 50
	// announceFanOut is the number of peers that a leaving instance notifies at
	// once.
	announceFanOut = 64
)

// Limits of one repair.
const (
	// maxDescents is the number of exchanges that may follow the first one, to
	// compare digests down the tree and to send the members that differ.
	maxDescents = 4
	// maxDifferingNodes is the number of differing nodes that one exchange names.
	maxDifferingNodes = 256
)

// LocalState is what this instance reports about itself and the searchers it
// observes.
type LocalState struct {
	Instance hysmember.Instance
	Leaving  bool
	Infos    []hysmember.Info
}

// Calls from an Exchanger to other instances.
type (
	// ExchangeCall sends a gossip message to an instance and returns its reply.
	ExchangeCall func(context.Context, hysmember.Instance, *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	// ConfigurationCall returns the configuration in force at an instance.
	ConfigurationCall func(context.Context, hysmember.Instance) (hysticket.State, error)
)

// Exchanger distributes the state of the members and the configuration between
// the instances. Updates are gossiped to random peers for the number of rounds
// that they take to reach every instance; what a peer misses is found by
// comparing digests (anti-entropy). Lock order: Exchanger.mu, then View.mu,
// then Table.mu. It is safe for concurrent use.
type Exchanger struct {
	// Exchange and Configuration call another instance.
	Exchange      ExchangeCall
	Configuration ConfigurationCall
	Table         *Table
	Now           func() time.Time
	// LocalState returns the current state of this instance.
	LocalState func() LocalState
	// View receives the infos of searchers that other instances observed.
	View *hysmember.View
	// State returns the configuration in force, MergeState merges into it.
	State      func() hysticket.State
	MergeState func(hysticket.State)
	// Registry holds the crash evidence against requests.
	Registry *hysquarantine.Registry
	// OnConfigurationMerged is called once everything that a peer knows of the
	// configuration is merged. It may be nil.
	OnConfigurationMerged func(hysmember.InstanceID)

	pulling     sync.Mutex
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	// contentHash is the hash of the last local state without incarnation and
	// sequence, publishedHash that of the report published for it.
	contentHash   uint64
	publishedHash uint64
	round         int
	caughtUp      atomic.Bool
}

// Run exchanges updates with random peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.runRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends the local state to up to announceFanOut peers at once. A
// leaving instance calls it.
func (e *Exchanger) Announce(ctx context.Context) {
	e.publish()
	var wait sync.WaitGroup
	for _, to := range e.peers(announceFanOut) {
		wait.Go(func() { e.exchange(ctx, to, false) })
	}
	wait.Wait()
}

func (e *Exchanger) runRound(ctx context.Context) {
	e.publish()
	e.mu.Lock()
	e.round++
	round := e.round
	e.mu.Unlock()
	if round%retainInterval == 0 {
		e.Table.retainSearchers(e.View.Info)
	}
	repair := round%repairInterval == 0 || !e.caughtUp.Load()
	for _, to := range e.peers(exchangeFanOut) {
		go e.exchange(ctx, to, repair)
		repair = false
	}
	if id, ok := e.Table.failing(); ok {
		e.probe(ctx, id)
	}
}

// probe starts an exchange with an instance whose last one failed. In a large
// fleet the random choice of peers would rarely reach it.
func (e *Exchanger) probe(ctx context.Context, id hysmember.InstanceID) {
	for _, to := range e.View.List().Instances {
		if to.ID == id {
			go e.exchange(ctx, to, false)
		}
	}
}

// publish renews the report of this instance if its content has changed or a
// peer holds another one, and records the infos of the searchers that this
// instance observes.
func (e *Exchanger) publish() {
	local := e.LocalState()
	r := &peer.Report{
		Instance: string(local.Instance.ID), Leaving: local.Leaving, Address: string(local.Instance.Address),
		Zone: string(local.Instance.Zone), Region: string(local.Instance.Region),
	}
	r.Suspects = hyswire.EncodeSuspects(e.Registry.Records())
	hash := contentHash(r)
	e.mu.Lock()
	if e.incarnation == 0 {
		e.incarnation = uint64(e.Now().UnixMicro())
	}
	known, ok := e.Table.Report(local.Instance.ID)
	if !ok || hash != e.contentHash || e.supersede(known) {
		e.contentHash = hash
		e.sequence++
		r.Incarnation, r.Sequence = e.incarnation, e.sequence
		e.publishedHash = contentHash(r)
		e.Table.Merge([]*peer.Report{r}, true)
	}
	e.mu.Unlock()
	for _, i := range local.Infos {
		e.Table.recordSearcher(i.Searcher, e.View.Info, true)
	}
}

// supersede reports whether the known report of this instance is not the one it
// published last. It then raises the incarnation or the sequence, if needed, so
// that the next report is newer. An earlier start with a clock that was ahead
// has a higher incarnation.
func (e *Exchanger) supersede(known *peer.Report) bool {
	if known.GetIncarnation() > e.incarnation {
		e.incarnation = known.GetIncarnation() + 1
		return true
	}
	if known.GetIncarnation() < e.incarnation {
		return true
	}
	if known.GetSequence() > e.sequence {
		e.sequence = known.GetSequence()
		return true
	}
	return contentHash(known) != e.publishedHash
}

// peers returns up to count random other instances.
func (e *Exchanger) peers(count int) hysmember.Instances {
	self := e.LocalState().Instance.ID
	listed := e.View.List().Instances
	chosen := make(hysmember.Instances, 0, count)
	for _, at := range rand.Perm(len(listed)) {
		if len(chosen) == count {
			break
		}
		if listed[at].ID != self {
			chosen = append(chosen, listed[at])
		}
	}
	return chosen
}

// Gossip sends queued updates to a peer and merges those of its reply.
func (e *Exchanger) Gossip(ctx context.Context, to hysmember.Instance) { e.exchange(ctx, to, false) }

// Repair does what Gossip does and then compares digests, so that each side
// sends what the other one lacks.
func (e *Exchanger) Repair(ctx context.Context, to hysmember.Instance) { e.exchange(ctx, to, true) }

// exchange sends queued updates to a peer and merges those of its reply. With
// repair set it also compares digests and transfers what differs in both
// directions.
func (e *Exchanger) exchange(ctx context.Context, to hysmember.Instance, repair bool) {
	request := e.newRequest(e.Table.nextUpdates(e.View.Info))
	if repair {
		request.Nodes = e.Table.root()
	}
	reply, ok := e.call(ctx, to, request)
	if !ok {
		return
	}
	if repair {
		e.descend(ctx, to, reply)
	}
	e.pull(ctx, to, reply.GetConfigurationTicket(), reply.GetConfigurationDigest())
}

func (e *Exchanger) call(ctx context.Context, to hysmember.Instance, request *peer.ExchangeRequest) (*peer.ExchangeReply, bool) {
	reply, err := e.Exchange(ctx, to, request)
	if err != nil {
		if ctx.Err() == nil {
			e.Table.RecordFailure(to.ID)
		}
		return nil, false
	}
	e.Table.RecordSuccess(to.ID)
	e.merge(reply.GetReports(), reply.GetSearchers(), !request.GetRepair())
	return reply, true
}

// descend compares digests down the tree until the differing members are found.
func (e *Exchanger) descend(ctx context.Context, to hysmember.Instance, reply *peer.ExchangeReply) {
	for range maxDescents {
		nodes := e.Table.differingDigests(reply.GetNodes(), maxDifferingNodes)
		if len(nodes) == 0 && len(reply.GetWant()) == 0 {
			e.caughtUp.Store(true)
			return
		}
		request := e.newRequest(e.Table.leafMembers(reply.GetWant(), e.View.Info))
		request.Nodes, request.Repair = nodes, true
		var ok bool
		if reply, ok = e.call(ctx, to, request); !ok {
			return
		}
	}
	if len(reply.GetWant()) < maxDifferingNodes {
		e.caughtUp.Store(true)
	}
}

func (e *Exchanger) newRequest(m updates) *peer.ExchangeRequest {
	state := e.State()
	return &peer.ExchangeRequest{
		Reports: m.reports, Searchers: m.searchers, From: string(e.LocalState().Instance.ID),
		ConfigurationTicket: uint64(state.HighestNumber()), ConfigurationDigest: string(state.Digest()),
	}
}

// HandleExchange merges a peer's gossip message and returns the reply with
// queued updates and the result of comparing digests.
func (e *Exchanger) HandleExchange(m *peer.ExchangeRequest) *peer.ExchangeReply {
	e.merge(m.GetReports(), m.GetSearchers(), !m.GetRepair())
	children, leaves, differing := e.Table.compare(m.GetNodes(), e.View.Info)
	queued := e.Table.nextUpdates(e.View.Info)
	state := e.State()
	reply := &peer.ExchangeReply{
		Reports: append(differing.reports, queued.reports...), Searchers: append(differing.searchers, queued.searchers...),
		Nodes:               children,
		ConfigurationTicket: uint64(state.HighestNumber()), ConfigurationDigest: string(state.Digest()),
	}
	for _, n := range leaves {
		reply.Want = append(reply.Want, uint32(n))
	}
	return reply
}

// merge merges a peer's updates about listed members, and queues them to be
// passed on if gossip is set. Members that are no longer listed are dropped;
// otherwise instances would send them back and forth for ever.
func (e *Exchanger) merge(reports []*peer.Report, searchers []*peer.SearcherInfo, gossip bool) {
	listed := make([]*peer.Report, 0, len(reports))
	for _, r := range reports {
		if e.View.Listed(hysmember.InstanceID(r.GetInstance())) {
			listed = append(listed, r)
		}
	}
	for _, r := range listed {
		e.Registry.Merge(hyswire.DecodeSuspects(r.GetSuspects()))
	}
	e.Table.Merge(listed, gossip)
	e.refute(reports)
	for _, s := range searchers {
		if i := infoFromWire(s); e.View.Merge(i) {
			e.Table.recordSearcher(i.Searcher, e.View.Info, gossip)
		}
	}
}

// refute calls publish if a peer has sent a report of this instance. If that
// report differs from the one published last, the reply to the peer then carries
// a newer one.
func (e *Exchanger) refute(reports []*peer.Report) {
	self := string(e.LocalState().Instance.ID)
	for _, r := range reports {
		if r.GetInstance() == self {
			e.publish()
			return
		}
	}
}
