package hysrelay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

var errBusy = &hysingress.DeclinedError{Reason: "busy", RetryAfter: 250 * time.Millisecond}

var _ = Describe("a query that is delegated to a daemon", func() {
	var client *hysrelay.Client
	var query hysingress.Delegation

	BeforeEach(func() {
		client = hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
		DeferCleanup(client.Close)
		query = hysingress.Delegation{
			Message: &hysmessage.Request{
				Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "rota.example",
				Header: http.Header{"X-Id": {"r-1"}, "X-Two": {"1", "2"}}, Body: []byte("body"),
			},
			Start: time.Now().Add(-40 * time.Millisecond), Goal: 100 * time.Millisecond, Configuration: 7, UsedAttempts: 1,
		}
	})

	startGatherer := func(gather hysrelay.GatherFunc) hysmember.Address {
		server := httptest.NewServer(hysrelay.NewHandler(nil, gather, nil, nil))
		DeferCleanup(server.Close)
		return hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	}

	It("arrives as it was sent, and so does its answer", func(ctx SpecContext) {
		want := hysingress.DelegationResult{
			Response: hysmessage.Response{Status: 503, Header: http.Header{"Retry-After": {"0.25"}}, Body: []byte("later")},
			Record: hysingress.Record{
				Outcome: hysingress.OutcomeRefused, Reason: "full", Configuration: 9, Shards: 10, Answered: 4, Sends: 6,
				RetryAfter: 250 * time.Millisecond,
			},
		}
		var got hysingress.Delegation
		address := startGatherer(func(_ context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			got = d
			return want, accept()
		})
		answer, err := client.Gather(ctx, address, query, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(want))
		Expect(got.Message).To(Equal(query.Message))
		Expect(got.Configuration).To(Equal(query.Configuration))
		Expect(got.UsedAttempts).To(Equal(1))
		Expect(got.Start).To(BeTemporally("~", query.Start, 30*time.Millisecond))
	})

	It("may be declined, with a time after which to try again", func(ctx SpecContext) {
		address := startGatherer(func(context.Context, hysingress.Delegation, func() error) (hysingress.DelegationResult, error) {
			return hysingress.DelegationResult{}, errBusy
		})
		_, err := client.Gather(ctx, address, query, 0)
		var declined *hysingress.DeclinedError
		Expect(errors.As(err, &declined)).To(BeTrue())
		Expect(declined).To(Equal(errBusy))
	})

	It("fails soon if it is not accepted in time", func(ctx SpecContext) {
		ended := make(chan struct{})
		address := startGatherer(func(ctx context.Context, _ hysingress.Delegation, _ func() error) (hysingress.DelegationResult, error) {
			<-ctx.Done()
			close(ended)
			return hysingress.DelegationResult{}, ctx.Err()
		})
		strict := hysrelay.NewClient()
		DeferCleanup(strict.Close)
		began := time.Now()
		_, err := strict.Gather(ctx, address, query, 0)
		Expect(err).To(MatchError(hysrelay.ErrUnresponsive))
		Expect(err).NotTo(MatchError(hysingress.ErrGathererLost))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Eventually(ended, "1s").Should(BeClosed(), "the daemon's context ends")
	})

	It("is lost if the daemon fails after it has accepted it", func(ctx SpecContext) {
		address := startGatherer(func(_ context.Context, _ hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			Expect(accept()).To(Succeed())
			panic(http.ErrAbortHandler)
		})
		_, err := client.Gather(ctx, address, query, 0)
		Expect(err).To(MatchError(hysingress.ErrGathererLost))
	})

	It("is lost if the daemon accepts it and sends an answer that no daemon gives", func(ctx SpecContext) {
		address := startGatherer(func(_ context.Context, _ hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			return hysingress.DelegationResult{Response: hysmessage.Response{Status: 42}}, accept()
		})
		_, err := client.Gather(ctx, address, query, 0)
		Expect(err).To(MatchError(hysingress.ErrGathererLost))
		Expect(err).To(MatchError(hysrelay.ErrMalformed))
	})

	It("is abandoned soon after a share of its goal if the daemon has lost its power", func(ctx SpecContext) {
		hang := make(chan struct{})
		target := startGatherer(func(_ context.Context, _ hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
			Expect(accept()).To(Succeed())
			<-hang
			return hysingress.DelegationResult{}, errBusy
		})
		DeferCleanup(func() { close(hang) })
		// Only the first connection works.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go forwardFirst(listener, target)
		began := time.Now()
		_, err = client.Gather(ctx, hysmember.Address(listener.Addr().String()), query, 0)
		Expect(err).To(MatchError(hysingress.ErrGathererLost))
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})

	It("fails at a server that is no daemon", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
		DeferCleanup(server.Close)
		_, err := client.Gather(ctx, hysmember.Address(strings.TrimPrefix(server.URL, "http://")), query, 0)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(hysingress.ErrGathererLost))
	})
})

// forwardFirst forwards the first connection to an address, and accepts all others
// without sending a byte.
func forwardFirst(listener net.Listener, target hysmember.Address) {
	first, err := listener.Accept()
	if err != nil {
		return
	}
	onward, err := net.Dial("tcp", string(target))
	if err != nil {
		return
	}
	go func() { _, _ = onward.(*net.TCPConn).ReadFrom(first) }()
	go func() { _, _ = first.(*net.TCPConn).ReadFrom(onward) }()
	for {
		if _, err := listener.Accept(); err != nil {
			return
		}
	}
}
