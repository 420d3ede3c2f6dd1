package main

import (
	"context"
	"fmt"

	"hyssopshore/io/hysoperator"
)

const usageTicketShow = `Show the configuration in force at a daemon, as JSON: the number of the
newest ticket, a digest that is equal at daemons with equal configurations,
and the groups and services with every field.

Examples:
  hyssopshore ticket show --secret-file operator.secret
  hyssopshore ticket show --secret-file operator.secret --address 127.0.0.1:7301 --address 127.0.0.1:7302`

type ticketShowCommand struct {
	daemonOptions
	JSON bool `arg:"--json" help:"print JSON, which is also what is printed without"`
}

func (c *ticketShowCommand) run(ctx context.Context, p *program) error {
	reply, err := c.configuration(ctx)
	if err != nil {
		return fmt.Errorf("ticket show: %w", err)
	}
	p.printJSON(reply)
	return nil
}

func (o *daemonOptions) configuration(ctx context.Context) (hysoperator.Configuration, error) {
	var reply hysoperator.Configuration
	err := o.read(ctx, "/v1/configuration", &reply)
	return reply, err
}
