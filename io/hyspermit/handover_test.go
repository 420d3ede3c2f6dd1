package hyspermit_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyspermit"
)

// handover is one case of testdata/handovers.json: what the instance that is no longer
// listed answers to the one that has become the first in rank.
type handover struct {
	Answer     string `json:"answer"`
	HandedOver bool   `json:"handed-over"`
}

// callTime is how long the other instance takes to answer.
const callTime = time.Millisecond

func (h handover) call(context.Context, hysmember.Instance, hyspermit.Request) (hyslimit.Grants, error) {
	time.Sleep(callTime)
	switch h.Answer {
	case "declines":
		return nil, fmt.Errorf("call: %w", hyspermit.ErrDeclined)
	case "refused":
		return nil, fmt.Errorf("call: %w", unix.ECONNREFUSED)
	case "grants":
		return nil, nil
	default:
		return nil, context.DeadlineExceeded
	}
}

// TestHandover guards against two instances that both hand out a whole limit, since one
// takes its own list for that of all: review/2.
func TestHandover(t *testing.T) {
	var handovers []handover
	hyssuite.Read("handovers.json", &handovers)
	for _, h := range handovers {
		t.Run(h.Answer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { h.run(gomega.NewWithT(t)) })
		})
	}
}

func (h handover) run(g *gomega.WithT) {
	const spread = 18 * time.Second
	ranking := hyslimit.NewRanking(spread)
	all := hysmember.Instances{{ID: "i-1", Region: "r"}, {ID: "i-2", Region: "r"}, {ID: "i-3", Region: "r"}}
	ranking.SetInstances(all)
	group := hyslimit.Group{Region: "r", Number: 1}
	order := ranking.Candidates(group)
	k := &hyspermit.Keeper{
		Self: order[1].ID, Ranking: ranking, Allocator: hyslimit.NewAllocator(), Declines: func() bool { return false },
		Call: h.call, Log: slog.New(slog.DiscardHandler),
	}
	var listed hysmember.Instances
	for _, i := range all {
		if i.ID != order[0].ID {
			listed = append(listed, i)
		}
	}
	ranking.SetInstances(listed)
	_, err := k.Serve(hyspermit.Request{Group: group})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	mode := func() hyslimit.Mode {
		m, ok := ranking.StandingOf(k.Self, group).Mode(hyslimit.SkippedNot)
		g.Expect(ok).To(gomega.BeTrue())
		return m
	}
	g.Expect(mode()).To(gomega.Equal(hyslimit.ModeDeputy), "the other one may hand out the whole limit")
	time.Sleep(callTime)
	synctest.Wait()
	if h.HandedOver {
		g.Expect(mode()).To(gomega.Equal(hyslimit.ModeFull))
	} else {
		g.Expect(mode()).To(gomega.Equal(hyslimit.ModeDeputy))
	}
	time.Sleep(spread + time.Second)
	g.Expect(mode()).To(gomega.Equal(hyslimit.ModeFull), "all know the list")
}
