package hyspartial_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hyspartial"
	"hyssopshore/internal/hyssuite"
)

func TestPartial(t *testing.T) {
	hyssuite.Run(t, "Partial")
}

// decideCase is one case of testdata/decide.json.
type decideCase struct {
	Name     string `json:"name"`
	Shards   int    `json:"shards"`
	Minimum  int    `json:"minimum"`
	Answered int    `json:"answered"`
	Lost     int    `json:"lost"`
	// AfterGoalMS is left out for a time before the goal.
	AfterGoalMS *int   `json:"after-goal-ms"`
	Verdict     string `json:"verdict"`
}

func (c decideCase) decide() hyspartial.Verdict {
	goal := time.Unix(1000, 0)
	now := goal.Add(-time.Millisecond)
	if c.AfterGoalMS != nil {
		now = goal.Add(time.Duration(*c.AfterGoalMS) * time.Millisecond)
	}
	p := hyspartial.Policy{Shards: c.Shards, Minimum: c.Minimum, Goal: goal}
	return p.Decide(now, c.Answered, c.Lost)
}

var _ = Describe("the decision", func() {
	var cases []decideCase
	hyssuite.Read("decide.json", &cases)
	for _, c := range cases {
		It(c.Name, func() { Expect(c.decide().String()).To(Equal(c.Verdict)) })
	}
})

// latenessCase is one case of testdata/lateness.json.
type latenessCase struct {
	Name string `json:"name"`
	// LateMS is how late the answers were, Times how often in a row this was
	// observed.
	LateMS []int `json:"late-ms"`
	Times  int   `json:"times"`
	GoalMS int   `json:"goal-ms"`
	// LeastMS and MostMS bound the resulting lead time.
	LeastMS float64 `json:"least-ms"`
	MostMS  float64 `json:"most-ms"`
}

var _ = Describe("the lateness", func() {
	var cases []latenessCase
	hyssuite.Read("lateness.json", &cases)
	for _, c := range cases {
		It(c.Name, func() {
			var l hyspartial.Lateness
			for range max(c.Times, 1) {
				for _, ms := range c.LateMS {
					l.Observe(time.Duration(ms) * time.Millisecond)
				}
			}
			earlier := l.LeadTime(time.Duration(c.GoalMS) * time.Millisecond)
			ms := float64(earlier) / float64(time.Millisecond)
			Expect(ms).To(BeNumerically(">=", c.LeastMS))
			Expect(ms).To(BeNumerically("<=", c.MostMS))
		})
	}
})
