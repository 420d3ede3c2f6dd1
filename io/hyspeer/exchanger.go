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

// Timing of the exchange between daemons.
const (
	exchangeInterval = 200 * time.Millisecond
	// exchangeFanOut is how many peers each round goes to.
	exchangeFanOut = 2
	// repairRounds is how often one of them is compared with by digest.
	repairRounds = 5
	// retainRounds is how often members that are gone leave the digests.
	retainRounds = 50
	// announceFanOut is how many peers a daemon tells at once that it leaves.
	announceFanOut = 64
)

// Limits of one repair.
const (
	maxDescents  = 4
	maxDiffering = 256
)

// LocalState is what this daemon tells of itself.
type LocalState struct {
	Instance hysmember.Instance
	Leaving  bool
	Infos    []hysmember.Info
}

// Calls of an Exchanger.
type (
	// ExchangeCall tells a daemon the news and returns its answer.
	ExchangeCall func(context.Context, hysmember.Instance, *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	// ConfigurationCall returns the configuration in force at a daemon.
	ConfigurationCall func(context.Context, hysmember.Instance) (hysticket.State, error)
)

// Exchanger spreads what the daemons know of the members, and the
// configuration. News go to random peers for as many rounds as an epidemic
// takes; what they miss is found by comparing digests. Lock order:
// Exchanger.mu, then View.mu, then Table.mu. It is safe for concurrent
// use.
type Exchanger struct {
	// Exchange and Configuration call another daemon.
	Exchange      ExchangeCall
	Configuration ConfigurationCall
	Table         *Table
	Now           func() time.Time
	// LocalState returns what this daemon tells of itself.
	LocalState func() LocalState
	// View receives what searchers told to other daemons.
	View *hysmember.View
	// State and Merge read and extend the configuration in force.
	State      func() hysticket.State
	MergeState func(hysticket.State)
	// Registry holds the evidence against requests that crash searchers.
	Registry *hysquarantine.Registry
	// OnConfigurationMerged is called once all that a peer knows of the configuration is
	// merged. It may be nil.
	OnConfigurationMerged func(hysmember.InstanceID)

	pulling     sync.Mutex
	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	// content is what this daemon tells of itself, published the report.
	content   uint64
	published uint64
	round     int
	caughtUp  atomic.Bool
}

// Run exchanges with random peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce tells peers at once, as a daemon does that is leaving.
func (e *Exchanger) Announce(ctx context.Context) {
	e.publish()
	var wait sync.WaitGroup
	for _, to := range e.peers(announceFanOut) {
		wait.Go(func() { e.exchange(ctx, to, false) })
	}
	wait.Wait()
}

func (e *Exchanger) step(ctx context.Context) {
	e.publish()
	e.mu.Lock()
	e.round++
	round := e.round
	e.mu.Unlock()
	if round%retainRounds == 0 {
		e.Table.retainSearchers(e.View.Info)
	}
	repair := round%repairRounds == 0 || !e.caughtUp.Load()
	for _, to := range e.peers(exchangeFanOut) {
		go e.exchange(ctx, to, repair)
		repair = false
	}
	if id, ok := e.Table.failing(); ok {
		e.probe(ctx, id)
	}
}

// probe tries an instance again that did not answer, which random choice
// would do rarely in a large fleet.
func (e *Exchanger) probe(ctx context.Context, id hysmember.InstanceID) {
	for _, to := range e.View.List().Instances {
		if to.ID == id {
			go e.exchange(ctx, to, false)
		}
	}
}

// publish renews this daemon's own report if its content changed or a peer
// tells otherwise, and notes what the searchers told that it observes.
func (e *Exchanger) publish() {
	own := e.LocalState()
	r := &peer.Report{
		Instance: string(own.Instance.ID), Leaving: own.Leaving, Address: string(own.Instance.Address),
		Zone: string(own.Instance.Zone), Region: string(own.Instance.Region),
	}
	r.Suspects = hyswire.EncodeSuspects(e.Registry.Records())
	content := contentOf(r)
	e.mu.Lock()
	if e.incarnation == 0 {
		e.incarnation = uint64(e.Now().UnixMicro())
	}
	known, ok := e.Table.Report(own.Instance.ID)
	if !ok || content != e.content || e.contradicted(known) {
		e.content = content
		e.sequence++
		r.Incarnation, r.Sequence = e.incarnation, e.sequence
		e.published = contentOf(r)
		e.Table.Merge([]*peer.Report{r}, true)
	}
	e.mu.Unlock()
	for _, i := range own.Infos {
		e.Table.noteSearcher(i.Searcher, e.View.Info, true)
	}
}

// contradicted reports whether others have another word on this instance than
// its own, and goes past it. An earlier start whose clock was ahead has a
// higher incarnation.
func (e *Exchanger) contradicted(known *peer.Report) bool {
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
	return contentOf(known) != e.published
}

// peers returns random other instances.
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

// Gossip sends a peer the news and takes in its news.
func (e *Exchanger) Gossip(ctx context.Context, to hysmember.Instance) { e.exchange(ctx, to, false) }

// Repair also sends each other what differs.
func (e *Exchanger) Repair(ctx context.Context, to hysmember.Instance) { e.exchange(ctx, to, true) }

// exchange tells a peer the news and takes in its news. To repair is to
// compare the digests, too, and to send each other what differs.
func (e *Exchanger) exchange(ctx context.Context, to hysmember.Instance, repair bool) {
	request := e.request(e.Table.news(e.View.Info))
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
	e.learn(reply.GetReports(), reply.GetSearchers(), !request.GetRepair())
	return reply, true
}

// descend follows the digests that differ down to the members.
func (e *Exchanger) descend(ctx context.Context, to hysmember.Instance, reply *peer.ExchangeReply) {
	for range maxDescents {
		nodes := e.Table.next(reply.GetNodes(), maxDiffering)
		if len(nodes) == 0 && len(reply.GetWant()) == 0 {
			e.caughtUp.Store(true)
			return
		}
		request := e.request(e.Table.leaf(reply.GetWant(), e.View.Info))
		request.Nodes, request.Repair = nodes, true
		var ok bool
		if reply, ok = e.call(ctx, to, request); !ok {
			return
		}
	}
	if len(reply.GetWant()) < maxDiffering {
		e.caughtUp.Store(true)
	}
}

func (e *Exchanger) request(m members) *peer.ExchangeRequest {
	state := e.State()
	return &peer.ExchangeRequest{
		Reports: m.reports, Searchers: m.searchers, From: string(e.LocalState().Instance.ID),
		ConfigurationTicket: uint64(state.HighestNumber()), ConfigurationDigest: string(state.Digest()),
	}
}

// HandleExchange takes in what a peer tells and returns what is new here.
func (e *Exchanger) HandleExchange(m *peer.ExchangeRequest) *peer.ExchangeReply {
	e.learn(m.GetReports(), m.GetSearchers(), !m.GetRepair())
	children, leaves, told := e.Table.compare(m.GetNodes(), e.View.Info)
	news := e.Table.news(e.View.Info)
	state := e.State()
	reply := &peer.ExchangeReply{
		Reports: append(told.reports, news.reports...), Searchers: append(told.searchers, news.searchers...),
		Nodes:               children,
		ConfigurationTicket: uint64(state.HighestNumber()), ConfigurationDigest: string(state.Digest()),
	}
	for _, n := range leaves {
		reply.Want = append(reply.Want, uint32(n))
	}
	return reply
}

// learn takes in what a peer tells of listed members and may pass it on. What lags behind the
// list is not kept, or daemons would remind each other of it for ever.
func (e *Exchanger) learn(reports []*peer.Report, searchers []*peer.SearcherInfo, pass bool) {
	listed := make([]*peer.Report, 0, len(reports))
	for _, r := range reports {
		if e.View.Listed(hysmember.InstanceID(r.GetInstance())) {
			listed = append(listed, r)
		}
	}
	for _, r := range listed {
		e.Registry.Merge(hyswire.DecodeSuspects(r.GetSuspects()))
	}
	e.Table.Merge(listed, pass)
	e.refute(reports)
	for _, s := range searchers {
		if i := infoFromWire(s); e.View.Merge(i) {
			e.Table.noteSearcher(i.Searcher, e.View.Info, pass)
		}
	}
}

// refute publishes at once if a peer has another word on this instance than
// its own, so that the answer to the peer carries it.
func (e *Exchanger) refute(reports []*peer.Report) {
	self := string(e.LocalState().Instance.ID)
	for _, r := range reports {
		if r.GetInstance() == self {
			e.publish()
			return
		}
	}
}
