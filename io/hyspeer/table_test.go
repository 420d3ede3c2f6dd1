package hyspeer

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
)

// livenessCase is one case of testdata/liveness.json, about the instance "a".
type livenessCase struct {
	Name  string         `json:"name"`
	Steps []livenessStep `json:"steps"`
}

type livenessStep struct {
	WaitMS       int64        `json:"wait-ms"`
	Report       *peer.Report `json:"report"`
	Failed       int          `json:"failed"`
	OthersFailed int          `json:"others-failed"`
	Reached      bool         `json:"reached"`
	Usable       *bool        `json:"usable"`
	Unreachable  *bool        `json:"accused"`
}

func (s livenessStep) run(t *Table, now *time.Time) {
	*now = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
	if s.Report != nil {
		s.Report.Instance = "a"
		t.Merge([]*peer.Report{s.Report}, true)
	}
	for range s.Failed {
		t.RecordFailure("a")
	}
	for n := range s.OthersFailed {
		t.RecordFailure(hysmember.InstanceID(fmt.Sprint("other-", n)))
	}
	if s.Reached {
		t.RecordSuccess("a")
	}
}

var _ = Describe("the table", func() {
	It("matches the cases in liveness.json", func() {
		data, err := os.ReadFile("testdata/liveness.json")
		Expect(err).NotTo(HaveOccurred())
		var cases []livenessCase
		Expect(json.Unmarshal(data, &cases)).To(Succeed())
		for _, c := range cases {
			now := time.Unix(0, 0)
			t := NewTable(func() time.Time { return now })
			for n, s := range c.Steps {
				s.run(t, &now)
				if s.Usable != nil {
					Expect(t.Usable("a")).To(Equal(*s.Usable), "%s, step %d", c.Name, n)
				}
				if s.Unreachable != nil {
					r, _ := t.Report("a")
					Expect(r.GetUnreachable()).To(Equal(*s.Unreachable), "%s, step %d", c.Name, n)
				}
			}
		}
	})
})

var _ = Describe("the exchange", func() {
	It("converges after a restart with the same clock and other content", func() {
		n := newNetwork()
		n.exchange(0, 3, false)
		n.leaving[3] = true
		n.exchangers[3] = n.start(3)
		n.converge(newOracle())
		for _, e := range n.exchangers {
			r, ok := e.Table.Report("entry-3")
			Expect(ok).To(BeTrue())
			Expect(r.GetLeaving()).To(BeTrue())
		}
	})

	It("refutes a report that the instance is unreachable in the reply to it", func() {
		n := newNetwork()
		n.converge(newOracle())
		n.exchangers[0].Table.RecordFailure("entry-1")
		r, _ := n.exchangers[0].Table.Report("entry-1")
		Expect(r.GetUnreachable()).To(BeTrue())
		n.exchange(0, 1, false)
		r, _ = n.exchangers[0].Table.Report("entry-1")
		Expect(r.GetUnreachable()).To(BeFalse())
	})

	It("reaches every instance by gossip alone, without repair", func() {
		n := newNetwork()
		for from := range n.exchangers {
			n.exchange(from, (from+1)%len(n.exchangers), false)
		}
		for range 3 {
			for from := range n.exchangers {
				n.exchange(from, (from+1)%len(n.exchangers), false)
			}
		}
		for _, e := range n.exchangers {
			Expect(e.Table.All()).To(HaveLen(len(n.exchangers)))
		}
	})

	It("sends nothing that both sides know once the updates have been passed on", func() {
		n := newNetwork()
		n.converge(newOracle())
		sent := 0
		e := n.exchangers[0]
		deliver := e.Exchange
		e.Exchange = func(ctx context.Context, to hysmember.Instance, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
			reply, err := deliver(ctx, to, m)
			sent += len(m.GetReports()) + len(reply.GetReports())
			return reply, err
		}
		for range 20 {
			n.exchange(0, 1, false)
			n.exchange(0, 1, true)
		}
		Expect(sent).To(BeZero())
	})

	It("does not send updates faster than its rate", func() {
		now := time.Unix(0, 0)
		q := newGossipQueue(func() time.Time { return now })
		sent := 0
		for second := range 200 {
			now = now.Add(time.Second)
			for n := range 2_000 {
				q.addSearcher(searcherID(n), 4_700)
			}
			for range 20 {
				q.drain(func(memberKey) int { sent += 120; return 120 })
			}
			Expect(sent).To(BeNumerically("<=", updateBurstBytes+updateBytesPerSecond*(second+1)+120*20))
		}
	})

	It("drops unlisted instances although peers still report them", func() {
		n := newNetwork()
		n.converge(newOracle())
		e := n.exchangers[0]
		list := n.list
		list.Instances = n.list.Instances[:3]
		e.View.SetList(list)
		e.Table.Retain(e.View.Listed)
		n.exchange(0, 1, true)
		_, ok := e.Table.Report("entry-3")
		Expect(ok).To(BeFalse())
	})
})
