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

// updateCounts are the numbers of members with new reports in one message, and
// differingCounts those of members that differ between two daemons, both at the
// target size.
var (
	updateCounts    = []int{1, 8, 32, 128}
	differingCounts = []int{1, 4, 8, 16}
)

// targetFleet is the fleet of the target size.
var targetFleet = fleets[len(fleets)-1]

// someState returns a small configuration; exchanges only need its digest.
func someState() hysticket.State { return smallState }

var smallState = newState(10)

// newExchanger returns an exchanger that has the state of a fleet. Without a
// client it can only handle exchanges.
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

// measureExchange measures gossip between two processes that have the state of
// the same fleet: without updates, with updates, and anti-entropy repairs of
// members that differ.
func measureExchange(ctx context.Context) ([]Series, error) {
	idle, err := idleSeries(ctx)
	if err != nil {
		return nil, err
	}
	o, err := startRemote(ctx, targetFleet)
	if err != nil {
		return nil, err
	}
	updates, err := updateSeries(ctx, o)
	if err != nil {
		return nil, err
	}
	repair, err := repairSeries(ctx)
	if err != nil {
		return nil, err
	}
	return append(append(idle, updates...), repair...), nil
}

func idleSeries(ctx context.Context) ([]Series, error) {
	local := Series{Name: "exchange without news: sender", Unit: "us", Per: "instances"}
	remote := Series{Name: "exchange without news: receiver", Unit: "us", Per: "instances"}
	wire := Series{Name: "exchange without news: both ways", Unit: "B", Per: "instances"}
	same := Series{Name: "exchange with equal digests: both ways", Unit: "B", Per: "instances"}
	for _, f := range fleets {
		o, err := startRemote(ctx, f)
		if err != nil {
			return nil, err
		}
		e := newExchanger(f, hyspeer.NewClient(secret))
		to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
		c, err := o.measureCall(1, func() error { e.Gossip(ctx, to); return nil })
		if err != nil {
			return nil, err
		}
		r, err := o.measureCall(1, func() error { e.Repair(ctx, to); return nil })
		if err != nil {
			return nil, err
		}
		local.add(f.instances, c.local)
		remote.add(f.instances, c.remote)
		wire.add(f.instances, c.bytes)
		same.add(f.instances, r.bytes)
	}
	return []Series{local, remote, wire, same}, nil
}

// updateSeries measures exchanges with reports that are new to the receiver.
func updateSeries(ctx context.Context, o *remoteProcess) ([]Series, error) {
	local := Series{Name: "exchange with news of n instances: sender", Unit: "us", Per: "instances with news"}
	remote := Series{Name: "exchange with news of n instances: receiver", Unit: "us", Per: "instances with news"}
	wire := Series{Name: "exchange with news of n instances: both ways", Unit: "B", Per: "instances with news"}
	client := hyspeer.NewClient(secret)
	to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
	reports := targetFleet.reports(1)
	sequence := uint64(1)
	for _, count := range updateCounts {
		c, err := o.measureCall(1, func() error {
			sequence++
			for _, r := range reports[:count] {
				r.Sequence = sequence
			}
			// Repair keeps the receiver from replying with the same updates.
			_, err := client.Exchange(ctx, to, &peer.ExchangeRequest{Reports: reports[:count], Repair: true})
			return err
		})
		if err != nil {
			return nil, err
		}
		local.add(count, c.local)
		remote.add(count, c.remote)
		wire.add(count, c.bytes)
	}
	return []Series{local, remote, wire}, nil
}

// repairSeries measures repairs that find members with older state at the
// receiver.
func repairSeries(ctx context.Context) ([]Series, error) {
	wire := Series{Name: "repair of n members that differ: both ways", Unit: "B", Per: "members that differ"}
	local := Series{Name: "repair of n members that differ: sender", Unit: "us", Per: "members that differ"}
	for _, count := range differingCounts {
		o, err := startRemote(ctx, targetFleet)
		if err != nil {
			return nil, err
		}
		c, err := repairOnce(ctx, o, count)
		if err != nil {
			return nil, err
		}
		local.add(count, c.local)
		wire.add(count, c.bytes)
	}
	return []Series{wire, local}, nil
}

func repairOnce(ctx context.Context, o *remoteProcess, count int) (cost, error) {
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
	local := processorTime() - used
	after, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	return cost{
		local: float64(local.Nanoseconds()) / 1e3,
		bytes: float64(after.Read + after.Written - before.Read - before.Written),
	}, nil
}
