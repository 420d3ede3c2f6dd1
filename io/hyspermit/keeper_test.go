package hyspermit_test

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyspermit"
)

// askScript is a sequence of asks of testdata/asks.json.
type askScript struct {
	Name string `json:"name"`
	// Candidates says how each candidate answers. "a" is first in rank.
	Candidates map[string]string `json:"candidates"`
	Rounds     []struct {
		AfterMS    int               `json:"after-ms"`
		Candidates map[string]string `json:"candidates"`
		// Asked are the candidates that were asked, in order, with the reason why the
		// first in rank was not.
		Asked   []string `json:"asked"`
		Granted bool     `json:"granted"`
	} `json:"rounds"`
}

// askRun is one run of a script in virtual time.
type askRun struct {
	mu      sync.Mutex
	answers map[string]string
	// names maps the ids of the instances to the names of the script.
	names   map[hysmember.InstanceID]string
	asked   []string
	granted []bool
	due     hysdispatch.LimitAsks
}

var errSilent = errors.New("no answer")

func (a *askRun) call(_ context.Context, to hysmember.Instance, r hyspermit.Request) (hyslimit.Grants, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name := a.names[to.ID]
	a.asked = append(a.asked, name+":"+r.Skipped.String())
	switch a.answers[name] {
	case "grants":
		return a.grants(r, 7), nil
	case "restarted":
		return a.grants(r, 8), nil
	case "declines":
		return nil, hyspermit.ErrDeclined
	default:
		return nil, errSilent
	}
}

func (a *askRun) grants(r hyspermit.Request, incarnation uint64) hyslimit.Grants {
	var grants hyslimit.Grants
	for _, ask := range r.Asks {
		grants = append(grants, hyslimit.Grant{Searcher: ask.Searcher, Incarnation: incarnation, Permits: 1})
	}
	return grants
}

func (a *askRun) asks() (hysdispatch.LimitAsks, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := a.due
	a.due = nil
	return due, false
}

func (a *askRun) apply(_ hysdispatch.LimitAsk, _ time.Time, _ hyslimit.Grant, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted = append(a.granted, ok)
}

// keeper returns the keeper of an instance that is no candidate itself.
func (a *askRun) keeper(s askScript, ask hysdispatch.LimitAsk) *hyspermit.Keeper {
	ranking := hyslimit.NewRanking(time.Second)
	var listed hysmember.Instances
	for _, id := range []hysmember.InstanceID{"i-1", "i-2"}[:len(s.Candidates)] {
		listed = append(listed, hysmember.Instance{ID: id, Address: "a", Region: "r"})
	}
	ranking.SetInstances(listed)
	for n, c := range ranking.Candidates(hyslimit.GroupOf(ask.Searcher, ask.Region)) {
		a.names[c.ID] = []string{"a", "b"}[n]
	}
	return &hyspermit.Keeper{
		Self: "self", Ranking: ranking, Allocator: hyslimit.NewAllocator(), Declines: func() bool { return false },
		Asks: a.asks, Apply: a.apply, Call: a.call, Log: slog.New(slog.DiscardHandler),
	}
}

func TestAsks(t *testing.T) {
	var scripts []askScript
	hyssuite.Read("asks.json", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runAsks(gomega.NewWithT(t), s) })
		})
	}
}

