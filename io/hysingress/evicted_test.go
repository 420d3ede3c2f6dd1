package hysingress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysintake"
	"hyssopshore/io/hyslisten"
)

// Guards against a 408 or a closed connection, after which a caller doesn't know when to
// come back, and against a 503 for a request that runs.
var _ = Describe("a request whose connection is evicted", func() {
	const body = 900
	request := fmt.Sprintf("POST /one/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r-1\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s",
		strings.Repeat("a", 3500), body, strings.Repeat("x", body-1))

	// send sends a request to an ingress behind limits for one such request.
	send := func(address string) net.Conn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, err = conn.Write([]byte(request))
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	It("is refused with a time to come back, and has not run", func() {
		f := newIngress(requestCase{})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := hyslisten.New(inner, hysintake.Limits{Connections: 10, Bytes: body})
		server := &http.Server{Handler: hyslisten.Handler(f.ingress), ConnContext: hyslisten.ConnContext}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(func() { _ = server.Close() })
		stalled := send(inner.Addr().String())
		Eventually(l.Bytes).Should(BeNumerically(">", 0))
		send(inner.Addr().String())
		response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Close).To(BeTrue())
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">", 0))
		Expect((<-f.records).Outcome.String()).To(Equal("refused"))
		Expect(f.subs).To(BeEmpty(), "nothing was sent")
	})
})
