package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"hyssopshore/core/hyslosses"
)

const usageLosses = `Show from the logs of frontend daemons where answers were lost.

The worst windows of time come first, then all of them together: how the requests
of each route ended, why answers lack shards and why requests got no answer, each
with the number of sends to searchers made before. A partial answer counts as a
loss of one minus the square of the fraction of shards that answered; an answer
later than the goal of its route and a missing answer count as a loss of one.
Requests that reached no daemon are in no log.

Several logs are read as one; - is standard input. Lines that can't be read are
counted. Exit code 1 means that a file can't be read.

Examples:
  hyssopshore losses frontend-1.log frontend-2.log
  hyssopshore losses --window 10s --worst 5 --json - <all.log`

// maxLogLineBytes is the maximum length of a line of a log.
const maxLogLineBytes = 4 << 20

// maxCausesShown is the maximum number of causes printed of each kind.
const maxCausesShown = 8

type lossesCommand struct {
	Window time.Duration `arg:"--window" default:"2s" help:"length of a window"`
	Worst  int           `arg:"--worst" default:"2" help:"how many of the worst windows are shown"`
	JSON   bool          `arg:"--json" help:"print the report as JSON"`
	Files  []string      `arg:"positional,required" help:"logs of frontend daemons; - for standard input"`
}

func (c *lossesCommand) run(p *program) error {
	if c.Window <= 0 || c.Worst < 0 {
		return usageError("losses: --window must be over 0s and --worst not below 0")
	}
	l := hyslosses.New(c.Window)
	for _, name := range c.Files {
		if err := p.readLog(l.Add, name); err != nil {
			return fmt.Errorf("losses: %w", err)
		}
	}
	report := l.Report(c.Worst)
	if c.JSON {
		p.printJSON(report)
		return nil
	}
	p.printf("%d lines, %d of them can't be read\n", report.Lines, report.BadLines)
	for _, w := range report.Worst {
		p.printf("\nfrom %s for %s\n", w.Start.Format(time.RFC3339Nano), c.Window)
		p.printWindow(*w)
	}
	p.printf("\nall windows\n")
	p.printWindow(report.Total)
	return nil
}

// readLog passes on the lines of a log file, or of standard input for "-".
func (p *program) readLog(add func([]byte), name string) error {
	var source io.Reader = p.stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("readLog: %w", err)
		}
		defer file.Close()
		source = file
	}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("readLog: %s: %w", name, err)
	}
	return nil
}

// printWindow prints the losses in a window, with those routes that lost answers.
func (p *program) printWindow(w hyslosses.Window) {
	p.printf("  lost %.1f answers\n", w.Lost)
	for _, r := range w.Routes {
		if r.Lost == 0 {
			continue
		}
		p.printf("  route %s: asked %d, whole %d, partial %d, late %d, refused %d, failed %d, abandoned %d, returning %d, lost %.1f\n",
			r.Name, r.Requests, r.Complete, r.Partial, r.Late, r.Refused, r.Failed, r.Abandoned, r.Returning, r.Lost)
	}
	p.printCauses("missing shards", w.Missing)
	p.printCauses("no answer", w.Failures)
}

func (p *program) printCauses(title string, causes hyslosses.Causes) {
	for _, c := range causes[:min(len(causes), maxCausesShown)] {
		p.printf("  %s: %d, %s, after %d sends\n", title, c.Count, c.Reason, c.Sends)
	}
}
