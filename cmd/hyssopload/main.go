// Command hyssopload measures the scheduling policies under load against the
// stand-ins, at the sizes of both deployments.
//
// One process runs the platform, the searchers and the daemons, which
// communicate over real loopback sockets. Arrivals are open-loop, and the
// service times come from a seeded random source. The latencies between zones,
// regions and clients are not simulated.
//
// # Usage
//
//	hyssopload list
//	hyssopload run slow-replica --policies default,baseline --json figures.json
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
)

type listCommand struct{}

type runCommand struct {
	Scenarios []string      `arg:"positional,required" help:"names of scenarios, or all"`
	Policies  []string      `arg:"--policies,separate" help:"default, baseline, direct-fan-out, no-hedging, no-admission or first-in-first-out (default: default)"`
	Service   string        `arg:"--service" default:"captains-desk" help:"service to measure, of either deployment"`
	Daemons   int           `arg:"--daemons" default:"6" help:"number of daemons (at most 9)"`
	Phase     time.Duration `arg:"--phase" default:"6s" help:"length of each measured phase (at most 20s)"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of arrivals and service times"`
	JSON      string        `arg:"--json" help:"file for the results"`
}

type arguments struct {
	List *listCommand `arg:"subcommand:list" help:"list the scenarios and their targets"`
	Run  *runCommand  `arg:"subcommand:run" help:"run scenarios and print their figures"`
}

// Limits of one run.
const (
	maxDaemons = 9
	maxPhase   = 20 * time.Second
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	switch {
	case args.List != nil:
		for _, s := range scenarios {
			fmt.Printf("%-20s %s\n", s.name, s.target)
		}
	case args.Run != nil:
		if args.Run.Daemons > maxDaemons || args.Run.Phase > maxPhase {
			parser.Fail("at most 9 daemons and phases of 20 s")
		}
		if err := args.Run.run(); err != nil {
			fmt.Fprintln(os.Stderr, "hyssopload:", err)
			os.Exit(1)
		}
	default:
		parser.Fail("list or run must be given")
	}
}

func (c *runCommand) run() error {
	if len(c.Policies) == 0 {
		c.Policies = []string{"default"}
	}
	var results []result
	for _, s := range scenarios {
		if !c.selects(s.name) {
			continue
		}
		for _, policy := range c.Policies {
			r, err := c.measure(s, policy)
			if err != nil {
				return fmt.Errorf("%s with policy %s: %w", s.name, policy, err)
			}
			r.print(os.Stdout)
			results = append(results, r)
		}
	}
	printRatios(os.Stdout, results)
	if c.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(c.JSON, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

func (c *runCommand) selects(name string) bool {
	for _, wanted := range c.Scenarios {
		if wanted == name || wanted == "all" {
			return true
		}
	}
	return false
}

func (c *runCommand) measure(s scenario, policy string) (result, error) {
	service := c.Service
	if s.service != "" {
		service = s.service
	}
	b, err := newBench(service, policy, c.Daemons, c.Phase, c.Seed)
	if err != nil {
		return result{}, err
	}
	defer b.cluster.Stop()
	figures, err := s.run(b)
	if err != nil {
		return result{}, err
	}
	return result{Scenario: s.name, Policy: policy, Service: service, Figures: figures}, nil
}
