package main

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"hyssopshore/io/hysdaemon"
	"hyssopshore/io/hyslog"
	"hyssopshore/io/hyssettings"
)

const usageServe = `Run a daemon until SIGTERM or SIGINT.

The settings file is JSON with comments; docs/SETTINGS.md describes each field.
A file with problems is reported as by 'check', and nothing starts. The log is
JSON lines on standard error, one for each change of state. On SIGTERM the
daemon reports to the load balancer (GET /health) and to the other daemons that it
is leaving, finishes the running requests, and exits with 0.

Examples:
  hyssopshore serve --settings entry-1.hujson
  hyssopshore serve --settings entry-1.hujson 2>>entry-1.log`

type serveCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file, JSON with comments"`
}

func (c *serveCommand) run(ctx context.Context, p *program) error {
	settings, problems, err := hyssettings.Load(c.Settings)
	if len(problems) > 0 {
		p.printProblems(problems)
		return usageError("serve: %s: %d problems", c.Settings, len(problems))
	}
	if err != nil {
		return usageError("serve: %w", err)
	}
	writer := hyslog.NewWriter(p.stderr)
	defer writer.Close()
	log := slog.New(hyslog.NewHandler(writer))
	debug.SetMemoryLimit(settings.CollectorLimit())
	if err := hysdaemon.New(settings, log).Run(ctx); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
