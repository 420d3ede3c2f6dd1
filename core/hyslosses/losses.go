// Package hyslosses analyzes the logs of instances for lost answers: in
// which time windows, on which routes and for which reasons they were lost.
//
// It reads the log line of each finished request. A request is partly lost if its
// answer lacks shards, and wholly lost if the answer came after the goal of the
// route or not at all. Requests that reached no instance are in no log.
//
// # Usage
//
//	l := hyslosses.New(2 * time.Second)
//	for scanner.Scan() {
//		l.Add(scanner.Bytes())
//	}
//	report := l.Report(2) // with the two windows that lost most
package hyslosses

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// messagePrefix is the prefix of the message of a finished request's log line; the
// outcome follows.
const messagePrefix = "request "

// Losses counts the requests in logs. It is not safe for concurrent use.
type Losses struct {
	windowLength time.Duration
	windows      map[time.Time]*Window
	badLines     int
	lines        int
}

// Window counts the requests that began in one time window.
type Window struct {
	Start time.Time `json:"start"`
	// Lost is the loss of all requests in the window, in whole answers.
	Lost   float64 `json:"lost"`
	Routes Routes  `json:"routes"`
	// Missing counts the shards that are missing from answers, by reason.
	Missing Causes `json:"missing"`
	// Failures counts the requests without an answer, by outcome and reason.
	Failures Causes `json:"failures"`
}

// Windows is a list of windows.
type Windows []*Window

// Route counts the requests of a route by how they ended.
type Route struct {
	Name     string `json:"route"`
	Requests int    `json:"asked"`
	Complete int    `json:"whole"`
	// Partial counts answers within the goal that lack shards, Late those after
	// the goal.
	Partial int `json:"partial"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Abandoned counts the requests whose callers disconnected before the answer.
	Abandoned int `json:"abandoned"`
	// Returning counts the requests of callers that were likely refused before.
	Returning int `json:"returning"`
	// Lost is the loss of all requests of the route, in whole answers.
	Lost float64 `json:"lost"`
}

// Routes is a list of routes.
type Routes []*Route

// Cause counts the losses with the same reason and number of sends.
type Cause struct {
	Reason string `json:"reason"`
	// Sends is how many sends to searchers were made before the loss.
	Sends int `json:"sends"`
	Count int `json:"count"`
}

// Causes is a list of causes.
type Causes []*Cause

// Report is the result of an analysis.
type Report struct {
	// Worst lists the windows that lost most, the worst first.
	Worst Windows `json:"worst"`
	// Total is the sum of all windows.
	Total Window `json:"whole"`
	// Lines counts all lines that are not empty.
	Lines int `json:"lines"`
	// BadLines counts the lines that could not be parsed.
	BadLines int `json:"bad-lines"`
}

// logLine is the log line of a finished request.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Route     string    `json:"route"`
	Reason    string    `json:"reason"`
	Latency   int64     `json:"ms"`
	Goal      int64     `json:"goal-ms"`
	Shards    int       `json:"shards"`
	Answered  int       `json:"answered"`
	Sends     int       `json:"sends"`
	Returning bool      `json:"returning"`
	Delegated bool      `json:"for-another"`
	Missing   []struct {
		Reason string `json:"reason"`
		Sends  int    `json:"sends"`
	} `json:"missing"`
}

// New returns empty counts, in windows of the given length.
func New(windowLength time.Duration) *Losses {
	return &Losses{windowLength: windowLength, windows: make(map[time.Time]*Window)}
}

// Add counts a line of a log. It ignores text before the JSON object, lines of other
// events, and requests that another instance delegated, which that one logs too.
func (l *Losses) Add(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	l.lines++
	var parsed logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &parsed) != nil || parsed.Time.IsZero() {
		l.badLines++
		return
	}
	outcome, ok := strings.CutPrefix(parsed.Message, messagePrefix)
	if !ok || parsed.Delegated {
		return
	}
	began := parsed.Time.Add(-time.Duration(parsed.Latency) * time.Millisecond)
	l.window(began.Truncate(l.windowLength)).add(parsed, outcome)
}

func (l *Losses) window(start time.Time) *Window {
	w, ok := l.windows[start]
	if !ok {
		w = &Window{Start: start}
		l.windows[start] = w
	}
	return w
}

// Report returns the counts, with at most the given number of worst windows.
func (l *Losses) Report(worst int) Report {
	all := slices.SortedFunc(maps.Values(l.windows), func(a, b *Window) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), a.Start.Compare(b.Start))
	})
	r := Report{Lines: l.lines, BadLines: l.badLines}
	for _, w := range all {
		r.Total.merge(w)
		w.sort()
	}
	r.Total.sort()
	r.Worst = append(Windows{}, all[:min(len(all), max(worst, 0))]...)
	return r
}
