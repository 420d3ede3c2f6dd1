package main

import (
	"context"

	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysoperator"
)

const usageService = `List the services: one line each with name, slots and connections of a
searcher, latency goal, longest deadline, and whether an answer waits for
coverage up to its deadline.

Examples:
  hyssopshore service list --secret-file operator.secret
  hyssopshore service list --secret-file operator.secret --json`

type serviceCommand struct {
	List *listCommand `arg:"subcommand:list" help:"list the services"`
}

func (c *serviceCommand) run(ctx context.Context, p *program) error {
	return c.List.run(ctx, p, listing{
		name:   "service",
		asJSON: func(c hysoperator.Configuration) any { return append(hysservice.Services{}, c.Services...) },
		printLines: func(c hysoperator.Configuration) {
			for _, s := range c.Services {
				p.printf("%s: %d slots, %d connections, latency goal %d ms, longest deadline %d ms, waits for coverage %t\n",
					s.Name, s.SearcherSlots, s.SearcherConnections, s.LatencyGoal, s.MaxDeadline, s.WaitForCoverage)
			}
		},
	})
}
