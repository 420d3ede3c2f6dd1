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

const fuzzInstances, fuzzSearchers = 4, 6

var errLostMessage = errors.New("lost")

// network delivers messages between the instances of one test, and can lose or
// duplicate them.
type network struct {
	now        time.Time
	list       hysmember.List
	exchangers []*Exchanger
	leaving    [fuzzInstances]bool
	loseNext   bool
	loseReply  bool
	duplicate  bool
}

func newNetwork() *network {
	n := &network{now: time.UnixMicro(1_000_000)}
	for at := range fuzzInstances {
		n.list.Instances = append(n.list.Instances, hysmember.Instance{ID: hysmember.InstanceID(fmt.Sprint("entry-", at))})
	}
	for at := range fuzzSearchers {
		n.list.Searchers = append(n.list.Searchers, hysmember.Searcher{ID: searcherID(at), Service: "band-roll"})
	}
	for at := range fuzzInstances {
		n.exchangers = append(n.exchangers, n.start(at))
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
		Exchange: n.deliver, Table: table, Now: clock, View: hysmember.NewView(table.Usable, hysmember.WithClock(clock)),
		LocalState: func() LocalState {
			return LocalState{Instance: n.list.Instances[at], Leaving: n.leaving[at]}
		},
		State: func() hysticket.State { return hysticket.State{} },
	}
	e.View.SetList(n.list)
	e.publish()
	return e
}

func (n *network) deliver(_ context.Context, to hysmember.Instance, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	var target *Exchanger
	for at, i := range n.list.Instances {
		if i.ID == to.ID {
			target = n.exchangers[at]
		}
	}
	if n.loseNext {
		return nil, errLostMessage
	}
	if n.duplicate {
		target.HandleExchange(proto.CloneOf(m))
	}
	reply := target.HandleExchange(proto.CloneOf(m))
	if n.loseReply {
		return nil, errLostMessage
	}
	return proto.CloneOf(reply), nil
}

func (n *network) exchange(from, to int, repair bool) {
	n.exchangers[from].exchange(context.Background(), n.list.Instances[to], repair)
}

// converge has each searcher observed once more, since a restarted instance has
// lost what only it knew, and then repairs between all pairs of instances.
func (n *network) converge(o *oracle) {
	for _, i := range o.infos {
		e := n.exchangers[0]
		e.View.Merge(i)
		e.Table.recordSearcher(i.Searcher, e.View.Info, true)
	}
	n.loseNext, n.loseReply, n.duplicate = false, false, false
	n.now = n.now.Add(time.Hour)
	for range 3 {
		for from := range fuzzInstances {
			n.exchangers[from].publish()
			for to := range fuzzInstances {
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

// oracle holds the newest state that was ever reported.
type oracle struct {
	infos   map[hysmember.SearcherID]hysmember.Info
	reports []map[hysmember.InstanceID]*peer.Report
}

func newOracle() *oracle {
	o := &oracle{infos: make(map[hysmember.SearcherID]hysmember.Info)}
	for range fuzzInstances {
		o.reports = append(o.reports, make(map[hysmember.InstanceID]*peer.Report))
	}
	return o
}

func (o *oracle) record(i hysmember.Info) {
	known := o.infos[i.Searcher]
	if i.Incarnation > known.Incarnation ||
		(i.Incarnation == known.Incarnation && i.Holdings[0].Versions[0] > known.Holdings[0].Versions[0]) {
		o.infos[i.Searcher] = i
	}
}

// checkMonotonic checks that no instance has gone back to an older report.
func (o *oracle) checkMonotonic(t *rapid.T, n *network) {
	for at, e := range n.exchangers {
		for _, r := range e.Table.All() {
			id := hysmember.InstanceID(r.GetInstance())
			if old, ok := o.reports[at][id]; ok && compareReports(r, old) < 0 {
				t.Fatalf("entry-%d went back to an older report of %s from %v to %v", at, id, old, r)
			}
			o.reports[at][id] = r
		}
	}
}

func (o *oracle) checkConverged(t *rapid.T, n *network) {
	for at, e := range n.exchangers {
		if e.Table.root()[0].GetDigest() != n.exchangers[0].Table.root()[0].GetDigest() {
			t.Fatalf("entry-%d has another digest than entry-0", at)
		}
		for id, want := range o.infos {
			if got, _ := e.View.Info(id); contentHash(infoToWire(got)) != contentHash(infoToWire(want)) {
				t.Fatalf("entry-%d has info %v of %s, want %v", at, got, id, want)
			}
		}
		for other := range fuzzInstances {
			r, ok := e.Table.Report(n.list.Instances[other].ID)
			if !ok || r.GetIncarnation() != n.exchangers[other].incarnation || r.GetLeaving() != n.leaving[other] || r.GetUnreachable() {
				t.Fatalf("entry-%d has report %v of entry-%d", at, r, other)
			}
			if !n.leaving[other] && !e.Table.Usable(n.list.Instances[other].ID) {
				t.Fatalf("entry-%d does not consider usable entry-%d", at, other)
			}
		}
	}
}

func TestExchangersConverge(t *testing.T) {
	instance := rapid.IntRange(0, fuzzInstances-1)
	rapid.Check(t, func(t *rapid.T) {
		n, o := newNetwork(), newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				from, to := instance.Draw(t, "from"), instance.Draw(t, "to")
				if from == to {
					t.Skip("itself")
				}
				n.loseNext = rapid.IntRange(0, 4).Draw(t, "lose") == 0
				n.loseReply = rapid.IntRange(0, 4).Draw(t, "lose-reply") == 0
				n.duplicate = rapid.Bool().Draw(t, "double")
				n.exchange(from, to, rapid.Bool().Draw(t, "repair"))
			},
			"observe": func(t *rapid.T) {
				at := rapid.IntRange(0, fuzzSearchers-1).Draw(t, "searcher")
				i := searcherInfo(at, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "version"))
				e := n.exchangers[instance.Draw(t, "observer")]
				e.View.Merge(i)
				e.Table.recordSearcher(i.Searcher, e.View.Info, true)
				o.record(i)
			},
			"leave": func(t *rapid.T) {
				at := instance.Draw(t, "daemon")
				n.leaving[at] = !n.leaving[at]
				n.exchangers[at].publish()
			},
			"restart": func(t *rapid.T) {
				at := instance.Draw(t, "daemon")
				n.now = n.now.Add(time.Duration(rapid.IntRange(-2_000, 2_000).Draw(t, "clock")) * time.Microsecond)
				n.exchangers[at] = n.start(at)
				o.reports[at] = make(map[hysmember.InstanceID]*peer.Report)
			},
			"": func(t *rapid.T) { o.checkMonotonic(t, n) },
		})
		n.converge(o)
		o.checkMonotonic(t, n)
		o.checkConverged(t, n)
	})
}
