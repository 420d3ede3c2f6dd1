package hysticket_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hyssuite"
)

func TestTicket(t *testing.T) {
	hyssuite.Run(t, "Ticket")
}

// applyCase is one case of testdata/apply.json.
type applyCase struct {
	Name    string             `json:"name"`
	Tickets []hysticket.Ticket `json:"tickets"`
	Results []hysticket.Result `json:"results"`
	Absent  []hysgroup.Name    `json:"absent"`
}

var _ = Describe("State.Apply", func() {
	var cases []applyCase
	hyssuite.Read("apply.json", &cases)
	for _, c := range cases {
		It(c.Name, func() {
			var state hysticket.State
			for i, t := range c.Tickets {
				t.Defaults()
				Expect(t.Validate()).To(Succeed())
				next, result, err := state.Apply(t)
				Expect(result).To(Equal(c.Results[i]))
				refused := result == hysticket.ResultConflict || result == hysticket.ResultSuperseded
				Expect(err != nil).To(Equal(refused))
				state = next
			}
			for _, name := range c.Absent {
				_, ok := state.Group(name)
				Expect(ok).To(BeFalse())
			}
		})
	}
})

var _ = Describe("State.Merge", func() {
	It("keeps the same one of two contents with the same number, in either order", func() {
		state := func(weight uint32) hysticket.State {
			ticket := hysticket.Ticket{Number: 1, Author: "a", Groups: hysgroup.Groups{{Name: "g", Weight: weight}}}
			s, _, err := hysticket.State{}.Apply(ticket)
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(state(1).Merge(state(2)).Digest()).To(Equal(state(2).Merge(state(1)).Digest()))
	})
})
