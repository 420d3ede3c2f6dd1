package hyssearch_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyssearch"
)

func TestSearch(t *testing.T) {
	hyssuite.Run(t, "Search")
}

var _ = Describe("the client", func() {
	var (
		searcher *hysstandin.Searcher
		listener *hysstandin.Listener
		server   *httptest.Server
		member   hysmember.Searcher
		client   *hyssearch.Client
		// hang makes the searcher stop answering on every connection.
		hang atomic.Bool
	)

	BeforeEach(func() {
		searcher = hysstandin.NewSearcher(hysstandin.SearcherSettings{
			ID: "s", Service: "band-roll", Slots: 2, ServiceMeanUS: 1000,
			Holdings: []hyssearch.InfoHolding{{Epoch: 1, Versions: []hyssnapshot.Version{1}}},
		}, 1, func() {})
		hang.Store(false)
		handler := searcher.Handler()
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !hang.Load() {
				handler.ServeHTTP(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		listener = hysstandin.NewListener(server.Listener, 4, 0)
		server.Listener = listener
		server.Start()
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		member = hysmember.Searcher{ID: "s", Address: hysmember.Address(server.Listener.Addr().String())}
		client = hyssearch.New(hyssearch.WithConnectionCap(4))
		DeferCleanup(client.Close)
	})

	send := func(timeout time.Duration, idempotent bool) hysdispatch.Result {
		ctx, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		return client.Send(ctx, member, hysdispatch.SubRequest{
			RequestID: "r", Service: "band-roll", Idempotent: idempotent, Version: 1, Epoch: 1,
			Body: []byte(`{}`), Deadline: time.Now().Add(timeout),
		})
	}

	It("reports a silent connection as silent, not lost", func() {
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
		listener.SilenceHalf()
		Expect(send(100*time.Millisecond, true).Fault).To(Equal(hysdispatch.FaultSilent))
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
	})

	It("reports a searcher that is silent on every connection as lost", func() {
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
		hang.Store(true)
		Expect(send(100*time.Millisecond, true).Fault).To(Equal(hysdispatch.FaultLost))
	})

	It("sends a non-idempotent request on a probed connection, not on a silent one", func() {
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
		listener.SilenceHalf()
		Expect(send(time.Second, false).Fault).To(Equal(hysdispatch.FaultNone))
		Expect(searcher.Runs()).To(HaveLen(2))
	})

	It("resends if the searcher has closed the idle connection", func() {
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
		server.CloseClientConnections()
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
	})

	It("cancels a search and keeps its connection", func() {
		searcher.SetFault(hysstandin.SearcherFault{SlowFactor: 1000})
		Expect(send(30*time.Millisecond, true).Fault).To(Equal(hysdispatch.FaultCancelled))
		searcher.SetFault(hysstandin.SearcherFault{})
		Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultNone))
		// One connection for the search, one for its cancellation.
		Expect(listener.Counts().Accepted).To(Equal(2))
	})

	It("does not exceed its connection cap", func() {
		searcher.SetFault(hysstandin.SearcherFault{SlowFactor: 200})
		results := make(chan hysdispatch.Fault, 8)
		for range 8 {
			go func() { results <- send(time.Second, true).Fault }()
		}
		for range 8 {
			Expect(<-results).To(BeElementOf(hysdispatch.FaultNone, hysdispatch.FaultShed))
		}
		Expect(listener.Counts().Peak).To(BeNumerically("<=", 4))
	})

	DescribeTable("a reply to another request is rejected",
		func(f hysstandin.SearcherFault) {
			searcher.SetFault(f)
			Expect(send(time.Second, true).Fault).To(Equal(hysdispatch.FaultLost))
		},
		Entry("another version", hysstandin.SearcherFault{WrongVersion: true}),
		Entry("another request id", hysstandin.SearcherFault{CrossReplies: true}),
	)
})
