package hyspeer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/internal/gen/peer/peerconnect"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyspeer"
)

const (
	secret = "test-secret-0123456789"
	// runTime is how long a sub-request runs: long enough to inject a fault
	// meanwhile.
	runTime = 30 * time.Millisecond
	// callerMargin is how much longer than a dispatcher the calling instance waits.
	callerMargin = time.Second
	// maxRecoveryTime bounds the detection and replacement of a silent connection.
	maxRecoveryTime = 900 * time.Millisecond
)

func TestPeer(t *testing.T) {
	hyssuite.Run(t, "Peer")
}

// dispatcher counts the sub-requests that it runs.
type dispatcher struct {
	runs    atomic.Int64
	started chan hysdispatch.SubRequest
}

func (d *dispatcher) submit(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
	d.runs.Add(1)
	d.started <- sub
	time.Sleep(runTime)
	return hysdispatch.SubReply{Shard: sub.Shard, Version: sub.Version, Epoch: sub.Epoch, Hits: [][]byte{sub.Body}}
}

// serve starts a dispatcher behind a proxy.
func serve(submit hyspeer.SubmitFunc) (*httptest.Server, *hystest.Proxy) {
	s := httptest.NewUnstartedServer(hyspeer.NewServer(secret, submit, nil, nil).Handler())
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	p := hystest.NewProxy(hysmember.Address(s.Listener.Addr().String()))
	DeferCleanup(func() {
		p.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return s, p
}

func newPart(once bool, shards ...hysservice.ShardID) hysgather.Part {
	return hysgather.Part{
		Query:   hysquery.Query{RequestID: "request-1", NonIdempotent: once, Body: json.RawMessage(`{}`)},
		Version: 1, Epoch: 1, Shards: shards, Deadline: time.Now().Add(2 * time.Second),
	}
}

func dispatch(c *hyspeer.Client, p *hystest.Proxy, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	ctx, cancel := context.WithDeadline(context.Background(), part.Deadline.Add(callerMargin))
	defer cancel()
	return c.Dispatch(ctx, hysmember.Instance{ID: "entry-2", Address: p.Address()}, part)
}

type faultCase struct {
	Name        string `json:"name"`
	Once        bool   `json:"once"`
	Fault       string `json:"fault"`
	When        string `json:"when"`
	OK          bool   `json:"ok"`
	NotSent     bool   `json:"not-sent"`
	Runs        int64  `json:"runs"`
	Connections int    `json:"connections"`
}

func (f faultCase) inject(p *hystest.Proxy) {
	switch f.Fault {
	case "freeze":
		p.Freeze(hystest.DirectionRequest, hystest.DirectionReply)
	case "freeze-replies":
		p.Freeze(hystest.DirectionReply)
	case "cut":
		p.CloseConnections()
	case "close":
		p.Close()
	}
}

func (f faultCase) check() {
	d := &dispatcher{started: make(chan hysdispatch.SubRequest, 10)}
	_, p := serve(d.submit)
	client := hyspeer.NewClient(secret)
	_, err := dispatch(client, p, newPart(false, 1))
	Expect(err).NotTo(HaveOccurred())
	<-d.started
	d.runs.Store(0)
	if f.When == "before" {
		// Sleep longer than probeAfter: a more recent answer would make the next
		// probe unnecessary.
		time.Sleep(150 * time.Millisecond)
		f.inject(p)
	}
	if f.NotSent {
		// A new client has no connection that it could still consider open.
		client = hyspeer.NewClient(secret)
	}
	started := time.Now()
	var injecting sync.WaitGroup
	if f.When == "during" {
		injecting.Go(func() {
			<-d.started
			f.inject(p)
		})
	}
	replies, err := dispatch(client, p, newPart(f.Once, 7))
	took := time.Since(started)
	injecting.Wait()
	Expect(err == nil).To(Equal(f.OK), "%v", err)
	Expect(errors.Is(err, hysgather.ErrNotSent)).To(Equal(f.NotSent), "%v", err)
	Expect(d.runs.Load()).To(Equal(f.Runs))
	Expect(p.Accepted()).To(Equal(f.Connections))
	if f.OK {
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Shard).To(Equal(hysservice.ShardID(7)))
		Expect(took).To(BeNumerically("<", maxRecoveryTime))
	}
}

var _ = Describe("a dispatch whose connection fails", func() {
	var cases []faultCase
	hyssuite.Read("faults.json", &cases)
	for _, f := range cases {
		It(f.Name, f.check)
	}
})

var _ = Describe("a dispatcher", func() {
	It("runs a non-idempotent request only once if it is delivered twice", func() {
		d := &dispatcher{started: make(chan hysdispatch.SubRequest, 10)}
		s, _ := serve(d.submit)
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		client := peerconnect.NewPeerServiceClient(&http.Client{Transport: transport}, s.URL)
		call := func(attempt uint64) error {
			m := &peer.DispatchRequest{RequestId: "request-1", Attempt: attempt, Shards: []uint32{1}, BudgetUs: 1_000_000}
			request := connect.NewRequest(m)
			request.Header().Set("X-Hyssopshore-Secret", secret)
			_, err := client.Dispatch(context.Background(), request)
			return err
		}
		Expect(call(1)).To(Succeed())
		Expect(call(1)).NotTo(Succeed())
		Expect(d.runs.Load()).To(Equal(int64(1)))
	})

	It("replies with the other shards when one shard hangs", func() {
		hang := make(chan struct{})
		defer close(hang)
		_, p := serve(func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			if sub.Shard == 2 {
				<-hang
			}
			return hysdispatch.SubReply{Shard: sub.Shard, Version: sub.Version, Epoch: sub.Epoch}
		})
		part := newPart(false, 1, 2, 3)
		part.Deadline = time.Now().Add(500 * time.Millisecond)
		replies, err := dispatch(hyspeer.NewClient(secret), p, part)
		Expect(err).NotTo(HaveOccurred())
		Expect(replies).To(HaveLen(3))
		Expect(replies[0].Status).To(Equal(hysquery.ShardAnswered))
		Expect(replies[1].Status).To(Equal(hysquery.ShardTimeout))
		Expect(replies[1].NotRun).To(BeFalse())
		Expect(replies[2].Status).To(Equal(hysquery.ShardAnswered))
	})

	It("gets a budget that leaves time for the round trip between regions", func() {
		budgets := make(chan time.Duration, 2)
		_, p := serve(func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			budgets <- time.Until(sub.Deadline)
			return hysdispatch.SubReply{Shard: sub.Shard, Version: sub.Version, Epoch: sub.Epoch}
		})
		p.SetDelay(40 * time.Millisecond)
		client := hyspeer.NewClient(secret)
		for range 2 {
			part := newPart(false, 1)
			left := time.Until(part.Deadline)
			_, err := dispatch(client, p, part)
			Expect(err).NotTo(HaveOccurred())
			Expect(left - <-budgets).To(BeNumerically(">=", 25*time.Millisecond))
		}
		part := newPart(false, 1)
		left := time.Until(part.Deadline)
		_, err := dispatch(client, p, part)
		Expect(err).NotTo(HaveOccurred())
		Expect(left - <-budgets).To(BeNumerically(">=", 80*time.Millisecond))
	})
})

