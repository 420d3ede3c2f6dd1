package main

import (
	"context"
	"fmt"

	"hyssopshore/io/hysoperator"
)

// listCommand prints a part of the configuration in force.
type listCommand struct {
	daemonOptions
	JSON bool `arg:"--json" help:"print the list as JSON"`
}

// listing is the part that is printed: whole as JSON, or line by line.
type listing struct {
	// name is that of the subcommand.
	name  string
	whole func(hysoperator.Configuration) any
	lines func(hysoperator.Configuration)
}

func (c *listCommand) run(ctx context.Context, p *program, l listing) error {
	if c == nil {
		return usageError("%s: list must be given; see 'hyssopshore help %s'", l.name, l.name)
	}
	reply, err := c.configuration(ctx)
	if err != nil {
		return fmt.Errorf("%s list: %w", l.name, err)
	}
	if c.JSON {
		p.printJSON(l.whole(reply))
		return nil
	}
	l.lines(reply)
	return nil
}
