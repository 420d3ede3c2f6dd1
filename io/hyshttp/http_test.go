package hyshttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyshttp"
)

func TestHTTP(t *testing.T) {
	hyssuite.Run(t, "HTTP")
}

const bigResponse = 16 << 20

func newServer() *hyshttp.Server {
	limits := hyshttp.Limits{
		Body: 1000, Header: 4096, Connections: 3,
		Read: 300 * time.Millisecond, Idle: 5 * time.Second, Write: 2 * time.Second,
	}
	s, err := hyshttp.NewServer("127.0.0.1:0", hyshttp.WithLimits(limits))
	Expect(err).NotTo(HaveOccurred())
	s.POST("/echo", func(_ context.Context, c *app.RequestContext) { hyshttp.Write(c, http.StatusOK, "done") })
	s.GET("/big", func(_ context.Context, c *app.RequestContext) {
		hyshttp.Write(c, http.StatusOK, strings.Repeat("x", bigResponse))
	})
	s.GET("/slow", func(_ context.Context, c *app.RequestContext) {
		time.Sleep(400 * time.Millisecond)
		hyshttp.Write(c, http.StatusOK, "done")
	})
	go func() { _ = s.Serve() }()
	DeferCleanup(func() { stop(s) })
	return s
}

func stop(s *hyshttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = s.Stop(ctx)
}

func dial(s *hyshttp.Server) net.Conn {
	conn, err := net.Dial("tcp", string(s.Address()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return conn
}

func readResponse(r *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(data)
}

type rawCase struct {
	Name   string `json:"name"`
	Send   string `json:"send"`
	Drip   string `json:"drip"`
	Fill   int    `json:"fill"`
	Status int    `json:"status"`
}

func (c rawCase) write(conn net.Conn) {
	_, _ = io.WriteString(conn, c.Send+strings.Repeat("x", c.Fill))
	for c.Drip != "" {
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, c.Drip); err != nil {
			return
		}
	}
}

func loadRaw() []rawCase {
	var cases []rawCase
	hyssuite.Read("raw.json", &cases)
	return cases
}

var _ = Describe("a server", func() {
	for _, c := range loadRaw() {
		It("answers in JSON to "+c.Name, func() {
			conn := dial(newServer())
			go c.write(conn)
			start := time.Now()
			response, text := readResponse(bufio.NewReader(conn))
			Expect(response.StatusCode).To(Equal(c.Status))
			Expect(response.Header.Get("Content-Type")).To(Equal("application/json"))
			Expect(text).To(MatchRegexp(`^{"reason":".+"}\n$`))
			Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		})
	}

	It("keeps a connection for the next request", func() {
		conn := dial(newServer())
		reader := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
			Expect(err).NotTo(HaveOccurred())
			response, _ := readResponse(reader)
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
	})

	It("rejects a connection over the limit and accepts one after another closes", func() {
		s := newServer()
		conns := []net.Conn{dial(s), dial(s), dial(s)}
		Eventually(s.Connections).Should(Equal(3))
		response, _ := readResponse(bufio.NewReader(dial(s)))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(conns[0].Close()).To(Succeed())
		Eventually(s.Connections).Should(Equal(2))
		conn := dial(s)
		_, err := io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
		Expect(err).NotTo(HaveOccurred())
		response, _ = readResponse(bufio.NewReader(conn))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("closes the connection of a client that does not read its response", func() {
		s := newServer()
		conn := dial(s)
		_, err := io.WriteString(conn, "GET /big HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.Connections, "4s").Should(Equal(0))
	})

	It("stops at once with idle connections and lets requests in flight finish", func() {
		s := newServer()
		idle, slow, big := dial(s), dial(s), dial(s)
		Eventually(s.Connections).Should(Equal(3))
		_, _ = io.WriteString(idle, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
		readResponse(bufio.NewReader(idle))
		_, _ = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _ = io.WriteString(big, "GET /big HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(150 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			stop(s)
		}()
		time.Sleep(300 * time.Millisecond)
		_, text := readResponse(bufio.NewReader(big))
		Expect(len(text)).To(BeNumerically(">", bigResponse))
		response, _ := readResponse(bufio.NewReader(slow))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(stopped, "1s").Should(BeClosed())
	})

	It("reports that the port is in use", func() {
		_, err := hyshttp.NewServer(newServer().Address())
		Expect(err).To(MatchError(ContainSubstring("address already in use")))
	})
})

var _ = DescribeTable("Retry-After is in whole seconds, rounded up", func(ms int, header string) {
	c := &app.RequestContext{}
	hyshttp.SetRetryAfter(c, hysservice.Milliseconds(ms))
	Expect(string(c.Response.Header.Peek("Retry-After"))).To(Equal(header))
},
	Entry("none", 0, ""), Entry("one millisecond", 1, "1"), Entry("one second", 1000, "1"), Entry("a bit more", 1001, "2"))
