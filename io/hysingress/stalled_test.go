package hysingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against connections of stalled bodies that stay for as long as their clients:
// net/http reads the rest of a body after the answer.
var _ = DescribeTable("the connection of a body that stops short is closed after the answer", func(path, framing string, status int) {
	f := newFixture(requestCase{})
	DeferCleanup(f.server.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r-1\r\nX-Deadline: 200\r\n%s", path, framing)
	Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(status))
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	_, err = reader.ReadByte()
	Expect(err).To(Or(MatchError(io.EOF), MatchError(syscall.ECONNRESET)))
	Expect(f.subs).To(BeEmpty(), "nothing was sent")
},
	Entry("with a length", "/one/1", "Content-Length: 100\r\n\r\n12345", http.StatusRequestTimeout),
	Entry("in chunks", "/one/1", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n5\r\n123", http.StatusRequestTimeout),
	Entry("with a length, without a route", "/none/1", "Content-Length: 100\r\n\r\n12345", http.StatusNotFound),
	Entry("in chunks, without a route", "/none/1", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n5\r\n123", http.StatusNotFound),
	Entry("too long", "/one/1", "Content-Length: 5000\r\n\r\n12345", http.StatusRequestEntityTooLarge))
