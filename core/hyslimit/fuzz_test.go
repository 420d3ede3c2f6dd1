package hyslimit_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestFleetKeepsLimit plays random fleets with random loads and troubles, and checks
// that no window gets more than the searcher tolerates.
func TestFleetKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := drawFleet(t)
		f := newFleet(script)
		f.run()
		if problem := f.exceeded(); problem != "" {
			t.Fatalf("%s in %+v", problem, script)
		}
	})
}

func drawFleet(t *rapid.T) fleetScript {
	s := fleetScript{
		Instances: rapid.IntRange(1, 40).Draw(t, "instances"), Rate: drawRate(t),
		Load: rapid.Float64Range(0.1, 60).Draw(t, "load"), Idle: rapid.Float64Range(0, 1).Draw(t, "idle"),
		ForMS: 16000,
	}
	s.Busy = rapid.IntRange(0, s.Instances).Draw(t, "busy")
	for range rapid.IntRange(0, 8).Draw(t, "events") {
		s.Events = append(s.Events, drawFleetEvent(t))
	}
	slices.SortStableFunc(s.Events, func(a, b fleetEvent) int { return a.AtMS - b.AtMS })
	return s
}

// drawRate draws a limit: none at all of it, less than one, or many requests.
func drawRate(t *rapid.T) float64 {
	return rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1), rapid.Float64Range(1, 100)).Draw(t, "rate")
}

func drawFleetEvent(t *rapid.T) fleetEvent {
	e := fleetEvent{AtMS: rapid.IntRange(1000, 14000).Draw(t, "at-ms")}
	count := rapid.IntRange(1, 2).Draw(t, "count")
	switch rapid.SampledFrom([]string{"rate", "lift", "kill", "restart", "decline", "split", "heal", "cold", "load", "unlist", "list"}).Draw(t, "event") {
	case "rate":
		rate := drawRate(t)
		e.Rate = &rate
	case "lift":
		rate := -1.0
		e.Rate = &rate
	case "kill":
		e.Kill = count
	case "restart":
		e.Restart = count
	case "decline":
		e.Decline = count
	case "split":
		e.Split = true
	case "heal":
		e.Heal = true
	case "cold":
		e.Cold = true
	case "unlist":
		e.Unlist = count
	case "list":
		e.List = true
	case "load":
		load := rapid.Float64Range(0, 200).Draw(t, "new-load")
		e.Load = &load
	}
	return e
}
