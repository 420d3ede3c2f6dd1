package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hyssopshore/core/hysticket"
)

const usageTicketHistory = `Show the audit trail: the last accepted tickets, the newest last, with number,
time, author, what changed, and reason. It lies in the platform's store and so
outlives every daemon.

Examples:
  hyssopshore ticket history --secret-file operator.secret
  hyssopshore ticket history --secret-file operator.secret --json`

type ticketHistoryCommand struct {
	daemonOptions
	JSON bool `arg:"--json" help:"print the trail as JSON"`
}

func (c *ticketHistoryCommand) run(ctx context.Context, p *program) error {
	var trail hysticket.Log
	if err := c.read(ctx, "/v1/audit", &trail); err != nil {
		return fmt.Errorf("ticket history: %w", err)
	}
	if c.JSON {
		p.printJSON(append(hysticket.Log{}, trail...))
		return nil
	}
	for _, e := range trail {
		p.printf("%d %s %s: %s (%s)\n", e.Number, e.When.Format(time.RFC3339), e.Author, strings.Join(e.Objects, ", "), e.Reason)
	}
	return nil
}
