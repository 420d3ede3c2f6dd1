package main

import (
	"fmt"
	"io"
)

// figure is a measured value with its target, if it has one.
type figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
	Met    *bool   `json:"met,omitempty"`
}

// result holds the figures of one scenario with one policy.
type result struct {
	Scenario string   `json:"scenario"`
	Policy   string   `json:"policy"`
	Service  string   `json:"service"`
	Figures  []figure `json:"figures"`
}

func newFigure(name string, value float64, unit string) figure {
	return figure{Name: name, Value: value, Unit: unit}
}

func atMost(name string, value float64, unit string, bound float64) figure {
	met := value <= bound
	return figure{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("<= %g", bound), Met: &met}
}

func atLeast(name string, value float64, unit string, bound float64) figure {
	met := value >= bound
	return figure{Name: name, Value: value, Unit: unit, Target: fmt.Sprintf(">= %g", bound), Met: &met}
}

func (r result) print(w io.Writer) {
	fmt.Fprintf(w, "%s, policy %s, service %s\n", r.Scenario, r.Policy, r.Service)
	for _, f := range r.Figures {
		fmt.Fprintf(w, "  %-58s %10.3f %-6s %-10s %s\n", f.Name, f.Value, f.Unit, f.Target, f.verdict())
	}
}

func (f figure) verdict() string {
	switch {
	case f.Met == nil:
		return ""
	case *f.Met:
		return "met"
	default:
		return "NOT MET"
	}
}

// printRatios prints the figures of each policy relative to those of the first
// policy of its scenario.
func printRatios(w io.Writer, results []result) {
	first := make(map[string]result)
	for _, r := range results {
		reference, ok := first[r.Scenario]
		if !ok {
			first[r.Scenario] = r
			continue
		}
		fmt.Fprintf(w, "%s: policy %s over %s\n", r.Scenario, r.Policy, reference.Policy)
		for i, f := range r.Figures {
			if i < len(reference.Figures) && reference.Figures[i].Value != 0 {
				fmt.Fprintf(w, "  %-58s %10.2f x\n", f.Name, f.Value/reference.Figures[i].Value)
			}
		}
	}
}
