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
