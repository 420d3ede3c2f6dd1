package hysbudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysbudget"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 100) }

func TestBudget(t *testing.T) {
	hyssuite.Run(t, "Budget")
}

// load is how a budget is used for a time, in milliseconds of virtual time.
type load struct {
	For         int `json:"for-ms"`
	RequestEach int `json:"earn-each-ms"`
	ExtraEach   int `json:"spend-each-ms"`
	// Allowed is how many extra sends must be allowed.
	Allowed int `json:"spent"`
}

type script struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	Slack     float64 `json:"slack"`
	SlackFrom int     `json:"slack-from-ms"`
	Reserve   float64 `json:"reserve"`
	Steps     []load  `json:"steps"`
}

func loadScripts() []script {
	var scripts []script
	hyssuite.Read("windows.json", &scripts)
	return scripts
}

// clock is a virtual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(span time.Duration) { c.at = c.at.Add(span) }

// happensAt reports whether something that happens every each milliseconds happens at
// ms.
func happensAt(ms, each int) bool { return each > 0 && ms%each == 0 }

var _ = Describe("a budget", func() {
	for _, s := range loadScripts() {
		It(s.Name, func() {
			c := &clock{at: time.Unix(1000, 0)}
			from := c.at.Add(time.Duration(s.SlackFrom) * time.Millisecond)
			b := hysbudget.New(s.Share, s.Slack, hysbudget.WithClock(c.now), hysbudget.WithSlackFrom(from))
			for i, step := range s.Steps {
				allowed := 0
				for ms := range step.For {
					if happensAt(ms, step.RequestEach) {
						b.AddRequest()
					}
					if happensAt(ms, step.ExtraEach) && b.TrySpend(s.Reserve) {
						allowed++
					}
					c.advance(time.Millisecond)
				}
				Expect(allowed).To(Equal(step.Allowed), "step %d", i)
			}
		})
	}
})

// event is a request or an extra send.
type event struct {
	at    time.Time
	extra bool
}

// countIn returns the number of requests and of extra sends in a window.
func countIn(all []event, from time.Time, span time.Duration) (requests, extra int) {
	for _, h := range all {
		if h.at.Before(from) || !h.at.Before(from.Add(span)) {
			continue
		}
		if h.extra {
			extra++
		} else {
			requests++
		}
	}
	return requests, extra
}

// TestEveryWindow checks the limit for every window of a random load. The requests
// that count are those of the window, of the one before it or of the one half a
// window before it.
func TestEveryWindow(t *testing.T) {
	const window, share = time.Second, 0.3
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		slack := float64(rapid.IntRange(0, 6).Draw(t, "slack"))
		b := hysbudget.New(share, slack, hysbudget.WithClock(c.now), hysbudget.WithWindow(window))
		var all []event
		for range rapid.IntRange(1, 200).Draw(t, "happenings") {
			c.advance(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest()
				all = append(all, event{at: c.at})
				continue
			}
			if b.TrySpend(0) {
				all = append(all, event{at: c.at, extra: true})
			}
		}
		for _, h := range all {
			_, extra := countIn(all, h.at, window)
			mostRequests := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				requests, _ := countIn(all, h.at.Add(-back), window)
				mostRequests = max(mostRequests, requests)
			}
			if allowed := share*float64(mostRequests) + slack; float64(extra) > allowed {
				t.Fatalf("%d extra sends in the window from %s, allowed are %.1f", extra, h.at, allowed)
			}
		}
	})
}
