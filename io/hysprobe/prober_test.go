package hysprobe

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hyssnapshot"
)

// TestChangesOutOfOrder passes the loss of a service on after it was regained: requests
// must be sent all the same.
func TestChangesOutOfOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(slog.New(slog.DiscardHandler))
	p.Dispatcher = hysdispatch.New(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
		return hysdispatch.Result{}
	}, hysdispatch.WithReach(p.Tracker.Reachable))
	searcher := hysmember.Searcher{ID: "s-1", Service: "desk", Address: "10.0.0.1:1"}
	p.Dispatcher.SetReplicas("desk", []hysdispatch.Replica{{
		Searcher: searcher, Holdings: []hyssnapshot.Holding{{Range: hyssnapshot.Range{To: hyssnapshot.KeySpace}}},
	}}, 1)
	p.SetTargets(hysreach.Targets{{Searcher: searcher}})
	p.handle(hysreach.Changes{{Kind: hysreach.ChangeServiceRegained, Service: "desk"}})
	p.handle(hysreach.Changes{{Kind: hysreach.ChangeServiceLost, Service: "desk"}})
	reply := p.Dispatcher.Submit(context.Background(), hysdispatch.SubRequest{
		RequestID: "r-1", Service: "desk", Idempotent: true, Deadline: time.Now().Add(time.Second),
	})
	g.Expect(reply.Status).To(gomega.Equal(hysquery.ShardAnswered), reply.Reason)
}
