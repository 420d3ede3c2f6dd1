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

// load is what happens at a budget for a time, in virtual milliseconds.
type load struct {
	For   int `json:"for-ms"`
	Earn  int `json:"earn-each-ms"`
	Spend int `json:"spend-each-ms"`
	// Spent is how many extra sends were allowed.
	Spent int `json:"spent"`
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

// clock is virtual.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(span time.Duration) { c.at = c.at.Add(span) }

// due reports whether something that happens each so many milliseconds does.
func due(ms, each int) bool { return each > 0 && ms%each == 0 }

var _ = Describe("a budget", func() {
	for _, s := range loadScripts() {
		It(s.Name, func() {
			c := &clock{at: time.Unix(1000, 0)}
			from := c.at.Add(time.Duration(s.SlackFrom) * time.Millisecond)
			b := hysbudget.New(s.Share, s.Slack, hysbudget.WithClock(c.now), hysbudget.WithSlackFrom(from))
			for i, step := range s.Steps {
				spent := 0
				for ms := range step.For {
					if due(ms, step.Earn) {
						b.AddRequest()
					}
					if due(ms, step.Spend) && b.TrySpend(s.Reserve) {
						spent++
					}
					c.pass(time.Millisecond)
				}
				Expect(spent).To(Equal(step.Spent), "step %d", i)
			}
		})
	}
})

// happening is a request or an extra send.
type happening struct {
	at    time.Time
	extra bool
}

// counted returns the requests and the extra sends of a window.
func counted(all []happening, from time.Time, span time.Duration) (requests, extra int) {
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

// TestEveryWindow counts every window of a random load against the bound: the
// requests that count are those of the window, of the one before it or of the one
// half a window before it.
func TestEveryWindow(t *testing.T) {
	const window, share = time.Second, 0.3
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1000, 0)}
		slack := float64(rapid.IntRange(0, 6).Draw(t, "slack"))
		b := hysbudget.New(share, slack, hysbudget.WithClock(c.now), hysbudget.WithWindow(window))
		var all []happening
		for range rapid.IntRange(1, 200).Draw(t, "happenings") {
			c.pass(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest()
				all = append(all, happening{at: c.at})
				continue
			}
			if b.TrySpend(0) {
				all = append(all, happening{at: c.at, extra: true})
			}
		}
		for _, h := range all {
			_, extra := counted(all, h.at, window)
			most := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				requests, _ := counted(all, h.at.Add(-back), window)
				most = max(most, requests)
			}
			if allowed := share*float64(most) + slack; float64(extra) > allowed {
				t.Fatalf("%d extra sends in the window from %s, allowed are %.1f", extra, h.at, allowed)
			}
		}
	})
}
