package main

import (
	"context"
)

const usageTicket = `Apply numbered change tickets, show the configuration and its history.

A ticket carries the whole new state of each group and service that it names.
See 'hyssopshore ticket apply --help' and docs/OPERATORS.md.

Examples:
  hyssopshore ticket apply --secret-file operator.secret ticket.hujson
  hyssopshore ticket show --secret-file operator.secret
  hyssopshore ticket history --secret-file operator.secret`

type ticketCommand struct {
	Apply   *ticketApplyCommand   `arg:"subcommand:apply" help:"apply a ticket"`
	Show    *ticketShowCommand    `arg:"subcommand:show" help:"show the configuration in force"`
	History *ticketHistoryCommand `arg:"subcommand:history" help:"show the audit trail"`
}

func (c *ticketCommand) run(ctx context.Context, p *program) error {
	switch {
	case c.Apply != nil:
		return c.Apply.run(ctx, p)
	case c.Show != nil:
		return c.Show.run(ctx, p)
	case c.History != nil:
		return c.History.run(ctx, p)
	default:
		return usageError("ticket: apply, show or history must be given; see 'hyssopshore help ticket'")
	}
}
