package hysfront_test

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysroute"
	"hyssopshore/io/hysfront"
)

var _ = Describe("configurations from the store and from another daemon at once", func() {
	It("never go back, and the first of them is announced once", func() {
		const daemons, versions = 1000, 4
		for range daemons {
			front := hysfront.New(hysfront.Settings{Instance: "entry"}, hysfront.Source{}, headers, slog.New(slog.DiscardHandler))
			// All begin within nanoseconds, since that is how short the moment is.
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
					front.Configure(c)
				})
			}
			wait.Wait()
			Expect(panics).To(BeEmpty())
			Expect(front.Version()).To(BeEquivalentTo(versions))
		}
	})
})
