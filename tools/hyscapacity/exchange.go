package main

import (
	"context"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/io/hyspeer"
)

// newsCounts are how many members have news at once, and differingCounts how
// many differ between two daemons, at the target size.
var (
	newsCounts      = []int{1, 8, 32, 128}
	differingCounts = []int{1, 4, 8, 16}
)

// targetFleet is the target size.
var targetFleet = fleets[len(fleets)-1]

// someState returns a configuration, for its digest.
func someState() hysticket.State { return smallState }

var smallState = state(10)

// newExchanger returns an exchanger that knows a fleet.
func newExchanger(f fleet, client *hyspeer.Client) *hyspeer.Exchanger {
	list := f.list()
	table := hyspeer.NewTable(time.Now)
	e := &hyspeer.Exchanger{
		Registry: hysquarantine.NewRegistry(time.Now),
		Table:    table, Now: time.Now,
		View:       hysmember.NewView(table.Usable),
		State:      someState,
		LocalState: func() hyspeer.LocalState { return hyspeer.LocalState{Instance: hysmember.Instance{ID: "entry-0"}} },
	}
	if client != nil {
		e.Exchange, e.Configuration = client.Exchange, client.Configuration
	}
	e.View.SetList(list)
	e.HandleExchange(&peer.ExchangeRequest{Reports: f.reports(1), Searchers: f.messages(), Repair: true})
	return e
}

// measureExchange measures exchanges between two processes that know the same
// fleet: without news, with news, and a repair of what differs.
func measureExchange(ctx context.Context) ([]Series, error) {
	idle, err := idleSeries(ctx)
	if err != nil {
		return nil, err
	}
	o, err := startOther(ctx, targetFleet)
	if err != nil {
		return nil, err
	}
	news, err := newsSeries(ctx, o)
	if err != nil {
		return nil, err
	}
	repair, err := repairSeries(ctx)
	if err != nil {
		return nil, err
	}
	return append(append(idle, news...), repair...), nil
}

func idleSeries(ctx context.Context) ([]Series, error) {
	near := Series{Name: "exchange without news: sender", Unit: "us", Per: "instances"}
	far := Series{Name: "exchange without news: receiver", Unit: "us", Per: "instances"}
	wire := Series{Name: "exchange without news: both ways", Unit: "B", Per: "instances"}
	same := Series{Name: "exchange with equal digests: both ways", Unit: "B", Per: "instances"}
	for _, f := range fleets {
		o, err := startOther(ctx, f)
		if err != nil {
			return nil, err
		}
		e := newExchanger(f, hyspeer.NewClient(secret))
		to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
		c, err := o.call(1, func() error { e.Gossip(ctx, to); return nil })
		if err != nil {
			return nil, err
		}
		r, err := o.call(1, func() error { e.Repair(ctx, to); return nil })
		if err != nil {
			return nil, err
		}
		near.add(f.instances, c.near)
		far.add(f.instances, c.far)
		wire.add(f.instances, c.bytes)
		same.add(f.instances, r.bytes)
	}
	return []Series{near, far, wire, same}, nil
}

// newsSeries measures messages with reports that are new to the receiver.
func newsSeries(ctx context.Context, o *other) ([]Series, error) {
	near := Series{Name: "exchange with news of n instances: sender", Unit: "us", Per: "instances with news"}
	far := Series{Name: "exchange with news of n instances: receiver", Unit: "us", Per: "instances with news"}
	wire := Series{Name: "exchange with news of n instances: both ways", Unit: "B", Per: "instances with news"}
	client := hyspeer.NewClient(secret)
	to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
	reports := targetFleet.reports(1)
	sequence := uint64(1)
	for _, count := range newsCounts {
		c, err := o.call(1, func() error {
			sequence++
			for _, r := range reports[:count] {
				r.Sequence = sequence
			}
			// The receiver must not answer with the same news.
			_, err := client.Exchange(ctx, to, &peer.ExchangeRequest{Reports: reports[:count], Repair: true})
			return err
		})
		if err != nil {
			return nil, err
		}
		near.add(count, c.near)
		far.add(count, c.far)
		wire.add(count, c.bytes)
	}
	return []Series{near, far, wire}, nil
}

// repairSeries measures repairs that find members of which the receiver knows
// less.
func repairSeries(ctx context.Context) ([]Series, error) {
	wire := Series{Name: "repair of n members that differ: both ways", Unit: "B", Per: "members that differ"}
	near := Series{Name: "repair of n members that differ: sender", Unit: "us", Per: "members that differ"}
	for _, count := range differingCounts {
		o, err := startOther(ctx, targetFleet)
		if err != nil {
			return nil, err
		}
		c, err := repairOnce(ctx, o, count)
		if err != nil {
			return nil, err
		}
		near.add(count, c.near)
		wire.add(count, c.bytes)
	}
	return []Series{wire, near}, nil
}

func repairOnce(ctx context.Context, o *other, count int) (cost, error) {
	to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
	e := newExchanger(targetFleet, hyspeer.NewClient(secret))
	e.Repair(ctx, to)
	newer := targetFleet.reports(2)
	e.HandleExchange(&peer.ExchangeRequest{Reports: newer[:count], Repair: true})
	before, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	used := processorTime()
	e.Repair(ctx, to)
	near := processorTime() - used
	after, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	return cost{
		near:  float64(near.Nanoseconds()) / 1e3,
		bytes: float64(after.Read + after.Written - before.Read - before.Written),
	}, nil
}
