// Package hyslosses tells from the logs of frontend daemons where answers were
// lost: in which windows of time, to which routes, and for which reasons.
//
// It reads the line that a daemon writes for each request that has ended. A request
// is lost in part if its answer lacks shards, and as a whole if the answer came after
// the goal of its route or did not come. Requests that reached no daemon are in no
// log.
//
// # Usage
//
//	l := hyslosses.New(2 * time.Second)
//	for scanner.Scan() {
//		l.Add(scanner.Bytes())
//	}
//	report := l.Report(2) // the two windows that lost most
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

// messagePrefix begins the message of the line that ends a request.
const messagePrefix = "request "

// Losses counts the requests of logs. It is not safe for concurrent use.
type Losses struct {
	span    time.Duration
	windows map[time.Time]*Window
	bad     int
	lines   int
}

// Window is a span of time.
type Window struct {
	Start time.Time `json:"start"`
	// Lost is what the requests of the window have lost together, in whole
	// answers.
	Lost   float64 `json:"lost"`
	Routes Routes  `json:"routes"`
	// Missing counts the shards that answers lack, by why they do.
	Missing Causes `json:"missing"`
	// Failures counts the requests without an answer, by their reasons.
	Failures Causes `json:"failures"`
}

// Windows is a list of windows.
type Windows []*Window

// Route counts the requests of a route by how they ended.
type Route struct {
	Name     string `json:"route"`
	Requests int    `json:"asked"`
	Complete int    `json:"whole"`
	// Partial answers came in time and lack shards; Late ones came after the goal.
	Partial int `json:"partial"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Abandoned requests are those whose callers left first.
	Abandoned int `json:"abandoned"`
	// Returning are the requests of callers who were likely refused before.
	Returning int     `json:"returning"`
	Lost      float64 `json:"lost"`
}

// Routes is a list of routes.
type Routes []*Route

// Cause is a reason with the number of its cases.
type Cause struct {
	Reason string `json:"reason"`
	// Sends is how many sends to searchers were made before.
	Sends int `json:"sends"`
	Count int `json:"count"`
}

// Causes is a list of causes.
type Causes []*Cause

// Report is what the logs tell.
type Report struct {
	// Worst are the windows that lost most, the worst first.
	Worst Windows `json:"worst"`
	// Total covers all windows together.
	Total Window `json:"whole"`
	Lines int    `json:"lines"`
	// BadLines could not be read.
	BadLines int `json:"bad-lines"`
}

// line is a line of a log that ends a request.
type line struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Route      string    `json:"route"`
	Reason     string    `json:"reason"`
	Latency    int64     `json:"ms"`
	Goal       int64     `json:"goal-ms"`
	Shards     int       `json:"shards"`
	Answered   int       `json:"answered"`
	Sends      int       `json:"sends"`
	Returning  bool      `json:"returning"`
	ForAnother bool      `json:"for-another"`
	Missing    []struct {
		Reason string `json:"reason"`
		Sends  int    `json:"sends"`
	} `json:"missing"`
}

// New returns losses of nothing, counted in windows of a span.
func New(span time.Duration) *Losses {
	return &Losses{span: span, windows: make(map[time.Time]*Window)}
}

// Add counts a line of a log. What stands before its JSON text is passed over.
func (l *Losses) Add(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	l.lines++
	var parsed line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &parsed) != nil || parsed.Time.IsZero() {
		l.bad++
		return
	}
	outcome, ok := strings.CutPrefix(parsed.Message, messagePrefix)
	if !ok || parsed.ForAnother {
		return
	}
	began := parsed.Time.Add(-time.Duration(parsed.Latency) * time.Millisecond)
	l.window(began.Truncate(l.span)).add(parsed, outcome)
}

func (l *Losses) window(start time.Time) *Window {
	w, ok := l.windows[start]
	if !ok {
		w = &Window{Start: start}
		l.windows[start] = w
	}
	return w
}

// Report returns what was counted, with a number of the worst windows.
func (l *Losses) Report(worst int) Report {
	all := slices.SortedFunc(maps.Values(l.windows), func(a, b *Window) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), a.Start.Compare(b.Start))
	})
	r := Report{Lines: l.lines, BadLines: l.bad}
	for _, w := range all {
		r.Total.merge(w)
		w.sort()
	}
	r.Total.sort()
	r.Worst = append(Windows{}, all[:min(len(all), max(worst, 0))]...)
	return r
}
