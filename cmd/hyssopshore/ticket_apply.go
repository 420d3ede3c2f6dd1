package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"hyssopshore/core/hysticket"
	"hyssopshore/io/hyshttp"
	"hyssopshore/io/hysoperator"
)

const usageTicketApply = `Apply a ticket: JSON with comments, from a file or, with -, standard input.

  {
    "number": 2,                 // above that of every object it touches
    "author": "ama",
    "reason": "Kumasi joins",
    "services": [
      {"name": "captains-desk", "latency-goal-ms": 200, "max-deadline-ms": 10000},
    ],
    "groups": [
      {"name": "kumasi-ringers", "weight": 2, "services": ["captains-desk"]},
    ],
    "remove-groups": ["old-ringers"],
  }

Results:
  accepted          in force everywhere within seconds
  already-accepted  the same ticket was accepted before; a resend is harmless
  superseded        a later ticket has set the object that is named
  conflict          the same number was accepted with other content
  unknown           the store or the daemon did not confirm it: send the same ticket again

With several --address options the next daemon is tried if one returns no result;
that is safe, as a resend is harmless.

Examples:
  hyssopshore ticket apply --secret-file operator.secret ticket.hujson
  hyssopshore ticket apply --secret-file operator.secret --json - <ticket.hujson
  hyssopshore ticket apply --secret-file operator.secret --address 127.0.0.1:7301 --address 127.0.0.1:7302 ticket.hujson`

type ticketApplyCommand struct {
	daemonOptions
	JSON bool   `arg:"--json" help:"print the result as JSON"`
	File string `arg:"positional,required" help:"ticket, JSON with comments; - for standard input"`
}

func (c *ticketApplyCommand) run(ctx context.Context, p *program) error {
	t, err := c.ticket(p)
	if err != nil {
		return usageError("ticket apply: %s: %w", c.File, err)
	}
	var reply hysoperator.TicketReply
	_, err = c.call(ctx, http.MethodPost, "/v1/tickets", t, &reply)
	if err == nil && reply.Number != t.Number {
		err = &noReplyError{maybeSent: true, err: errMalformedReply}
	}
	if err != nil {
		reply, err = noReplyToTicket(t, err)
		if err != nil {
			return err
		}
	}
	if c.JSON {
		p.printJSON(reply)
	} else {
		p.printf("%s\n", strings.TrimSpace(fmt.Sprintf("ticket %d: %s %s", reply.Number, reply.Result, reply.Reason)))
	}
	return ticketExit(reply)
}

// noReplyToTicket returns the result of a ticket whose call failed: unknown if the
// ticket may have taken effect, otherwise an error.
func noReplyToTicket(t hysticket.Ticket, err error) (hysoperator.TicketReply, error) {
	var rejected *rejectedError
	var noReply *noReplyError
	switch {
	case errors.As(err, &noReply) && !noReply.maybeSent:
		return hysoperator.TicketReply{}, fmt.Errorf("ticket apply: not sent: %w", err)
	case errors.As(err, &noReply):
		return hysoperator.TicketReply{Number: t.Number, Result: hysticket.ResultUnknown, Reason: "no answer: " + err.Error()}, nil
	case errors.As(err, &rejected) && rejected.Kind == hysoperator.FailureInvalid:
		return hysoperator.TicketReply{}, usageError("ticket apply: %w", err)
	case errors.As(err, &rejected):
		return hysoperator.TicketReply{}, fmt.Errorf("ticket apply: not applied: %w", err)
	default:
		return hysoperator.TicketReply{}, fmt.Errorf("ticket apply: %w", err)
	}
}

// ticketExit returns an error with the exit code for the result of a ticket, nil if
// the ticket was accepted.
func ticketExit(reply hysoperator.TicketReply) error {
	switch reply.Result {
	case hysticket.ResultAccepted, hysticket.ResultAlreadyAccepted:
		return nil
	case hysticket.ResultUnknown:
		return &exitError{code: exitUnknown, err: fmt.Errorf("ticket apply: unknown: send the same ticket again")}
	default:
		return &exitError{code: exitRefused, err: fmt.Errorf("ticket apply: %s", reply.Result)}
	}
}

// ticket reads and validates the ticket before anything is sent.
func (c *ticketApplyCommand) ticket(p *program) (hysticket.Ticket, error) {
	var t hysticket.Ticket
	data, err := p.readFile(c.File)
	if err != nil {
		return t, err
	}
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return t, fmt.Errorf("not JSON with comments: %w", err)
	}
	if err := hyshttp.Decode(standardJSON, &t); err != nil {
		return t, err
	}
	t.Defaults()
	if err := t.Validate(); err != nil {
		return t, err
	}
	return t, nil
}
