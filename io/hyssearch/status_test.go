package hyssearch_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hyssearch"
)

// answerWithStatus answers searches with a status and a reply that is otherwise good.
func answerWithStatus(conn net.Conn, status string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var search hyssearch.SearchRequest
		if err := json.NewDecoder(request.Body).Decode(&search); err != nil {
			return
		}
		reply, err := json.Marshal(hyssearch.SearchReply{
			RequestID: search.RequestID, Attempt: search.Attempt, Shard: search.Shard, Epoch: search.Epoch, Version: search.Version,
			Status: hyssearch.StatusOK, Hits: []json.RawMessage{json.RawMessage(`{}`)},
		})
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Text\r\nContent-Length: %d\r\n\r\n%s", status, len(reply), reply)
	}
}

// Guards against a result from a response whose status says that it is none.
var _ = DescribeTable("a status of a searcher", func(status string, valid bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerWithStatus(conn, status)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := hyssearch.New()
	DeferCleanup(client.Close)
	to := hysmember.Searcher{ID: "s", Address: hysmember.Address(listener.Addr().String())}
	result := client.Send(ctx, to, hysdispatch.SubRequest{
		RequestID: "r", Service: "band-roll", Idempotent: true, Version: 1, Epoch: 1, Body: []byte(`{}`), Deadline: time.Now().Add(2 * time.Second),
	})
	Expect(ctx.Err()).NotTo(HaveOccurred(), "it is not waited for")
	if valid {
		Expect(result.Fault).To(Equal(hysdispatch.FaultNone), result.Reason)
		return
	}
	Expect(result.Fault).To(Equal(hysdispatch.FaultLost), result.Reason)
	Expect(result.Hits).To(BeEmpty())
},
	Entry("200", "200", true), Entry("000", "000", false), Entry("+20", "+20", false), Entry("099", "099", false), Entry("101", "101", false),
	Entry("404", "404", false), Entry("500", "500", false), Entry("600", "600", false), Entry("999", "999", false))
