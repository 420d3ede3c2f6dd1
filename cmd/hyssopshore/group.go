package main

import (
	"context"

	"hyssopshore/core/hysgroup"
	"hyssopshore/io/hysoperator"
)

const usageGroup = `List the groups: one line each with name, weight and the services that it may
search. A group's share of a contended service is its weight relative to the
weights of the other groups that use it at that time.

Examples:
  hyssopshore group list --secret-file operator.secret
  hyssopshore group list --secret-file operator.secret --json`

type groupCommand struct {
	List *listCommand `arg:"subcommand:list" help:"list the groups"`
}

func (c *groupCommand) run(ctx context.Context, p *program) error {
	return c.List.run(ctx, p, listing{
		name:   "group",
		asJSON: func(c hysoperator.Configuration) any { return append(hysgroup.Groups{}, c.Groups...) },
		printLines: func(c hysoperator.Configuration) {
			for _, g := range c.Groups {
				p.printf("%s: weight %d, services %v\n", g.Name, g.Weight, g.Services)
			}
		},
	})
}
