package main

import (
	"context"
	"fmt"

	"hyssopshore/io/hysoperator"
)

const usageStatus = `Show the live state of one daemon: whether it is ready or leaving, when it
last read the store, the members and whether they are usable, and for each
service its snapshot, queue, slots, retry budget and the dispatcher of each
shard. docs/OPERATORS.md explains the fields.

Examples:
  hyssopshore status --secret-file operator.secret
  hyssopshore status --secret-file operator.secret --address 127.0.0.1:7302 --json`

type statusCommand struct {
	daemonOptions
	JSON bool `arg:"--json" help:"print the status as JSON"`
}

func (c *statusCommand) run(ctx context.Context, p *program) error {
	var s hysoperator.Status
	if err := c.read(ctx, "/v1/status", &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if c.JSON {
		p.printJSON(s)
		return nil
	}
	p.printf("%s: ready %t, leaving %t, newest ticket %d, store last read %d ms ago, %d requests running\n",
		s.Instance, s.Ready, s.Leaving, s.NewestTicket, s.StoreAge, s.Running)
	for _, m := range s.Members {
		p.printf("member %s in %s: usable %t, leaving %t\n", m.Instance, m.Zone, m.Usable, m.Leaving)
	}
	for _, service := range s.Services {
		p.printf("service %s: snapshot %d of epoch %d, %d waiting, %d of %d slots running, retry budget %.1f\n",
			service.Service, service.Version, service.Epoch, service.Waiting, service.Running, service.Slots, service.RetryBudget)
		for _, shard := range service.Shards {
			p.printf("  shard %d: dispatcher %s\n", shard.Shard, shard.Dispatcher)
		}
	}
	return nil
}
