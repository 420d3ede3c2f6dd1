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
	// endlessMemory bounds the memory for all responses, endlessHeap the growth
	// of the heap: buffers grow by copying, and garbage is collected late.
	endlessMemory = 8 << 20
	endlessHeap   = 6 * endlessMemory
	// endlessSends is the number of concurrent sends, each to its own searcher.
	endlessSends = 40
	endlessTime  = 1500 * time.Millisecond
)

var _ = Describe("a response without end", func() {
	var cases []endlessCase
	hyssuite.Read("endless.json", &cases)
	for _, c := range cases {
		It("is abandoned within its limits while other requests succeed: "+c.Name, func() {
			endless, address := c.Serve()
			defer endless.Close()
			healthy := serve(responseCase{Send: "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\nbody"})
			defer healthy.listener.Close()
			client := hysforward.New(headers, hysforward.WithResponseMemory(endlessMemory))
			searchers := hysmember.Searchers{healthy.searcher()}
			for i := range endlessSends {
				searchers = append(searchers, hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprint("e-", i)), Address: address})
			}
			// A busy machine may fail to open some connections in time, so retry.
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
				result := client.Send(context.Background(), healthy.searcher(), request(0))
				Expect(result.Fault).To(Equal(hysdispatch.FaultNone), result.Reason)
				time.Sleep(20 * time.Millisecond)
			}
			wait.Wait()
			Expect(grown()).To(BeNumerically("<", uint64(endlessHeap)), "bytes of heap")
		})
	}
})