func runAsks(g *gomega.WithT, s askScript) {
	a := &askRun{answers: s.Candidates, names: make(map[hysmember.InstanceID]string)}
	ask := hysdispatch.LimitAsk{Ask: hyslimit.Ask{Searcher: "s-1", Incarnation: 7, Wanted: 1}, Service: "roll", Region: "r"}
	keeper := a.keeper(s, ask)
	ctx, stop := context.WithCancel(context.Background())
	go keeper.Run(ctx)
	for _, round := range s.Rounds {
		time.Sleep(milliseconds(round.AfterMS))
		a.mu.Lock()
		for name, answer := range round.Candidates {
			a.answers[name] = answer
		}
		a.asked, a.granted, a.due = nil, nil, hysdispatch.LimitAsks{ask}
		a.mu.Unlock()
		keeper.Need()
		synctest.Wait()
		a.mu.Lock()
		// A candidate that is tried again is asked beside the others.
		slices.Sort(a.asked)
		g.Expect(a.asked).To(gomega.HaveExactElements(round.Asked))
		g.Expect(a.granted).To(gomega.Equal([]bool{round.Granted}))
		a.mu.Unlock()
	}
	stop()
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// TestOwnRank checks that an instance answers only as what it is in its own ranking.
func TestOwnRank(t *testing.T) {
	g := gomega.NewWithT(t)
	ranking := hyslimit.NewRanking(time.Second)
	ranking.SetInstances(hysmember.Instances{{ID: "i-1", Region: "r"}, {ID: "i-2", Region: "r"}, {ID: "i-3", Region: "r"}})
	group := hyslimit.Group{Region: "r", Number: 1}
	order := ranking.Candidates(group)
	declines := false
	serve := func(self hysmember.InstanceID, skipped hyslimit.Skipped) error {
		k := &hyspermit.Keeper{Self: self, Ranking: ranking, Allocator: hyslimit.NewAllocator(), Declines: func() bool { return declines }}
		_, err := k.Serve(hyspermit.Request{Group: group, Skipped: skipped})
		return err
	}
	g.Expect(serve(order[0].ID, hyslimit.SkippedNot)).To(gomega.Succeed())
	g.Expect(serve(order[1].ID, hyslimit.SkippedSilent)).To(gomega.Succeed())
	g.Expect(serve(order[1].ID, hyslimit.SkippedDeclined)).To(gomega.Succeed())
	g.Expect(serve(order[1].ID, hyslimit.SkippedNot)).To(gomega.Succeed())
	mode, _ := ranking.StandingOf(order[1].ID, group).Mode(hyslimit.SkippedNot)
	g.Expect(mode).To(gomega.Equal(hyslimit.ModeDeputy))
	g.Expect(serve("unlisted", hyslimit.SkippedDeclined)).To(gomega.MatchError(hyspermit.ErrDeclined))
	declines = true
	g.Expect(serve(order[0].ID, hyslimit.SkippedNot)).To(gomega.MatchError(hyspermit.ErrDeclined))
}

// TestMalformedMessages checks that no value of a message makes a rate or a count that
// can't be used.
func TestMalformedMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{math.NaN(), math.Inf(-1), -1} {
		limit := &peer.RateLimit{Limited: true, Rate: rate, AgeUs: math.MinInt64}
		r := hyspermit.DecodeRequest(&peer.PermitsRequest{Skipped: 99, Asks: []*peer.PermitAsk{{Limit: limit, Wanted: math.MaxUint32}, nil}})
		g.Expect(r.Asks[0].Limit).To(gomega.Equal(hyslimit.Limit{}))
		a := hyslimit.NewAllocator()
		g.Expect(a.Grant(r.Asks, hyslimit.ModeFull)).To(gomega.HaveLen(2))
		grants, err := hyspermit.DecodeReply(&peer.PermitsReply{Grants: []*peer.PermitGrant{{Rate: rate, IntervalUs: math.MinInt64, Permits: math.MaxUint32}}}, time.Now())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(float64(grants[0].Rate)).To(gomega.BeZero())
		m := hyslimit.NewMeter()
		m.Apply(time.Now(), time.Now(), grants[0])
		g.Expect(m.Ready(time.Now())).To(gomega.BeTrue(), "no limit is known")
	}
	_, err := hyspermit.DecodeReply(hyspermit.EncodeReply(nil, hyspermit.ErrDeclined), time.Now())
	g.Expect(err).To(gomega.MatchError(hyspermit.ErrDeclined))
}
