package hyslosses

import (
	"cmp"
	"slices"
	"strings"
)

// Outcomes of requests, as named in log messages.
const (
	outcomeServed    = "served"
	outcomePartial   = "partial"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeAbandoned = "abandoned"
)

// add counts a request. Other outcomes than those above are ignored: a rejected
// request is the caller's fault, and one that its searcher failed the searcher's.
func (w *Window) add(l logLine, outcome string) {
	lost := 1.0
	switch outcome {
	case outcomeServed, outcomePartial:
		lost = w.route(l.Route).addAnswer(l)
		for _, m := range l.Missing {
			w.Missing.add(reasonPrefix(m.Reason), m.Sends, 1)
		}
	case outcomeRefused, outcomeFailed, outcomeAbandoned:
		w.route(l.Route).addUnanswered(outcome)
		w.Failures.add(outcome+": "+reasonPrefix(l.Reason), l.Sends, 1)
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

// reasonPrefix returns the part of a reason before the first colon, which reasons of
// the same kind have in common; addresses follow.
func reasonPrefix(reason string) string {
	text, _, _ := strings.Cut(reason, ":")
	return text
}

// addAnswer counts an answer and returns its loss: 1 if it is late, else 1 minus the
// square of the fraction of shards that answered.
func (r *Route) addAnswer(l logLine) float64 {
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

// route returns the counts of a route, which it adds if there are none yet.
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

// merge adds the counts of another window.
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

// sort sorts the routes by loss and the causes by count, the largest first.
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
