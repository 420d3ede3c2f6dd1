package hyssearch_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssearch"
)

var _ = DescribeTable("an endless reply is abandoned within its limits", func(begin, repeat string) {
	const sends, heap = 6, 192 << 20
	listener, address := hystest.Endless{Begin: begin, Repeat: repeat}.Serve()
	defer listener.Close()
	client := hyssearch.New()
	defer client.Close()
	to := hysmember.Searcher{ID: "s-1", Address: address}
	grown := hystest.HeapGrowth()
	var wait sync.WaitGroup
	for range sends {
		wait.Go(func() {
			defer GinkgoRecover()
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			result := client.Send(ctx, to, hysdispatch.SubRequest{
				RequestID: "r", Idempotent: true, Body: []byte(`{}`), Deadline: time.Now().Add(time.Second),
			})
			Expect(result.Fault.String()).To(BeElementOf("lost", "silent"))
		})
	}
	wait.Wait()
	Expect(grown()).To(BeNumerically("<", uint64(heap)), "bytes of heap")
},
	Entry("in the head", "HTTP/1.1 200 OK\r\nX-Field: ", "0123456789abcdef"),
	Entry("in the status line", "HTTP/1.1 200 ", "OK"),
	Entry("in the body", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "0123456789abcdef"),
)
