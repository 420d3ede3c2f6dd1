package hysfront_test

import (
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
	"hyssopshore/io/hysrelay"
)

var _ = Describe("a configuration that can't be decoded", func() {
	It("does not keep a daemon from the searchers that another one sends with it", func() {
		d := newDaemon("127.0.0.74")
		entries := hysmember.Entries{searcher("s-1", 0)}
		other := serveFollowers("127.0.0.75", func(hysrelay.FollowRequest) hysrelay.FollowReply {
			return hysrelay.FollowReply{
				Cursor: hysrelay.Cursor{Incarnation: "other", Version: 3}, Revision: hystest.Revision(5),
				Configuration: []byte("four"), ConfigurationRevision: hystest.Revision(5),
				Searchers: hysmember.Delta{Version: 3, Full: true, Entries: entries},
			}
		})
		d.start(&store{unavailable: true, peers: hysmember.Instances{other, d.instance()}})
		Eventually(d.log.String, "2s").Should(And(ContainSubstring("configuration not usable"), ContainSubstring(`"msg":"searcher joined"`)))
		Expect(d.ready()).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("concurrent configurations from the store and from another daemon", func() {
	It("never revert to an older version, and signal the first one only once", func() {
		const daemons, versions = 1000, 4
		for range daemons {
			front := hysfront.New(hysfront.Settings{Instance: "entry"}, hysfront.Source{}, headers, slog.New(slog.DiscardHandler))
			// All of them start within nanoseconds, since the race window is that
			// short.
			var waiting atomic.Int64
			panics := make(chan any, versions)
			var wait sync.WaitGroup
			for version := range versions {
				c := (&store{version: hysroute.Version(version + 1)}).configuration()
				wait.Go(func() {
					defer func() {
						if p := recover(); p != nil {
							panics <- p
						}
					}()
					waiting.Add(1)
					for waiting.Load() < versions {
						runtime.Gosched()
					}
					front.ApplyConfiguration(c)
				})
			}
			wait.Wait()
			Expect(panics).To(BeEmpty())
			Expect(front.Version()).To(BeEquivalentTo(versions))
		}
	})
})
