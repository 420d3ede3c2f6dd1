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
		Body: 1000, Header: 4096, Connections: 3, Memory: 1000,
		Read: 300 * time.Millisecond, Idle: 5 * time.Second, Write: 2 * time.Second,
	}
	s, err := hyshttp.NewServer("127.0.0.1:0", hyshttp.WithLimits(limits))
	Expect(err).NotTo(HaveOccurred())
	s.POST("/echo", func(_ context.Context, c *app.RequestContext) { hyshttp.Write(c, http.StatusOK, "done") })
	s.POST("/body", func(_ context.Context, c *app.RequestContext) {
		hyshttp.Write(c, http.StatusOK, string(c.Request.Body()))
	})
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

// echo sends a request on a connection and returns the status.
func echo(conn net.Conn) int {
	_, err := io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	Expect(err).NotTo(HaveOccurred())
	response, _ := readResponse(bufio.NewReader(conn))
	return response.StatusCode
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

	It("rejects a connection over the limit while all run requests, and accepts one after another closes", func() {
		s := newServer()
		conns := []net.Conn{dial(s), dial(s), dial(s)}
		for _, conn := range conns {
			_, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(s.InFlight).Should(BeEquivalentTo(3))
		time.Sleep(100 * time.Millisecond)
		response, _ := readResponse(bufio.NewReader(dial(s)))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(s.Connections()).To(Equal(3))
		for _, conn := range conns {
			response, _ := readResponse(bufio.NewReader(conn))
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(conns[0].Close()).To(Succeed())
		Eventually(s.Connections).Should(Equal(2))
		Expect(echo(dial(s))).To(Equal(http.StatusOK))
		Expect(s.Connections()).To(Equal(3))
	})

	It("closes the connection that has sent nothing for longest for one over the limit", func() {
		s := newServer()
		conns := []net.Conn{dial(s), dial(s), dial(s)}
		Eventually(s.Connections).Should(Equal(3))
		Expect(echo(dial(s))).To(Equal(http.StatusOK))
		reader := bufio.NewReader(conns[0])
		response, _ := readResponse(reader)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		_, err := reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(echo(conns[2])).To(Equal(http.StatusOK))
	})

	It("refuses a body that has stalled, and serves one that arrives", func() {
		s := newServer()
		stalled := dial(s)
		send := func(conn net.Conn, fill int) {
			_, err := io.WriteString(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 3800)+
				"\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", fill))
			Expect(err).NotTo(HaveOccurred())
		}
		send(stalled, 900)
		Eventually(s.Held).Should(BeNumerically(">", 0))
		other := dial(s)
		send(other, 1000)
		response, _ := readResponse(bufio.NewReader(other))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		response, text := readResponse(bufio.NewReader(stalled))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(text).To(ContainSubstring("too many"))
	})

	DescribeTable("reads a body in each form", func(request string) {
		conn := dial(newServer())
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err := io.WriteString(conn, request)
			Expect(err).NotTo(HaveOccurred())
			_, text := readResponse(reader)
			Expect(text).To(Equal("\"{\\\"a\\\":1}\"\n"))
		}
	},
		Entry("a length", "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{\"a\":1}"),
		Entry("chunks", "POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n1\r\na\r\n4\r\n\":1}\r\n0\r\n\r\n"),
		Entry("a form of several parts", "POST /body HTTP/1.1\r\nHost: x\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 7\r\n\r\n{\"a\":1}"))

	DescribeTable("ends the context of a request whose client disconnects", func(request string) {
		s := newServer()
		ended := make(chan struct{})
		s.POST("/wait", func(ctx context.Context, _ *app.RequestContext) {
			<-ctx.Done()
			close(ended)
		})
		conn := dial(s)
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		Consistently(ended, "200ms").ShouldNot(BeClosed())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended, "2s").Should(BeClosed())
	},
		Entry("with a body", "POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{\"a\":1}"),
		Entry("in chunks", "POST /wait HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
		Entry("without a body", "POST /wait HTTP/1.1\r\nHost: x\r\n\r\n"))

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
