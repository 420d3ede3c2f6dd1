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

// answers holds how each service replies to a sub-request.
type answers map[hysservice.Name]func(context.Context) hysdispatch.SubReply

func (a answers) submit(ctx context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
	return a[sub.Service](ctx)
}

func result(context.Context) hysdispatch.SubReply {
	return hysdispatch.SubReply{Message: &hysmessage.Response{Status: 200}}
}

func refusal(context.Context) hysdispatch.SubReply {
	return hysdispatch.SubReply{Status: hysquery.ShardOverloaded, NotRun: true, RetryAfter: 70 * time.Millisecond}
}

// untilCancelled replies only when its context ends.
func untilCancelled(sent bool) func(context.Context) hysdispatch.SubReply {
	return func(ctx context.Context) hysdispatch.SubReply {
		<-ctx.Done()
		return hysdispatch.SubReply{Status: hysquery.ShardTimeout, NotRun: !sent}
	}
}

// runFanOut runs a fan-out over all answers, of which at most one may be
// missing.
func runFanOut(a answers, goal, deadline time.Duration) hysgather.DirectFanOutResult {
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

var _ = Describe("a direct fan-out", func() {
	It("waits for all shard results before the goal", func() {
		r := runFanOut(answers{"d0": result, "d1": result, "d2": func(ctx context.Context) hysdispatch.SubReply {
			time.Sleep(30 * time.Millisecond)
			return result(ctx)
		}}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictAnswer))
		Expect(r.Answered).To(Equal(3))
	})

	It("answers partially at the goal and cancels the outstanding sub-requests", func() {
		cause := make(chan error, 1)
		r := runFanOut(answers{"d0": result, "d1": result, "d2": func(ctx context.Context) hysdispatch.SubReply {
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return hysdispatch.SubReply{}
		}}, 30*time.Millisecond, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictAnswer))
		Expect(r.Answered).To(Equal(2))
		Eventually(cause).Should(Receive(MatchError(hysdispatch.ErrNoLongerNeeded)))
	})

	It("gives up as soon as the minimum can't be reached, and reports that nothing ran", func() {
		started := time.Now()
		r := runFanOut(answers{"d0": refusal, "d1": refusal, "d2": untilCancelled(false)}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.NotRun()).To(BeTrue())
		Expect(r.RetryAfter()).To(Equal(70 * time.Millisecond))
		Expect(time.Since(started)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("does not report that nothing ran if one sub-request may have run", func() {
		r := runFanOut(answers{"d0": refusal, "d1": refusal, "d2": untilCancelled(true)}, time.Second, 2*time.Second)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.NotRun()).To(BeFalse())
	})

	It("gives up at the deadline below the minimum", func() {
		r := runFanOut(answers{"d0": result, "d1": untilCancelled(true), "d2": untilCancelled(true)}, 20*time.Millisecond, 60*time.Millisecond)
		Expect(r.Verdict).To(Equal(hyspartial.VerdictGiveUp))
		Expect(r.Answered).To(Equal(1))
	})
})
