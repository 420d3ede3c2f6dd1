package hysfront_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

// statusSearcher starts a searcher whose every response has a status, and returns its
// entry.
func statusSearcher(status string) hysmember.Entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	answer := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Text\r\nX-Id: %s\r\nX-Sig: s\r\nContent-Length: 16\r\n\r\n0123456789abcdef", status, r.Header.Get("X-Id"))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return hysmember.Entry{
		Searcher: hysmember.Searcher{ID: "s-1", Service: "roll", Address: hysmember.Address(listener.Addr().String()), Zone: "z"},
		Slots:    2, Revision: hystest.Revision(1),
	}
}

// Guards against a status that is none, on each path from a searcher to a caller. The
// routes allow at least a second.
var _ = DescribeTable("an invalid status of a searcher is neither passed on nor waited for", func(ip, status string) {
	s := &store{
		version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{statusSearcher(status)},
		shards: []hysservice.Name{"roll"}, books: true, goal: 300 * time.Millisecond,
	}
	d := start(s, ip)
	Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	const soon = 700 * time.Millisecond
	quickly := func(what string, work func()) {
		began := time.Now()
		work()
		Expect(time.Since(began)).To(BeNumerically("<", soon), what)
	}
	for _, path := range []string{"/7", "/book/7"} {
		quickly("one searcher, "+path, func() {
			got, _ := d.requestPath(path)
			Expect(got).To(Equal(http.StatusBadGateway), path)
		})
	}
	quickly("a query", func() {
		got, _ := d.requestPath("/query/7")
		Expect(got).To(Equal(http.StatusGatewayTimeout))
	})
	client := hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
	DeferCleanup(client.Close)
	message := &hysmessage.Request{Method: http.MethodGet, Target: "/query/8", Host: "rota.example", Header: http.Header{"X-Id": {"r-8"}}}
	quickly("a query for another daemon", func() {
		answer, err := client.Gather(ctx, d.settings.PeerAddress, hysingress.Delegation{
			ID: "r-8", Message: message, Start: time.Now(), Configuration: 1, Shards: []hysservice.Name{"roll"}, MaxAttempts: 2,
		}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Response.Status).To(Equal(http.StatusGatewayTimeout))
	})
	quickly("a sub-request for another daemon", func() {
		sub := hysdispatch.SubRequest{
			RequestID: "r-9", Group: "v1", Weight: 1, Service: "roll", Idempotent: true, Deadline: time.Now().Add(2 * time.Second), Message: message, MaxRuns: 1,
		}
		var reply hysdispatch.SubReply
		err := client.Run(ctx, d.settings.PeerAddress, []hysdispatch.SubRequest{sub}, hysrelay.RunOptions{Patience: time.Second},
			func(r hysrelay.RunResult) { reply = r.Reply })
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Message).To(BeNil())
		Expect(reply.Status).NotTo(Equal(hysquery.ShardAnswered))
	})
},
	Entry("000", "127.0.0.201", "000"), Entry("101", "127.0.0.202", "101"), Entry("600", "127.0.0.203", "600"), Entry("999", "127.0.0.204", "999"))
