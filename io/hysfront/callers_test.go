package hysfront_test

import (
	"bufio"
	"fmt"
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

// ask sends a request and returns the status of the response.
func (c *caller) ask() int {
	_, err := fmt.Fprint(c, "GET /7 HTTP/1.1\r\nHost: rota.example\r\nX-Id: r-1\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

// closedAfter returns how long the daemon keeps the connection.
func (c *caller) closedAfter(longest time.Duration) time.Duration {
	began := time.Now()
	Expect(c.SetReadDeadline(began.Add(longest))).To(Succeed())
	_, err := io.Copy(io.Discard, c.responses)
	Expect(err).NotTo(HaveOccurred(), "the connection is still open")
	return time.Since(began)
}

var _ = Describe("the times that a caller may take", func() {
	const head, idle = 300 * time.Millisecond, 600 * time.Millisecond
	var d *daemon
	var s *store

	BeforeEach(func() {
		s = &store{version: 1, revision: 5, entries: hysmember.Entries{searcher("s-1", 0)}}
	})

	It("are those of the configuration", func() {
		s.limits = hysroute.Limits{HeaderTimeout: head, IdleTimeout: idle}
		d = start(s, "127.0.0.8")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		slow := connect(d)
		_, err := fmt.Fprint(slow, "GET /7 HTTP/1.1\r\nHost: rota")
		Expect(err).NotTo(HaveOccurred())
		Expect(slow.closedAfter(5 * time.Second)).To(BeNumerically(">", head/2))
		resting := connect(d)
		Expect(resting.ask()).To(Equal(http.StatusOK))
		Expect(resting.closedAfter(5 * time.Second)).To(BeNumerically(">", idle/2))
	})

	It("change for new connections, and cut none that is open", func() {
		d = start(s, "127.0.0.9")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		early := connect(d)
		Expect(early.ask()).To(Equal(http.StatusOK))
		next := &store{version: 2, revision: 8, limits: hysroute.Limits{HeaderTimeout: head, IdleTimeout: idle}}
		s.set(func() {
			s.changes = []hysfront.Changes{{Configuration: next.configuration(), Revision: 8, Events: 1}}
		})
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"version":2`))
		late := connect(d)
		Expect(late.ask()).To(Equal(http.StatusOK))
		Expect(late.closedAfter(5 * time.Second)).To(BeNumerically(">", idle/2))
		Expect(early.ask()).To(Equal(http.StatusOK))
	})
})
