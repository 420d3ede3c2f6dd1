package hysrelay_test

import (
	"context"
	"hyssopshore/internal/hystest"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysrelay"
)

func TestRelay(t *testing.T) {
	hyssuite.Run(t, "Relay")
}

// serve starts a server that answers with a FollowFunc, and returns its address.
func serve(follow hysrelay.FollowFunc) hysmember.Address {
	server := httptest.NewServer(hysrelay.NewHandler(follow, nil, nil, nil))
	DeferCleanup(server.Close)
	return hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
}

var _ = Describe("the updates of a daemon", func() {
	var client *hysrelay.Client

	BeforeEach(func() {
		client = hysrelay.NewClient()
		DeferCleanup(client.Close)
	})

	It("arrive as they were sent, and so does the request for them", func(ctx SpecContext) {
		sent := hysrelay.FollowReply{
			Cursor: hysrelay.Cursor{Incarnation: "start-2", Version: 9}, Revision: hystest.Revision(70), Age: 30 * time.Millisecond,
			Configuration: []byte("raw"), ConfigurationRevision: hystest.Revision(60),
			Searchers: hysmember.Delta{Version: 9, Full: true, Digest: 77,
				Entries: hysmember.Entries{{
					Searcher: hysmember.Searcher{ID: "s-1", Service: "roll", Address: "10.0.0.1:80", Zone: "z", Leaving: true},
					Slots:    3, StartTime: 4, Sequence: 5, Revision: hystest.Revision(6),
				}},
				Removals:   []hysmember.Removal{{ID: "s-2", Revision: hystest.Revision(8)}},
				Departures: hysmember.Departures{{ID: "s-3", StartTime: 12}},
			},
			Instances: hysmember.Instances{{ID: "i-1", Address: "10.0.0.2:90", Zone: "z", Region: "r"}},
			Suspects: hysquarantine.Records{{
				Key:     hysquarantine.Key{Fingerprint: "f00d"},
				Crashes: []hysquarantine.Crash{{Searcher: "s-1", Event: "4"}, {Searcher: "s-2", Event: "5"}},
				Lifted:  []hysquarantine.Crash{{Searcher: "s-1", Event: "4"}},
				Expires: time.Unix(9000, 0),
			}},
		}
		var received hysrelay.FollowRequest
		address := serve(func(_ context.Context, request hysrelay.FollowRequest) hysrelay.FollowReply {
			received = request
			return sent
		})
		request := hysrelay.FollowRequest{
			Since: hysrelay.Cursor{Incarnation: "start-1", Version: 3}, Wait: 40 * time.Millisecond,
			Departures: hysmember.Departures{{ID: "s-4", StartTime: 13}},
		}
		began := time.Now()
		n, err := client.Follow(ctx, address, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Age).To(And(BeNumerically(">=", sent.Age), BeNumerically("<=", sent.Age+time.Since(began))), "the way is added")
		n.Age = sent.Age
		Expect(n).To(Equal(sent))
		Expect(received).To(Equal(request))
	})

	It("are not waited for longer than the answering daemon allows", func(ctx SpecContext) {
		var waited time.Duration
		address := serve(func(_ context.Context, request hysrelay.FollowRequest) hysrelay.FollowReply {
			waited = request.Wait
			return hysrelay.FollowReply{}
		})
		_, err := client.Follow(ctx, address, hysrelay.FollowRequest{Wait: time.Hour})
		Expect(err).NotTo(HaveOccurred())
		Expect(waited).To(BeNumerically("<", time.Minute))
	})

	It("are abandoned soon after the wait if the daemon hangs", func(ctx SpecContext) {
		// The daemon learns of the end of the call, but must not answer then.
		hang := make(chan struct{})
		address := serve(func(context.Context, hysrelay.FollowRequest) hysrelay.FollowReply {
			<-hang
			return hysrelay.FollowReply{}
		})
		DeferCleanup(func() { close(hang) })
		began := time.Now()
		_, err := client.Follow(ctx, address, hysrelay.FollowRequest{Wait: 100 * time.Millisecond})
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})
})
