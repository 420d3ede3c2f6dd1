package main

import (
	"fmt"

	"hyssopshore/io/hyssettings"
)

const usageCheck = `Check a settings file, and start nothing.

Each problem is one line on standard error: its line in the file (none for a
field that is missing), the field, and what is allowed. With --json the problems
are a list of {"line", "field", "message"} on standard output. Secret files
are read as well. Exit code 0 means that 'serve' accepts the file, 2 that it has
problems or can't be read.

Examples:
  hyssopshore check entry-1.hujson
  hyssopshore check --json entry-1.hujson`

type checkCommand struct {
	JSON bool   `arg:"--json" help:"print the problems as JSON"`
	File string `arg:"positional,required" help:"settings file, JSON with comments; - for standard input"`
}

func (c *checkCommand) run(p *program) error {
	data, err := p.readFile(c.File)
	if err != nil {
		return usageError("check: %w", err)
	}
	_, problems, err := hyssettings.Parse(data)
	if c.JSON {
		p.printJSON(append([]hyssettings.Problem{}, problems...))
	} else {
		p.printProblems(problems)
	}
	if err != nil {
		return usageError("check: %s: %d problems", c.File, len(problems))
	}
	if !c.JSON {
		p.printf("%s: no problems\n", c.File)
	}
	return nil
}

func (p *program) printProblems(problems []hyssettings.Problem) {
	for _, problem := range problems {
		fmt.Fprintln(p.stderr, problem)
	}
}
