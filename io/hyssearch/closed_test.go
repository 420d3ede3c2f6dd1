package hyssearch_test

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/io/hyssearch"
)

var _ = Describe("a client", func() {
	It("sends nothing on a connection that a dead searcher has closed, so that no crash is attributed to the request", func() {
		for range 20 {
			searcher := hysstandin.NewSearcher(hysstandin.SearcherSettings{
				ID: "desk-0-0", Service: "captains-desk", Slots: 2, Records: 5,
				Holdings: []hyssearch.InfoHolding{{Epoch: 1, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{1}}},
			}, 1, func() {})
			server := httptest.NewServer(searcher.Handler())
			client := hyssearch.New()
			to := hysmember.Searcher{ID: "desk-0-0", Service: "captains-desk", Address: hysmember.Address(server.Listener.Addr().String())}
			send := func() hysdispatch.Result {
				return client.Send(context.Background(), to, hysdispatch.SubRequest{
					RequestID: "r", Service: "captains-desk", Group: "accra-ringers", Idempotent: true,
					Version: 1, Epoch: 1, Body: []byte(`{}`), Deadline: time.Now().Add(time.Second),
				})
			}
			Expect(send().Fault).To(Equal(hysdispatch.FaultNone))
			server.CloseClientConnections()
			Expect(send().Fault).To(Equal(hysdispatch.FaultNone), "a closed connection alone is no fault")
			server.CloseClientConnections()
			server.Close()
			result := send()
			client.Close()
			Expect(result.Fault).To(Equal(hysdispatch.FaultRefused), result.Reason)
			Expect(result.NotRun).To(BeTrue())
		}
	})
})
