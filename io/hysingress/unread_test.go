package hysingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
)

// Guards against answers that stay in memory, and connections that stay open, for as long
// as callers do not read them.
var _ = Describe("a caller that does not read its answer", func() {
	const answerBytes = 16 << 20

	// ask sends a request on a connection.
	ask := func(conn net.Conn) {
		_, err := fmt.Fprint(conn, "GET /one/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r-1\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	}

	// dial connects to an ingress whose searchers give large answers.
	dial := func(timeout time.Duration) (*fixture, net.Conn) {
		f := newFixture(requestCase{})
		f.ingress.AnswerTimeout = timeout
		body := bytes.Repeat([]byte("x"), answerBytes)
		f.ingress.Submit = func(context.Context, hysdispatch.SubRequest) hysdispatch.SubReply {
			return hysdispatch.SubReply{
				Status: hysquery.ShardAnswered, Message: &hysmessage.Response{Status: http.StatusOK, Header: http.Header{"X-Sig": {"s"}}, Body: body},
			}
		}
		DeferCleanup(f.server.CloseClientConnections)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return f, conn
	}

	It("is given up after a while", func() {
		f, conn := dial(200 * time.Millisecond)
		ask(conn)
		Eventually(f.records, "5s").Should(Receive(HaveField("Reason", ContainSubstring("the answer was not taken"))))
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		read, err := io.Copy(io.Discard, conn)
		Expect(err).To(Or(BeNil(), MatchError(syscall.ECONNRESET)), "the connection has ended")
		Expect(read).To(BeNumerically("<", answerBytes))
	})

	It("does not keep one that reads from a later interim answer", func() {
		const timeout = 300 * time.Millisecond
		_, conn := dial(timeout)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		reader := bufio.NewReader(conn)
		ask(conn)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		read, err := io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(BeEquivalentTo(answerBytes))
		time.Sleep(2 * timeout)
		_, err = fmt.Fprint(conn, "POST /one/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r-1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err = http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusContinue))
	})
})
