package hyslosses

import (
	"cmp"
	"slices"
	"strings"
)

// Ends of requests, as the logs name them.
const (
	outcomeServed    = "served"
	outcomePartial   = "partial"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeAbandoned = "abandoned"
)

// add counts a request. One that was rejected or whose searcher failed it is the
// caller's or the searcher's matter.
func (w *Window) add(l line, outcome string) {
	lost := 1.0
	switch outcome {
	case outcomeServed, outcomePartial:
		lost = w.route(l.Route).addAnswer(l)
		for _, m := range l.Missing {
			w.Missing.add(kind(m.Reason), m.Sends, 1)
		}
	case outcomeRefused, outcomeFailed, outcomeAbandoned:
		w.route(l.Route).addUnanswered(outcome)
		w.Failures.add(outcome+": "+kind(l.Reason), l.Sends, 1)
	default:
		return
	}
	r := w.route(l.Route)
	r.Requests++
	r.Lost += lost
	w.Lost += lost
	if l.Returning {
		r.Returning++
	}
}

// addUnanswered counts a request without an answer.
func (r *Route) addUnanswered(outcome string) {
	switch outcome {
	case outcomeRefused:
		r.Refused++
	case outcomeFailed:
		r.Failed++
	case outcomeAbandoned:
		r.Abandoned++
	}
}

// kind is what reasons of the same kind begin with; addresses follow.
func kind(reason string) string {
	text, _, _ := strings.Cut(reason, ":")
	return text
}

// addAnswer counts an answer and returns what it has lost: all if it is late, and
// else what the square of its share of the shards is short of one.
func (r *Route) addAnswer(l line) float64 {
	switch {
	case l.Goal > 0 && l.Latency > l.Goal:
		r.Late++
		return 1
	case l.Shards > 0 && l.Answered < l.Shards:
		r.Partial++
		share := float64(l.Answered) / float64(l.Shards)
		return 1 - share*share
	default:
		r.Complete++
		return 0
	}
}

func (w *Window) route(name string) *Route {
	i := slices.IndexFunc(w.Routes, func(r *Route) bool { return r.Name == name })
	if i >= 0 {
		return w.Routes[i]
	}
	r := &Route{Name: name}
	w.Routes = append(w.Routes, r)
	return r
}

func (c *Causes) add(reason string, sends, count int) {
	i := slices.IndexFunc(*c, func(c *Cause) bool { return c.Reason == reason && c.Sends == sends })
	if i >= 0 {
		(*c)[i].Count += count
		return
	}
	*c = append(*c, &Cause{Reason: reason, Sends: sends, Count: count})
}

// merge adds another window's counts.
func (w *Window) merge(other *Window) {
	w.Lost += other.Lost
	for _, o := range other.Routes {
		r := w.route(o.Name)
		r.Requests += o.Requests
		r.Complete += o.Complete
		r.Partial += o.Partial
		r.Late += o.Late
		r.Refused += o.Refused
		r.Failed += o.Failed
		r.Abandoned += o.Abandoned
		r.Returning += o.Returning
		r.Lost += o.Lost
	}
	for _, o := range other.Missing {
		w.Missing.add(o.Reason, o.Sends, o.Count)
	}
	for _, o := range other.Failures {
		w.Failures.add(o.Reason, o.Sends, o.Count)
	}
}

// sort puts what has lost most first.
func (w *Window) sort() {
	slices.SortFunc(w.Routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name))
	})
	w.Missing.sort()
	w.Failures.sort()
}

func (c Causes) sort() {
	slices.SortFunc(c, func(a, b *Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Sends, b.Sends))
	})
}
