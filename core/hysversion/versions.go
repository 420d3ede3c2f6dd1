// Package hysversion finds in the logs of instances how long each version of the
// configuration took to be in force everywhere, and which instance was the last.
//
// It reads the log line of each version that an instance has put in force. The first
// instance stands for the time of the change, whose acknowledgement is in no log.
//
// # Usage
//
//	c := hysversion.New()
//	for scanner.Scan() {
//		c.Add(scanner.Bytes())
//	}
//	for _, version := range c.Report().Versions {
//		fmt.Println(version.Number, version.Slowest[0].Instance, version.Slowest[0].DelayMS)
//	}
package hysversion

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// messageInForce is the message of the line that says that a version is in force.
const messageInForce = "configuration in force"

// maxSlowest is how many instances are reported for each version.
const maxSlowest = 3

// Number is the number of a version.
type Number int64

// Collector collects the versions in logs. It is not safe for concurrent use.
type Collector struct {
	// arrivals holds when each instance first had each version in force.
	arrivals map[Number]map[string]logLine
	lines    int
	badLines int
}

// Arrival is how a version came into force at an instance.
type Arrival struct {
	Instance string `json:"instance"`
	// DelayMS is the time since it was in force at the first instance, in
	// milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// Way is the way by which the instance got it, From the instance that sent it,
	// empty for the store.
	Way  string `json:"way"`
	From string `json:"from,omitempty"`
	// LateAtMostMS is the longest time that it can have taken since it was written,
	// in milliseconds; 0 if it was the first version of the instance.
	LateAtMostMS int64 `json:"late-at-most-ms"`
}

// Arrivals is a list of arrivals.
type Arrivals []Arrival

// Version is one version and the instances that had it last.
type Version struct {
	Number Number `json:"version"`
	// First is when it was in force at the first instance.
	First time.Time `json:"first"`
	// Instances counts those that had it, Skipped those that went from an earlier
	// one to a later one without it.
	Instances int      `json:"instances"`
	Skipped   int      `json:"skipped"`
	Slowest   Arrivals `json:"slowest"`
}

// Versions is a list of versions.
type Versions []Version

// Report is the result of an analysis.
type Report struct {
	Versions Versions `json:"versions"`
	// Lines counts all lines that are not empty, BadLines those that can't be read.
	Lines    int `json:"lines"`
	BadLines int `json:"bad-lines"`
}

// logLine is the log line of a version.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Version  Number    `json:"version"`
	Way      string    `json:"way"`
	From     string    `json:"from"`
	Late     int64     `json:"late-at-most-ms"`
}

// New returns a Collector without any lines.
func New() *Collector {
	return &Collector{arrivals: make(map[Number]map[string]logLine)}
}

// Add counts a line of a log. It ignores text before the JSON object and lines of
// other events.
func (c *Collector) Add(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	c.lines++
	start := bytes.IndexByte(text, '{')
	// The message of other lines may have a version of another type.
	var message struct {
		Message string `json:"msg"`
	}
	if start < 0 || json.Unmarshal(text[start:], &message) != nil {
		c.badLines++
		return
	}
	if message.Message != messageInForce {
		return
	}
	var line logLine
	if json.Unmarshal(text[start:], &line) != nil || line.Time.IsZero() {
		c.badLines++
		return
	}
	c.add(line)
}

func (c *Collector) add(line logLine) {
	instances := c.arrivals[line.Version]
	if instances == nil {
		instances = make(map[string]logLine)
		c.arrivals[line.Version] = instances
	}
	if known, ok := instances[line.Instance]; !ok || line.Time.Before(known.Time) {
		instances[line.Instance] = line
	}
}

// Report returns the versions in the order of their numbers.
func (c *Collector) Report() Report {
	r := Report{Versions: Versions{}, Lines: c.lines, BadLines: c.badLines}
	for _, number := range slices.Sorted(maps.Keys(c.arrivals)) {
		r.Versions = append(r.Versions, c.version(number))
	}
	return r
}

func (c *Collector) version(number Number) Version {
	lines := slices.SortedFunc(maps.Values(c.arrivals[number]), func(a, b logLine) int {
		return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(a.Instance, b.Instance))
	})
	first := lines[len(lines)-1].Time
	version := Version{Number: number, First: first, Instances: len(lines), Skipped: c.skipped(number)}
	for _, line := range lines[:min(len(lines), maxSlowest)] {
		version.Slowest = append(version.Slowest, Arrival{
			Instance: line.Instance, DelayMS: line.Time.Sub(first).Milliseconds(),
			Way: line.Way, From: line.From, LateAtMostMS: line.Late,
		})
	}
	return version
}

// skipped counts the instances that had an earlier and a later version than this one,
// but never this one.
func (c *Collector) skipped(number Number) int {
	earlier, later := make(map[string]bool), make(map[string]bool)
	for n, instances := range c.arrivals {
		for id := range instances {
			earlier[id] = earlier[id] || n < number
			later[id] = later[id] || n > number
		}
	}
	count := 0
	for id := range earlier {
		if _, ok := c.arrivals[number][id]; !ok && earlier[id] && later[id] {
			count++
		}
	}
	return count
}
