package hyspeer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 300) }

const fuzzDaemons, fuzzSearchers = 4, 6

var errUnanswered = errors.New("lost")

// network carries messages between daemons of one test, and loses and doubles
// them.
type network struct {
	now       time.Time
	list      hysmember.List
	daemons   []*Exchanger
	leaving   [fuzzDaemons]bool
	loseNext  bool
	loseReply bool
	double    bool
}

func newNetwork() *network {
	n := &network{now: time.UnixMicro(1_000_000)}
	for at := range fuzzDaemons {
		n.list.Instances = append(n.list.Instances, hysmember.Instance{ID: hysmember.InstanceID(fmt.Sprint("entry-", at))})
	}
	for at := range fuzzSearchers {
		n.list.Searchers = append(n.list.Searchers, hysmember.Searcher{ID: searcherID(at), Service: "band-roll"})
	}
	for at := range fuzzDaemons {
		n.daemons = append(n.daemons, n.start(at))
	}
	return n
}

func searcherID(at int) hysmember.SearcherID {
	return hysmember.SearcherID(fmt.Sprint("searcher-", at))
}

func (n *network) start(at int) *Exchanger {
	clock := func() time.Time { return n.now }
	table := NewTable(clock)
	e := &Exchanger{
		Registry: hysquarantine.NewRegistry(time.Now),
		Exchange: n.carry, Table: table, Now: clock, View: hysmember.NewView(table.Usable, hysmember.WithClock(clock)),
		LocalState: func() LocalState {
			return LocalState{Instance: n.list.Instances[at], Leaving: n.leaving[at]}
		},
		State: func() hysticket.State { return hysticket.State{} },
	}
	e.View.SetList(n.list)
	e.publish()
	return e
}

func (n *network) carry(_ context.Context, to hysmember.Instance, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	var target *Exchanger
	for at, i := range n.list.Instances {
		if i.ID == to.ID {
			target = n.daemons[at]
		}
	}
	if n.loseNext {
		return nil, errUnanswered
	}
	if n.double {
		target.HandleExchange(proto.CloneOf(m))
	}
	reply := target.HandleExchange(proto.CloneOf(m))
	if n.loseReply {
		return nil, errUnanswered
	}
	return proto.CloneOf(reply), nil
}

func (n *network) exchange(from, to int, repair bool) {
	n.daemons[from].exchange(context.Background(), n.list.Instances[to], repair)
}

// settle lets each searcher be observed once, since what only a daemon knew
// that has restarted is gone, and repairs between all daemons.
func (n *network) settle(o *oracle) {
	for _, i := range o.infos {
		e := n.daemons[0]
		e.View.Merge(i)
		e.Table.noteSearcher(i.Searcher, e.View.Info, true)
	}
	n.loseNext, n.loseReply, n.double = false, false, false
	n.now = n.now.Add(time.Hour)
	for range 3 {
		for from := range fuzzDaemons {
			n.daemons[from].publish()
			for to := range fuzzDaemons {
				if from != to {
					n.exchange(from, to, true)
				}
			}
		}
	}
}

func searcherInfo(at int, incarnation, version uint64) hysmember.Info {
	return hysmember.Info{
		Searcher: searcherID(at), Service: "band-roll", Incarnation: incarnation,
		Holdings: []hyssnapshot.Holding{{Epoch: 1, Range: hyssnapshot.Range{
			Shard: hysservice.ShardID(at), To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{hyssnapshot.Version(version)},
		}}},
	}
}

// oracle is the newest that anybody ever told.
type oracle struct {
	infos   map[hysmember.SearcherID]hysmember.Info
	reports []map[hysmember.InstanceID]*peer.Report
}

func newOracle() *oracle {
	o := &oracle{infos: make(map[hysmember.SearcherID]hysmember.Info)}
	for range fuzzDaemons {
		o.reports = append(o.reports, make(map[hysmember.InstanceID]*peer.Report))
	}
	return o
}

func (o *oracle) told(i hysmember.Info) {
	known := o.infos[i.Searcher]
	if i.Incarnation > known.Incarnation ||
		(i.Incarnation == known.Incarnation && i.Holdings[0].Versions[0] > known.Holdings[0].Versions[0]) {
		o.infos[i.Searcher] = i
	}
}

// neverBack checks that no daemon knows less than before.
func (o *oracle) neverBack(t *rapid.T, n *network) {
	for at, e := range n.daemons {
		for _, r := range e.Table.All() {
			id := hysmember.InstanceID(r.GetInstance())
			if old, ok := o.reports[at][id]; ok && compareReports(r, old) < 0 {
				t.Fatalf("entry-%d went back on %s from %v to %v", at, id, old, r)
			}
			o.reports[at][id] = r
		}
	}
}

func (o *oracle) converged(t *rapid.T, n *network) {
	for at, e := range n.daemons {
		if e.Table.root()[0].GetDigest() != n.daemons[0].Table.root()[0].GetDigest() {
			t.Fatalf("entry-%d has another digest than entry-0", at)
		}
		for id, want := range o.infos {
			if got, _ := e.View.Info(id); contentOf(infoToWire(got)) != contentOf(infoToWire(want)) {
				t.Fatalf("entry-%d has %v of %s, want %v", at, got, id, want)
			}
		}
		for other := range fuzzDaemons {
			r, ok := e.Table.Report(n.list.Instances[other].ID)
			if !ok || r.GetIncarnation() != n.daemons[other].incarnation || r.GetLeaving() != n.leaving[other] || r.GetUnreachable() {
				t.Fatalf("entry-%d has %v of entry-%d", at, r, other)
			}
			if !n.leaving[other] && !e.Table.Usable(n.list.Instances[other].ID) {
				t.Fatalf("entry-%d gives no work to entry-%d", at, other)
			}
		}
	}
}

func TestExchangersConverge(t *testing.T) {
	daemon := rapid.IntRange(0, fuzzDaemons-1)
	rapid.Check(t, func(t *rapid.T) {
		n, o := newNetwork(), newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				from, to := daemon.Draw(t, "from"), daemon.Draw(t, "to")
				if from == to {
					t.Skip("itself")
				}
				n.loseNext = rapid.IntRange(0, 4).Draw(t, "lose") == 0
				n.loseReply = rapid.IntRange(0, 4).Draw(t, "lose-reply") == 0
				n.double = rapid.Bool().Draw(t, "double")
				n.exchange(from, to, rapid.Bool().Draw(t, "repair"))
			},
			"observe": func(t *rapid.T) {
				at := rapid.IntRange(0, fuzzSearchers-1).Draw(t, "searcher")
				i := searcherInfo(at, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "version"))
				e := n.daemons[daemon.Draw(t, "observer")]
				e.View.Merge(i)
				e.Table.noteSearcher(i.Searcher, e.View.Info, true)
				o.told(i)
			},
			"leave": func(t *rapid.T) {
				at := daemon.Draw(t, "daemon")
				n.leaving[at] = !n.leaving[at]
				n.daemons[at].publish()
			},
			"restart": func(t *rapid.T) {
				at := daemon.Draw(t, "daemon")
				n.now = n.now.Add(time.Duration(rapid.IntRange(-2_000, 2_000).Draw(t, "clock")) * time.Microsecond)
				n.daemons[at] = n.start(at)
				o.reports[at] = make(map[hysmember.InstanceID]*peer.Report)
			},
			"": func(t *rapid.T) { o.neverBack(t, n) },
		})
		n.settle(o)
		o.neverBack(t, n)
		o.converged(t, n)
	})
}
