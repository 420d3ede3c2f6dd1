package hysforward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysforward"
)

func TestForward(t *testing.T) {
	hyssuite.Run(t, "Forward")
}

var headers = hysforward.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Sig", Searcher: "X-Searcher", NotRun: "X-Not-Run",
	Leaving: "X-Leaving",
}

// responseCase is one case of testdata/responses.json.
type responseCase struct {
	Name string `json:"name"`
	// Send is what the searcher writes, End how it then ends the connection.
	Send string `json:"send"`
	End  string `json:"end"`
	// Early makes the searcher respond before it reads the body of BodyBytes.
	Early     bool `json:"early"`
	BodyBytes int  `json:"body-bytes"`
	// Cancel cancels the context while the request runs.
	Cancel       bool   `json:"leave"`
	Fault        string `json:"fault"`
	Body         string `json:"body"`
	NotSent      bool   `json:"not-sent"`
	RetryAfterMS int64  `json:"retry-after-ms"`
	// Leaving is whether the searcher is reported as leaving.
	Leaving bool `json:"leaving"`
	// Reason is a substring of the expected reason.
	Reason string `json:"reason"`
	// Reused is whether the connection carries the next request.
	Reused bool `json:"reused"`
}

// scriptedSearcher answers each request with the same bytes.
type scriptedSearcher struct {
	listener net.Listener
	opened   atomic.Int64
	requests chan *http.Request
}

func serve(c responseCase) *scriptedSearcher {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedSearcher{listener: listener, requests: make(chan *http.Request, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.answer(conn, c)
		}
	}()
	return s
}

func (s *scriptedSearcher) answer(conn net.Conn, c responseCase) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests <- request
		if !c.Early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = conn.Write([]byte(c.Send))
		if c.End == "reset" {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if c.End != "" {
			return
		}
		if c.Early {
			time.Sleep(200 * time.Millisecond)
			return
		}
	}
}

func (s *scriptedSearcher) searcher() hysmember.Searcher {
	return hysmember.Searcher{ID: "s-1", Address: hysmember.Address(s.listener.Addr().String())}
}

func request(bytes int) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{
		RequestID: "r-1", Idempotent: true, Deadline: time.Now().Add(3 * time.Second),
		Message: &hysmessage.Request{
			Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "rota.example",
			Header: http.Header{"X-Kept": {"1", "2"}}, Body: make([]byte, bytes),
		},
	}
}

var _ = Describe("the responses of searchers", func() {
	var cases []responseCase
	hyssuite.Read("responses.json", &cases)
	for _, c := range cases {
		It(c.Name, func() {
			s := serve(c)
			defer s.listener.Close()
			client := hysforward.New(headers)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.Cancel {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			result := client.Send(ctx, s.searcher(), request(c.BodyBytes))
			Expect(result.Fault.String()).To(Equal(c.Fault), result.Reason)
			Expect(result.NotRun).To(Equal(c.NotSent))
			Expect(result.RetryAfter.Milliseconds()).To(Equal(c.RetryAfterMS))
			Expect(result.Draining).To(Equal(c.Leaving))
			Expect(result.Reason).To(ContainSubstring(c.Reason))
			body := ""
			if result.Message != nil {
				body = string(result.Message.Body)
			}
			Expect(body).To(Equal(c.Body))
			if c.Reused {
				time.Sleep(20 * time.Millisecond)
				client.Send(ctx, s.searcher(), request(0))
				Expect(s.opened.Load()).To(BeEquivalentTo(1))
			}
		})
	}
})

var _ = Describe("a request to a searcher", func() {
	complete := responseCase{Send: "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n"}

	It("is forwarded unchanged, with the added header fields", func() {
		s := serve(complete)
		defer s.listener.Close()
		hysforward.New(headers).Send(context.Background(), s.searcher(), request(7))
		got := <-s.requests
		Expect(got.Method + " " + got.RequestURI + " " + got.Host).To(Equal("POST /a/b?c=%2F rota.example"))
		Expect(got.Header["X-Kept"]).To(Equal([]string{"1", "2"}))
		Expect(got.Header.Get("X-Id")).To(Equal("r-1"))
		Expect(got.Header.Get("X-Searcher")).To(Equal("s-1"))
		Expect(got.Header).NotTo(HaveKey("User-Agent"))
		Expect(got.ContentLength).To(BeEquivalentTo(7))
		remaining, err := strconv.Atoi(got.Header.Get("X-Deadline"))
		Expect(err).NotTo(HaveOccurred())
		Expect(remaining).To(BeNumerically("~", 2950, 60))
	})

	It("is not sent after its deadline", func() {
		s := serve(complete)
		defer s.listener.Close()
		late := request(0)
		late.Deadline = time.Now().Add(-time.Millisecond)
		result := hysforward.New(headers).Send(context.Background(), s.searcher(), late)
		Expect(result.NotRun).To(BeTrue())
		Expect(s.requests).To(BeEmpty())
	})

	It("is rejected when the connection cap is reached", func() {
		s := serve(responseCase{})
		defer s.listener.Close()
		client := hysforward.New(headers, hysforward.WithConnectionCap(func(hysmember.Searcher) int { return 1 }))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go client.Send(ctx, s.searcher(), request(0))
		<-s.requests
		result := client.Send(ctx, s.searcher(), request(0))
		Expect(result.Fault).To(Equal(hysdispatch.FaultShed))
		Expect(result.NotRun).To(BeTrue())
	})

	It("is not sent where nobody listens", func() {
		s := serve(complete)
		s.listener.Close()
		result := hysforward.New(headers).Send(context.Background(), s.searcher(), request(0))
		Expect(result.Fault).To(Equal(hysdispatch.FaultRefused))
		Expect(result.NotRun).To(BeTrue())
	})

	It("does not fail when the searcher has closed the idle connection", func() {
		closing := complete
		closing.End = "close"
		s := serve(closing)
		defer s.listener.Close()
		client := hysforward.New(headers)
		for range 3 {
			Expect(client.Send(context.Background(), s.searcher(), request(0)).Fault).To(Equal(hysdispatch.FaultNone))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(s.opened.Load()).To(BeEquivalentTo(3))
	})
})
