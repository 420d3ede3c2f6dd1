package main

import (
	"fmt"
	"time"

	"hyssopshore/core/hysversion"
)

const usageVersions = `Show from the logs of frontend daemons how long each version of the
configuration took to be in force.

For each version: when the first daemon had it in force, how many had it, how many
went past it, and the three daemons that were last, with the time since the first
one, the way by which they got it and how long it can have taken at most. Ways are
full-read and watch (of the store), reader (the daemon that reads the store for this
one) and instance (any other daemon).

Several logs are read as one; - is standard input. Lines that can't be read are
counted. Exit code 1 means that a file can't be read.

Examples:
  hyssopshore versions frontend-1.log frontend-2.log
  hyssopshore versions --json - <all.log`

type versionsCommand struct {
	JSON  bool     `arg:"--json" help:"print the report as JSON"`
	Files []string `arg:"positional,required" help:"logs of frontend daemons; - for standard input"`
}

func (c *versionsCommand) run(p *program) error {
	collector := hysversion.New()
	for _, name := range c.Files {
		if err := p.readLog(collector.Add, name); err != nil {
			return fmt.Errorf("versions: %w", err)
		}
	}
	report := collector.Report()
	if c.JSON {
		p.printJSON(report)
		return nil
	}
	p.printf("%d lines, %d of them can't be read\n", report.Lines, report.BadLines)
	for _, version := range report.Versions {
		p.printVersion(version)
	}
	return nil
}

func (p *program) printVersion(v hysversion.Version) {
	p.printf("version %d: first at %s, in force at %d, skipped by %d\n",
		v.Number, v.First.Format(time.RFC3339Nano), v.Instances, v.Skipped)
	for _, a := range v.Slowest {
		from := ""
		if a.From != "" {
			from = " from " + a.From
		}
		p.printf("  %s: %d ms later, by %s%s, late by %d ms at most\n", a.Instance, a.DelayMS, a.Way, from, a.LateAtMostMS)
	}
}
