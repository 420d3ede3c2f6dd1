package hysdaemon

import (
	"time"

	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysoperator"
)

func (d *Daemon) operator() *hysoperator.Operator {
	return &hysoperator.Operator{
		Secret: d.settings.OperatorSecret, Apply: d.apply,
		State: d.keeper.State, Log: d.history, Status: d.status,
		Quarantine: hysoperator.Quarantine{Records: d.registry.Records, Lift: d.lift},
		Metrics:    d.metrics.Handler(), Applied: d.reportTicket,
	}
}

func (d *Daemon) status() hysoperator.Status {
	state := d.keeper.State()
	s := hysoperator.Status{
		Instance: d.settings.Instance, Ready: d.acceptsRequests(), Leaving: d.leaving.Load(),
		StoreAge:      hysservice.Milliseconds(time.Since(d.keeper.Synced()).Milliseconds()),
		Configuration: state.Digest(), NewestTicket: state.HighestNumber(), Running: d.entry.Running(),
	}
	for _, i := range d.view.List().Instances {
		s.Members = append(s.Members, hysoperator.MemberStatus{
			Instance: i.ID, Zone: i.Zone, Leaving: i.Leaving, Usable: d.usable(i.ID),
		})
	}
	for _, service := range state.Services() {
		s.Services = append(s.Services, d.serviceStatus(service.Name))
	}
	return s
}

func (d *Daemon) serviceStatus(name hysservice.Name) hysoperator.ServiceStatus {
	load := d.dispatcher.Load(name)
	s := hysoperator.ServiceStatus{
		Service: name, Waiting: load.Waiting, Running: load.Running, Slots: load.Slots, RetryBudget: load.BudgetRemaining,
	}
	m, ok := d.view.Snapshot(name)
	if !ok {
		return s
	}
	s.Epoch = m.Epoch
	s.Version, _ = m.Pin()
	for _, r := range m.Ranges {
		shard := hysoperator.ShardStatus{Shard: r.Shard}
		if order := d.dispatchers(name, r.Shard); len(order) > 0 {
			shard.Dispatcher = order[0].ID
		}
		s.Shards = append(s.Shards, shard)
	}
	return s
}
