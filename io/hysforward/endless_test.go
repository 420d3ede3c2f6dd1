package hysforward_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysforward"
)

// endlessCase is one case of testdata/endless.json.
type endlessCase struct {
	Name string `json:"name"`
	hystest.Endless
}

const (
	// endlessMemory is what all responses together may hold, endlessHeap what
	// the heap may grow by: buffers grow by copying, and garbage is collected late.
	endlessMemory = 8 << 20
	endlessHeap   = 6 * endlessMemory
	// endlessSends run at once, each at a searcher of its own.
	endlessSends = 40
	endlessTime  = 1500 * time.Millisecond
)

var _ = Describe("a response without end", func() {
	var cases []endlessCase
	hyssuite.Read("endless.json", &cases)
	for _, c := range cases {
		It("is given up within bounds, and other requests go on: "+c.Name, func() {
			endless, address := c.Serve()
			defer endless.Close()
			sound := serve(responseCase{Send: "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody"})
			defer sound.listener.Close()
			client := hysforward.New(headers, hysforward.WithResponseMemory(endlessMemory))
			searchers := hysmember.Searchers{sound.searcher()}
			for i := range endlessSends {
				searchers = append(searchers, hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprint("e-", i)), Address: address})
			}
			// A machine that is busy with the first responses may open no connection in time.
			connected := func() bool {
				client.Prewarm(context.Background(), searchers)
				return !slices.ContainsFunc(searchers, func(s hysmember.Searcher) bool { return !client.Connected(s) })
			}
			Eventually(connected, "10s").Should(BeTrue())
			grown := hystest.HeapGrowth()
			var wait sync.WaitGroup
			for _, s := range searchers[1:] {
				wait.Go(func() {
					defer GinkgoRecover()
					sub, started := request(0), time.Now()
					sub.Deadline = started.Add(endlessTime)
					ctx, stop := context.WithDeadline(context.Background(), sub.Deadline)
					defer stop()
					result := client.Send(ctx, s, sub)
					Expect(result.Fault.String()).To(BeElementOf("lost", "cancelled"), result.Reason)
					Expect(result.NotRun).To(BeFalse())
					Expect(result.Message).To(BeNil())
					Expect(time.Since(started)).To(BeNumerically("<", endlessTime+500*time.Millisecond))
				})
			}
			for range 5 {
				result := client.Send(context.Background(), sound.searcher(), request(0))
				Expect(result.Fault).To(Equal(hysdispatch.FaultNone), result.Reason)
				time.Sleep(20 * time.Millisecond)
			}
			wait.Wait()
			Expect(grown()).To(BeNumerically("<", uint64(endlessHeap)), "bytes of heap")
		})
	}
})