// refusingServer reads each request to its end, counts it and refuses its
// stream.
func refusingServer(arrived *atomic.Int64) hysmember.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go refuse(c, arrived)
		}
	}()
	return hysmember.Address(l.Addr().String())
}

func refuse(c net.Conn, arrived *atomic.Int64) {
	defer c.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := c.Read(preface); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if data, ok := frame.(*http2.DataFrame); ok && data.StreamEnded() {
			arrived.Add(1)
			_ = framer.WriteRSTStream(data.StreamID, http2.ErrCodeRefusedStream)
		}
	}
}

// tamperer alters its replies so that they belong to another request.
type tamperer struct {
	peerconnect.UnimplementedPeerServiceHandler
	tamper func(*peer.DispatchReply)
}

// Dispatch returns an altered reply.
func (s tamperer) Dispatch(_ context.Context, r *connect.Request[peer.DispatchRequest]) (*connect.Response[peer.DispatchReply], error) {
	reply := &peer.DispatchReply{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt()}
	for _, shard := range r.Msg.GetShards() {
		reply.Shards = append(reply.Shards, &peer.ShardReply{Shard: shard, Version: 1, Epoch: 1})
	}
	s.tamper(reply)
	return connect.NewResponse(reply), nil
}

var _ = DescribeTable("a reply that belongs to another request is discarded",
	func(tamper func(*peer.DispatchReply), valid bool) {
		mux := http.NewServeMux()
		mux.Handle(peerconnect.NewPeerServiceHandler(tamperer{tamper: tamper}))
		s := httptest.NewUnstartedServer(mux)
		s.Config.Protocols = new(http.Protocols)
		s.Config.Protocols.SetUnencryptedHTTP2(true)
		s.Start()
		DeferCleanup(s.Close)
		to := hysmember.Instance{ID: "entry-2", Address: hysmember.Address(s.Listener.Addr().String())}
		_, err := hyspeer.NewClient(secret).Dispatch(context.Background(), to, newPart(false, 1, 2))
		Expect(errors.Is(err, hyspeer.ErrMismatch)).To(Equal(!valid), "%v", err)
		Expect(errors.Is(err, hysgather.ErrNotSent)).To(BeFalse())
	},
	Entry("a matching reply", func(*peer.DispatchReply) {}, true),
	Entry("of another request", func(r *peer.DispatchReply) { r.RequestId += "0" }, false),
	Entry("of an earlier attempt", func(r *peer.DispatchReply) { r.Attempt-- }, false),
	Entry("truncated", func(r *peer.DispatchReply) { r.Shards = r.Shards[:1] }, false),
	Entry("doubled", func(r *peer.DispatchReply) { r.Shards[1] = r.Shards[0] }, false),
	Entry("of another shard", func(r *peer.DispatchReply) { r.Shards[1].Shard = 9 }, false),
)

var _ = Describe("the HTTP library", func() {
	for once, expected := range map[bool]string{true: "does not resend a non-idempotent request", false: "resends an idempotent one"} {
		It(fmt.Sprintf("%s on a refused stream", expected), func() {
			var arrived atomic.Int64
			p := hystest.NewProxy(refusingServer(&arrived))
			DeferCleanup(p.Close)
			_, err := hyspeer.DispatchWithoutProbe(hyspeer.NewClient(secret), p.Address(), newPart(once, 1))
			Expect(err).To(HaveOccurred())
			if once {
				Expect(arrived.Load()).To(Equal(int64(1)))
			} else {
				Expect(arrived.Load()).To(BeNumerically(">", 1))
			}
		})
	}
})
