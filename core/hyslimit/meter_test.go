package hyslimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hyslimit"
	"hyssopshore/internal/hyssuite"
)

// meterStep is one step of a script of testdata/meters.json.
type meterStep struct {
	AtMS int `json:"at-ms"`
	// Limit is what a response states, Lifted that it states none. Its request was
	// sent at SentMS, or at the same time if that is 0.
	Limit  *string `json:"limit"`
	Lifted bool    `json:"lifted"`
	SentMS int     `json:"sent-ms"`
	// Permits are granted, and Sends, or Urgent sends, are made then.
	Permits int `json:"permits"`
	Sends   int `json:"sends"`
	Urgent  int `json:"urgent"`
	// LiftedElsewhere means that a grant says that the limit is lifted.
	LiftedElsewhere bool   `json:"lifted-elsewhere"`
	Change          string `json:"change"`
	Ready           *bool  `json:"ready"`
	ReadyForBulk    *bool  `json:"ready-for-bulk"`
}

// play plays a step at a time since a start, and returns what has changed.
func (s meterStep) play(m *hyslimit.Meter, start time.Time) hyslimit.Change {
	now := start.Add(time.Duration(s.AtMS) * time.Millisecond)
	sentAt := now
	if s.SentMS > 0 {
		sentAt = start.Add(time.Duration(s.SentMS) * time.Millisecond)
	}
	if s.Permits > 0 {
		_, _ = m.Ask(now, 1)
		m.Apply(now, now, hyslimit.Grant{Permits: s.Permits, Rate: 10})
	}
	for n := range s.Sends + s.Urgent {
		m.Take(now, n < s.Urgent)
	}
	switch {
	case s.Limit != nil:
		return m.Record(now, sentAt, hyslimit.ParseStatement([]string{*s.Limit}))
	case s.Lifted:
		return m.Record(now, sentAt, hyslimit.ParseStatement(nil))
	case s.LiftedElsewhere:
		return m.Apply(now, now, hyslimit.Grant{Limit: hyslimit.Limit{LearnedAt: now}})
	default:
		return hyslimit.ChangeNone
	}
}

var _ = Describe("the meter of a searcher", func() {
	var scripts []struct {
		Name  string      `json:"name"`
		Steps []meterStep `json:"steps"`
	}
	hyssuite.Read("meters.json", &scripts)
	for _, script := range scripts {
		It("follows the script: "+script.Name, func() {
			m, start := hyslimit.NewMeter(), time.Unix(1000, 0)
			at := 0
			for n, s := range script.Steps {
				at = max(at, s.AtMS)
				s.AtMS = at
				change := s.play(m, start)
				now := start.Add(time.Duration(at) * time.Millisecond)
				if s.Change != "" {
					Expect(change.String()).To(Equal(s.Change), "step %d", n)
				}
				if s.Ready != nil {
					Expect(m.Ready(now)).To(Equal(*s.Ready), "step %d", n)
				}
				if s.ReadyForBulk != nil {
					Expect(m.ReadyForBulk(now)).To(Equal(*s.ReadyForBulk), "step %d", n)
				}
			}
		})
	}

	// Guards against sends without a limit to a searcher whose limit only others know.
	It("asks for the limit of a searcher that states an unusable one, as often as asks are allowed", func() {
		m, now := hyslimit.NewMeter(), time.Unix(1000, 0)
		unusable := hyslimit.ParseStatement([]string{"NaN"})
		m.Record(now, now, unusable)
		ask, ok := m.Ask(now, 0)
		Expect(ok).To(BeTrue())
		Expect(ask).To(Equal(hyslimit.Ask{}))
		m.Record(now, now, unusable)
		_, ok = m.Ask(now.Add(time.Millisecond), 0)
		Expect(ok).To(BeFalse())
		_, ok = m.Ask(now.Add(time.Second), 0)
		Expect(ok).To(BeTrue())
		known := hyslimit.Limit{Limited: true, Rate: 8, LearnedAt: now}
		Expect(m.Apply(now, now, hyslimit.Grant{Limit: known})).To(Equal(hyslimit.ChangeLearned))
		Expect(m.Ready(now)).To(BeFalse())
		m.Record(now, now, unusable)
		Expect(m.Limit()).To(Equal(known))
	})

	It("asks for nothing once the searcher states that it has no limit", func() {
		m, now := hyslimit.NewMeter(), time.Unix(1000, 0)
		m.Record(now, now, hyslimit.ParseStatement([]string{"NaN"}))
		m.Record(now, now, hyslimit.ParseStatement(nil))
		Expect(m.Pending(0)).To(BeFalse())
	})
})
