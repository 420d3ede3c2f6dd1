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
