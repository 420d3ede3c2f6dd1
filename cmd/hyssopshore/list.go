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

// listing is the part of the configuration to print, either as JSON or as lines.
type listing struct {
	// name is the name of the subcommand.
	name string
	// asJSON returns the value to print as JSON; printLines prints one line an entry.
	asJSON     func(hysoperator.Configuration) any
	printLines func(hysoperator.Configuration)
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
		p.printJSON(l.asJSON(reply))
		return nil
	}
	l.printLines(reply)
	return nil
}
