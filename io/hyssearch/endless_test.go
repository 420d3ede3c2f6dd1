package hyssearch_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssearch"
)

// serveEndless begins each reply with some bytes and never ends it.
func serveEndless(begin, repeat string) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	block := make([]byte, 0, 32<<10)
	for len(block) < 32<<10 {
		block = append(block, repeat...)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = conn.Write([]byte(begin))
				}
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return listener
}

var _ = DescribeTable("a reply without end is given up within bounds", func(begin, repeat string) {
	const sends, heap = 6, 192 << 20
	listener := serveEndless(begin, repeat)
	defer listener.Close()
	client := hyssearch.New()
	defer client.Close()
	to := hysmember.Searcher{ID: "s-1", Address: hysmember.Address(listener.Addr().String())}
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
