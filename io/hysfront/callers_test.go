package hysfront_test

import (
	"bufio"
	"fmt"
	"hyssopshore/internal/hystest"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
	"hyssopshore/io/hysfront"
)

// caller is a connection to a daemon.
type caller struct {
	net.Conn
	responses *bufio.Reader
}

func connect(d *daemon) *caller {
	conn, err := net.Dial("tcp", string(d.settings.CallerAddress))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &caller{Conn: conn, responses: bufio.NewReader(conn)}
}

// request sends a request and returns the status of the response.
func (c *caller) request() int {
	_, err := fmt.Fprint(c, "GET /7 HTTP/1.1\r\nHost: rota.example\r\nX-Id: r-1\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

// timeUntilClosed returns how long the daemon keeps the connection open.
func (c *caller) timeUntilClosed(longest time.Duration) time.Duration {
	began := time.Now()
	Expect(c.SetReadDeadline(began.Add(longest))).To(Succeed())
	_, err := io.Copy(io.Discard, c.responses)
	Expect(err).NotTo(HaveOccurred(), "the connection is still open")
	return time.Since(began)
}

var _ = Describe("the timeouts of callers' connections", func() {
	const headerTimeout, idleTimeout = 300 * time.Millisecond, 600 * time.Millisecond
	var d *daemon
	var s *store

	BeforeEach(func() {
		s = &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}}
	})

	It("are those of the configuration", func() {
		s.limits = hysroute.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		d = start(s, "127.0.0.8")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		slow := connect(d)
		_, err := fmt.Fprint(slow, "GET /7 HTTP/1.1\r\nHost: rota")
		Expect(err).NotTo(HaveOccurred())
		Expect(slow.timeUntilClosed(5 * time.Second)).To(BeNumerically(">", headerTimeout/2))
		idle := connect(d)
		Expect(idle.request()).To(Equal(http.StatusOK))
		Expect(idle.timeUntilClosed(5 * time.Second)).To(BeNumerically(">", idleTimeout/2))
	})

	It("change for new connections without closing open ones", func() {
		d = start(s, "127.0.0.9")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		early := connect(d)
		Expect(early.request()).To(Equal(http.StatusOK))
		next := &store{version: 2, revision: hystest.Revision(8), limits: hysroute.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}}
		s.withLock(func() {
			s.changes = []hysfront.Changes{{Configuration: next.configuration(), Revision: hystest.Revision(8), Events: 1}}
		})
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"version":2`))
		late := connect(d)
		Expect(late.request()).To(Equal(http.StatusOK))
		Expect(late.timeUntilClosed(5 * time.Second)).To(BeNumerically(">", idleTimeout/2))
		Expect(early.request()).To(Equal(http.StatusOK))
	})
})
