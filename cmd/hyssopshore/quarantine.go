package main

import (
	"context"
	"fmt"
	"net/http"

	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysoperator"
)

const usageQuarantine = `List the requests that crashed searchers, or lift a quarantine.

A request is identified by its fingerprint, which is derived from its service and
body. After one crash it is suspect and runs alone on a searcher; if that searcher
crashes too, the request is quarantined: every daemon refuses it as not run until
the quarantine expires. Lift the quarantine once the searchers can run the request.

Examples:
  hyssopshore quarantine list --secret-file operator.secret
  hyssopshore quarantine lift --secret-file operator.secret --service captains-desk --fingerprint e24f09001573ec23`

type quarantineCommand struct {
	List *quarantineListCommand `arg:"subcommand:list" help:"list the requests that crashed searchers"`
	Lift *quarantineLiftCommand `arg:"subcommand:lift" help:"let a request run again"`
}

type quarantineListCommand struct {
	daemonOptions
	JSON bool `arg:"--json" help:"print the list as JSON"`
}

type quarantineLiftCommand struct {
	daemonOptions
	Service     string `arg:"--service,required" help:"service of the request"`
	Fingerprint string `arg:"--fingerprint,required" help:"fingerprint of the request, as listed"`
	JSON        bool   `arg:"--json" help:"print the result as JSON"`
}

func (c *quarantineCommand) run(ctx context.Context, p *program) error {
	switch {
	case c.List != nil:
		return c.List.run(ctx, p)
	case c.Lift != nil:
		return c.Lift.run(ctx, p)
	default:
		return usageError("quarantine: list or lift must be given; see 'hyssopshore help quarantine'")
	}
}

func (c *quarantineListCommand) run(ctx context.Context, p *program) error {
	entries := []hysoperator.QuarantineEntry{}
	if err := c.read(ctx, "/v1/quarantine", &entries); err != nil {
		return fmt.Errorf("quarantine list: %w", err)
	}
	if c.JSON {
		p.printJSON(entries)
		return nil
	}
	for _, e := range entries {
		p.printf("%s %s: %s, %d crashes, expires %s\n", e.Service, e.Fingerprint, e.State, len(e.Crashes), e.Expires.Format("2006-01-02T15:04:05Z"))
	}
	return nil
}

func (c *quarantineLiftCommand) run(ctx context.Context, p *program) error {
	key := hysquarantine.Key{
		Service: hysservice.Name(c.Service), Fingerprint: hysquery.Fingerprint(c.Fingerprint),
	}
	entries := []hysoperator.QuarantineEntry{}
	if err := c.read(ctx, "/v1/quarantine", &entries); err != nil {
		return fmt.Errorf("quarantine lift: %w", err)
	}
	request := hysoperator.LiftRequest{Key: key}
	for _, e := range entries {
		if e.Key == key {
			request.Crashes = e.Crashes
		}
	}
	var reply hysoperator.LiftReply
	if _, err := c.call(ctx, http.MethodPost, "/v1/quarantine/lift", request, &reply); err != nil {
		return fmt.Errorf("quarantine lift: %w", err)
	}
	if c.JSON {
		p.printJSON(reply)
	} else if reply.Lifted {
		p.printf("%s %s: lifted\n", key.Service, key.Fingerprint)
	}
	if !reply.Lifted {
		return &exitError{code: exitRefused, err: fmt.Errorf("quarantine lift: no crash counts against %s %s", key.Service, key.Fingerprint)}
	}
	return nil
}
