package hysrelay_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hyspermit"
	"hyssopshore/io/hysrelay"
)

// recordedCall is one call between two daemons of an earlier build, as it went over the
// wire, in testdata/recorded.json.
type recordedCall struct {
	Build         string            `json:"build"`
	Call          string            `json:"call"`
	RequestHeader map[string]string `json:"request-header"`
	Request       []byte            `json:"request"`
	ReplyHeader   map[string]string `json:"reply-header"`
	Reply         []byte            `json:"reply"`
}

// receivedCalls is what a daemon has made of the calls of another one.
type receivedCalls struct {
	follow hysrelay.FollowRequest
	gather hysingress.Delegation
	run    []hysdispatch.SubRequest
	permit hyspermit.Request
}

// handler returns a handler that keeps what it receives.
func (r *receivedCalls) handler() http.Handler {
	return hysrelay.NewHandler(
		func(_ context.Context, request hysrelay.FollowRequest) hysrelay.FollowReply {
			r.follow = request
			return hysrelay.FollowReply{}
		},
		func(_ context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			r.gather = d
			return hysingress.DelegationResult{}, accept()
		},
		func(_ context.Context, subs []hysdispatch.SubRequest, _ func() error) (<-chan hysrelay.RunResult, error) {
			r.run = subs
			return nil, errBusy
		},
		func(request hyspermit.Request) (hyslimit.Grants, error) {
			r.permit = request
			return nil, nil
		})
}

// send sends the recorded request.
func (c recordedCall) send(handler http.Handler) {
	r := httptest.NewRequest(http.MethodPost, "/hyssopshore.front.v1.FrontService/"+c.Call, bytes.NewReader(c.Request))
	for name, value := range c.RequestHeader {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	Expect(w.Code).To(Equal(http.StatusOK))
}

// serve answers each call with the recorded reply, and returns the address.
func (c recordedCall) serve() hysmember.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range c.ReplyHeader {
			w.Header().Set(name, value)
		}
		_, _ = w.Write(c.Reply)
	}))
	DeferCleanup(server.Close)
	return hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
}

// Guards against a message that daemons of an earlier build can't exchange with those of
// this one, while machines are replaced one after the other.
var _ = Describe("a call that was recorded between daemons of an earlier build", func() {
	var calls []recordedCall
	hyssuite.Read("recorded.json", &calls)
	byName := make(map[string]recordedCall)
	for _, c := range calls {
		byName[c.Call] = c
	}
	message := &hysmessage.Request{
		Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "rota.example", Header: http.Header{"X-Two": {"1", "2"}}, Body: []byte("body"),
	}

	It("is read as a request", func() {
		var received receivedCalls
		for _, c := range calls {
			c.send(received.handler())
		}
		Expect(received.gather.Message).To(Equal(message))
		Expect(received.gather.Configuration).To(BeEquivalentTo(7))
		Expect(received.gather).To(And(HaveField("UsedAttempts", 1), HaveField("Attempts", 1), HaveField("Confirmed", BeNil())))
		Expect(received.run).To(HaveLen(2))
		Expect(received.run[0].Message).To(Equal(message))
		Expect(received.run[0]).To(And(HaveField("RequestID", BeEquivalentTo("r-1")), HaveField("Service", BeEquivalentTo("d0")),
			HaveField("Idempotent", true), HaveField("Returning", true), HaveField("RetryNotRun", true)))
		// The sender confirms nothing, and counts one run if it takes this daemon for silent.
		Expect(received.run).To(HaveEach(And(HaveField("MaxRuns", 1), HaveField("Confirmed", BeNil()))))
		Expect(received.follow).To(Equal(hysrelay.FollowRequest{
			Since: hysrelay.Cursor{Incarnation: "start-1", Version: 3}, Wait: 40 * time.Millisecond,
			Departures: hysmember.Departures{{ID: "s-4", StartTime: 13}}, Era: 2,
		}))
		Expect(received.permit.Group).To(Equal(hyslimit.Group{Region: "r", Number: 3}))
		Expect(received.permit.Skipped).To(Equal(hyslimit.SkippedSilent))
		Expect(received.permit.Asks).To(ConsistOf(And(HaveField("Wanted", 4), HaveField("Waiting", 2), HaveField("Limit.Rate", BeEquivalentTo(40)))))
	})

	It("is read as a reply", func(ctx SpecContext) {
		client := hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
		DeferCleanup(client.Close)
		answer, err := client.Gather(ctx, byName["Gather"].serve(), hysingress.Delegation{Message: message, Start: time.Now(), Goal: time.Minute}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Response).To(Equal(hysmessage.Response{Status: 503, Header: http.Header{"Retry-After": {"0.25"}}, Body: []byte("later")}))
		Expect(answer.Record).To(And(HaveField("Outcome", hysingress.OutcomeRefused), HaveField("Reason", "full"), HaveField("Sends", 6)))

		replies := make(map[int]hysdispatch.SubReply)
		subs := []hysdispatch.SubRequest{{Message: message, Deadline: time.Now().Add(time.Minute)}, {Message: message}}
		err = client.Run(ctx, byName["Run"].serve(), subs, hysrelay.RunOptions{}, func(r hysrelay.RunResult) { replies[r.Index] = r.Reply })
		Expect(err).NotTo(HaveOccurred())
		Expect(replies[0].Message).To(Equal(&hysmessage.Response{Status: 201, Header: http.Header{"X-Sig": {"s"}}, Body: []byte("done")}))
		Expect(replies[1]).To(And(HaveField("NotRun", true), HaveField("Unreachable", true), HaveField("PossibleRuns", 1), HaveField("Reason", "none in reach")))

		reply, err := client.Follow(ctx, byName["Follow"].serve(), hysrelay.FollowRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(Equal(hysmember.Revision{Era: 2, Number: 70}))
		Expect(reply.Instances).To(Equal(hysmember.Instances{{ID: "i-1", Address: "10.0.0.2:90", Zone: "z", Region: "r", ProcessorShare: 0.5}}))
		Expect(reply.Searchers.Removals).To(HaveLen(1))

		grants, err := client.Permits(ctx, hysmember.Instance{Address: byName["Permits"].serve()}, hyspermit.Request{})
		Expect(err).NotTo(HaveOccurred())
		Expect(grants).To(Equal(hyslimit.Grants{{Searcher: "s-1", Incarnation: 7, Permits: 5, Rate: 12.5, Interval: 100 * time.Millisecond}}))
	})

	It("is what this build sends", func(ctx SpecContext) {
		sent := make(chan []byte, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := new(bytes.Buffer)
			_, _ = body.ReadFrom(r.Body)
			sent <- body.Bytes()
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		client := hysrelay.NewClient()
		DeferCleanup(client.Close)
		_, err := client.Follow(ctx, hysmember.Address(strings.TrimPrefix(server.URL, "http://")), hysrelay.FollowRequest{
			Since: hysrelay.Cursor{Incarnation: "start-1", Version: 3}, Wait: 40 * time.Millisecond,
			Departures: hysmember.Departures{{ID: "s-4", StartTime: 13}}, Era: 2,
		})
		Expect(err).To(HaveOccurred())
		Expect(<-sent).To(Equal(byName["Follow"].Request))
	})
})
