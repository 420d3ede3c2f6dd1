package hysforward_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysforward"
)

// atConnectionLimit returns a searcher that closes each new connection at once.
func atConnectionLimit() hysmember.Searcher {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	return hysmember.Searcher{ID: "s-1", Address: hysmember.Address(listener.Addr().String())}
}

var _ = Describe("prewarmed connections", func() {
	complete := responseCase{Send: "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n"}
	ctx := context.Background()
	var client *hysforward.Client

	BeforeEach(func() {
		client = hysforward.New(headers)
		DeferCleanup(client.Close)
	})

	It("carry the next request and are opened only once", func() {
		s := serve(complete)
		defer s.listener.Close()
		Expect(client.Connected(s.searcher())).To(BeFalse())
		opened, failures := client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(opened).To(Equal(1))
		Expect(failures).To(BeEmpty())
		Expect(client.Connected(s.searcher())).To(BeTrue())
		opened, _ = client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(opened).To(BeZero())
		Expect(client.Send(ctx, s.searcher(), request(0)).Fault).To(Equal(hysdispatch.FaultNone))
		Expect(s.opened.Load()).To(BeEquivalentTo(1))
		opened, _ = client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(opened).To(BeZero(), "the request has returned its connection")
	})

	It("are opened again when the searcher has closed them", func() {
		s := serve(responseCase{Send: complete.Send, End: "close"})
		defer s.listener.Close()
		client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		client.Send(ctx, s.searcher(), request(0))
		time.Sleep(20 * time.Millisecond)
		opened, _ := client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(opened).To(Equal(1))
		Expect(client.Connected(s.searcher())).To(BeTrue())
	})

	It("that break before use do not count as a searcher fault", func() {
		s := serve(responseCase{End: "close"})
		defer s.listener.Close()
		client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(client.Send(ctx, s.searcher(), request(0)).Fault).To(Equal(hysdispatch.FaultSilent))
	})

	It("back off after a searcher has reset one", func() {
		s := atConnectionLimit()
		opened, _ := client.Prewarm(ctx, hysmember.Searchers{s})
		Expect(opened).To(Equal(1))
		time.Sleep(20 * time.Millisecond)
		opened, _ = client.Prewarm(ctx, hysmember.Searchers{s})
		Expect(opened).To(BeZero())
		Expect(client.Connected(s)).To(BeFalse())
	})

	It("back off after a searcher has refused one", func() {
		s := serve(complete)
		s.listener.Close()
		_, failures := client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(failures).To(HaveKey(s.searcher().ID))
		opened, failures := client.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(opened).To(BeZero())
		Expect(failures).To(BeEmpty())
	})

	It("report a searcher that refuses connections", func() {
		s := serve(complete)
		s.listener.Close()
		var down []hysmember.SearcherID
		reporting := hysforward.New(headers, hysforward.WithRefusedFunc(func(s hysmember.Searcher) { down = append(down, s.ID) }))
		reporting.Send(ctx, s.searcher(), request(0))
		Expect(down).To(Equal([]hysmember.SearcherID{s.searcher().ID}))
		reporting.Send(ctx, atConnectionLimit(), request(0))
		Expect(down).To(HaveLen(1), "one that resets connections is up")
	})

	It("respect the connection cap", func() {
		s := serve(complete)
		defer s.listener.Close()
		capped := hysforward.New(headers, hysforward.WithConnectionCap(func(hysmember.Searcher) int { return 0 }))
		_, failures := capped.Prewarm(ctx, hysmember.Searchers{s.searcher()})
		Expect(failures[s.searcher().ID]).To(MatchError(hysforward.ErrConnectionCap))
	})
})

var _ = Describe("a searcher at its connection limit", func() {
	It("gets no request once it has closed a new connection", func() {
		client := hysforward.New(headers)
		defer client.Close()
		s := atConnectionLimit()
		first := client.Send(context.Background(), s, request(0))
		Expect(first.NotRun).To(BeFalse(), "the request may have arrived")
		for range 5 {
			next := client.Send(context.Background(), s, request(0))
			Expect(next.Fault).To(Equal(hysdispatch.FaultRefused))
			Expect(next.NotRun).To(BeTrue(), next.Reason)
		}
	})
})
