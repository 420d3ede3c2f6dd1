package hysrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

// earlierBuild is a daemon of a build that knows no numbers of calls. It keeps what it
// reads, and declines.
type earlierBuild struct {
	frontconnect.UnimplementedFrontServiceHandler
	gather *front.GatherRequest
	run    *front.RunRequest
}

// Gather keeps a query.
func (e *earlierBuild) Gather(_ context.Context, r *connect.Request[front.GatherRequest], stream *connect.ServerStream[front.GatherReply]) error {
	e.gather = r.Msg
	return stream.Send(&front.GatherReply{Reason: "busy"})
}

// Run keeps sub-requests.
func (e *earlierBuild) Run(_ context.Context, r *connect.Request[front.RunRequest], stream *connect.ServerStream[front.RunReply]) error {
	e.run = r.Msg
	return stream.Send(&front.RunReply{Reason: "busy"})
}

var _ = Describe("a call that another daemon may accept unheard", func() {
	const soon = 300 * time.Millisecond
	var client *hysrelay.Client
	var query hysingress.Delegation
	var subs []hysdispatch.SubRequest
	var delegations chan hysingress.Delegation
	var received chan []hysdispatch.SubRequest
	var release chan struct{}

	BeforeEach(func() {
		client = hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
		DeferCleanup(client.Close)
		message := &hysmessage.Request{Method: http.MethodGet, Target: "/q", Host: "rota.example"}
		query = hysingress.Delegation{Message: message, Start: time.Now(), Goal: time.Minute, MaxAttempts: 3, UsedAttempts: 1}
		subs = []hysdispatch.SubRequest{{Service: "d0", MaxRuns: 2, Message: message, Idempotent: true, Deadline: time.Now().Add(time.Minute), Goal: time.Minute}}
		delegations, received = make(chan hysingress.Delegation, 1), make(chan []hysdispatch.SubRequest, 1)
		release = make(chan struct{})
	})

	// startDaemon starts a daemon that accepts everything and answers when release is
	// closed.
	startDaemon := func() hysmember.Address {
		// Handlers may outlive the spec, whose variables the next one sets anew.
		delegations, received, release := delegations, received, release
		gather := func(ctx context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			delegations <- d
			_ = accept()
			select {
			case <-release:
			case <-ctx.Done():
			}
			return hysingress.DelegationResult{Response: hysmessage.Response{Status: http.StatusOK}}, ctx.Err()
		}
		run := func(ctx context.Context, subs []hysdispatch.SubRequest, accept func() error) (<-chan hysrelay.RunResult, error) {
			received <- subs
			results := make(chan hysrelay.RunResult, 1)
			go func() {
				<-release
				results <- hysrelay.RunResult{Reply: hysdispatch.SubReply{Status: hysquery.ShardAnswered}}
			}()
			return results, accept()
		}
		server := httptest.NewServer(hysrelay.NewHandler(nil, gather, run, nil))
		DeferCleanup(server.Close)
		DeferCleanup(func() { close(release) })
		return hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	}

	gather := func(address hysmember.Address) { _, _ = client.Gather(context.Background(), address, query, 0) }
	run := func(address hysmember.Address) {
		_ = client.Run(context.Background(), address, subs, hysrelay.RunOptions{}, func(hysrelay.RunResult) {})
	}

	It("may use all its attempts once its sender knows that it is accepted", func() {
		address := startDaemon()
		go gather(address)
		d := <-delegations
		Expect(d.Attempts).To(Equal(2))
		Eventually(d.Confirmed, soon).Should(BeClosed())
		go run(address)
		parts := <-received
		Expect(parts[0].MaxRuns).To(Equal(2))
		Eventually(parts[0].Confirmed, soon).Should(BeClosed())
	})

	It("is not confirmed if the acceptance is lost", func() {
		way := hystest.NewProxy(startDaemon())
		DeferCleanup(way.Close)
		way.SetMuted(true)
		go gather(way.Address())
		d := <-delegations
		go run(way.Address())
		parts := <-received
		Consistently(d.Confirmed, soon).ShouldNot(BeClosed())
		Expect(parts[0].Confirmed).NotTo(BeClosed())
	})

	It("is not confirmed before the call of which it is a part", func() {
		confirmed := make(chan struct{})
		subs[0].Confirmed = confirmed
		go run(startDaemon())
		parts := <-received
		Consistently(parts[0].Confirmed, soon).ShouldNot(BeClosed())
		close(confirmed)
		Eventually(parts[0].Confirmed, soon).Should(BeClosed())
	})

	It("needs no confirmation for the last attempt", func() {
		address := startDaemon()
		query.UsedAttempts, subs[0].MaxRuns = 2, 1
		go gather(address)
		Expect(<-delegations).To(And(HaveField("Attempts", 1), HaveField("Confirmed", BeNil())))
		go run(address)
		Expect(<-received).To(HaveEach(And(HaveField("MaxRuns", 1), HaveField("Confirmed", BeNil()))))
	})

	It("leaves one attempt to a daemon of a build that is confirmed nothing", func(ctx SpecContext) {
		old := &earlierBuild{}
		mux := http.NewServeMux()
		mux.Handle(frontconnect.NewFrontServiceHandler(old))
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
		gather(address)
		run(address)
		Expect(query.MaxAttempts - int(old.gather.UsedAttempts)).To(Equal(1))
		Expect(old.run.Parts).To(HaveEach(HaveField("MaxRuns", BeEquivalentTo(1))))
	})
})
