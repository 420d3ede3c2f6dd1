package hysgather_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hyspartial"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// answers makes a Submit from how each service replies.
type answers map[hysservice.Name]func(context.Context) hysdispatch.SubReply

func (a answers) submit(ctx context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
	return a[sub.Service](ctx)
}

func part(context.Context) hysdispatch.SubReply {
	return hysdispatch.SubReply{Message: &hysmessage.Response{Status: 200}}
}

func refusal(context.Context) hysdispatch.SubReply {
	return hysdispatch.SubReply{Status: hysquery.ShardOverloaded, NotRun: true, RetryAfter: 70 * time.Millisecond}
}

// endless replies only when its context ends.
func endless(sent bool) func(context.Context) hysdispatch.SubReply {
	return func(ctx context.Context) hysdispatch.SubReply {
		<-ctx.Done()
		return hysdispatch.SubReply{Status: hysquery.ShardTimeout, NotRun: !sent}
	}
}

func spread(a answers, goal, deadline time.Duration) hysgather.DirectFanOutResult {
	now := time.Now()
	s := &hysgather.DirectFanOut{
		Submit: a.submit, Deadline: now.Add(deadline),
		Policy: hyspartial.Policy{Shards: len(a), Minimum: len(a) - 1, Goal: now.Add(goal)},
	}
	for i := range len(a) {
		s.SubRequests = append(s.SubRequests, hysdispatch.SubRequest{Service: hysservice.Name(fmt.Sprint("d", i))})
	}
	return s.Run(context.Background())
}

var _ = Describe("a query that this instance dispatches itself", func() {
	It("waits for all parts before the goal", func() {
		r := spread(answers{"d0": part, "d1": part, "d2": func(ctx context.Context) hysdispatch.SubReply {
			time.Sleep(30 * time.Millisecond)
			return part(ctx)
		}}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictAnswer))
		Expect(r.Answered).To(Equal(3))
	})

	It("answers in part at the goal and ends what is no longer needed", func() {
		cause := make(chan error, 1)
		r := spread(answers{"d0": part, "d1": part, "d2": func(ctx context.Context) hysdispatch.SubReply {
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return hysdispatch.SubReply{}
		}}, 30*time.Millisecond, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictAnswer))
		Expect(r.Answered).To(Equal(2))
		Eventually(cause).Should(Receive(MatchError(hysdispatch.ErrNoLongerNeeded)))
	})

	It("gives up as soon as the minimum can't be reached, and knows that nothing ran", func() {
		started := time.Now()
		r := spread(answers{"d0": refusal, "d1": refusal, "d2": endless(false)}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.NotRun()).To(BeTrue())
		Expect(r.RetryAfter()).To(Equal(70 * time.Millisecond))
		Expect(time.Since(started)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("does not say so if one part may have run", func() {
		r := spread(answers{"d0": refusal, "d1": refusal, "d2": endless(true)}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.NotRun()).To(BeFalse())
	})

	It("gives up at the deadline below the minimum", func() {
		r := spread(answers{"d0": part, "d1": endless(true), "d2": endless(true)}, 20*time.Millisecond, 60*time.Millisecond)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.Answered).To(Equal(1))
	})
})
