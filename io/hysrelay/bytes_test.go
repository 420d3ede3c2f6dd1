package hysrelay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"pgregory.net/rapid"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysingress"
	"hyssopshore/io/hysrelay"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 300) }

// echo is a daemon that answers each query and sub-request with what it has received.
func echo() *httptest.Server {
	gather := func(_ context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error) {
		if err := accept(); err != nil {
			return hysingress.DelegationResult{}, err
		}
		m := d.Message
		return hysingress.DelegationResult{
			Response: hysmessage.Response{Status: http.StatusOK, Header: m.Header, Body: describe(m)},
			Record:   hysingress.Record{Reason: m.Target},
		}, nil
	}
	run := func(_ context.Context, subs []hysdispatch.SubRequest, accept func() error) (<-chan hysrelay.RunResult, error) {
		results := make(chan hysrelay.RunResult, len(subs))
		for n, sub := range subs {
			body := append(describe(sub.Message), sub.RequestID...)
			results <- hysrelay.RunResult{Index: n, Reply: hysdispatch.SubReply{
				Reason: sub.Message.Target, Message: &hysmessage.Response{Status: http.StatusOK, Header: sub.Message.Header, Body: body},
			}}
		}
		return results, accept()
	}
	return httptest.NewServer(hysrelay.NewHandler(nil, gather, run, nil))
}

// describe returns the head of a request.
func describe(m *hysmessage.Request) []byte {
	return fmt.Append(nil, m.Method, " ", m.Target, " ", m.Host, "\n")
}

// drawRequest draws a request as it comes over a connection, and returns what the
// daemon's own server makes of it, nil if that rejects it.
func drawRequest(t *rapid.T) *http.Request {
	text := rapid.SliceOfN(rapid.ByteRange(0x20, 0xff), 0, 12)
	word := rapid.SliceOfN(rapid.ByteRange(0x21, 0xff), 0, 12)
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n",
		rapid.SampledFrom([]string{"GET", "POST", "m-é", "*"}).Draw(t, "method"),
		rapid.SampledFrom([]string{"/", "http://h\xe9.example/", "/a?b="}).Draw(t, "target"), word.Draw(t, "path"),
		word.Draw(t, "host"), text.Draw(t, "id"))
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		fmt.Fprintf(&raw, "X-%s: %s\r\n", word.Draw(t, "name"), text.Draw(t, "value"))
	}
	raw.WriteString("\r\n")
	r, err := http.ReadRequest(bufio.NewReader(&raw))
	if err != nil {
		return nil
	}
	return r
}

// TestBytesOfRequests guards against requests that a daemon accepts and can't pass on to
// another one, since they hold bytes that are no UTF-8: review/4.
func TestBytesOfRequests(t *testing.T) {
	server := echo()
	defer server.Close()
	address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	client := hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Minute))
	defer client.Close()
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		if r == nil {
			return
		}
		accepted++
		message := &hysmessage.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}
		checkGather(t, client, address, message)
		checkRun(t, client, address, message, r.Header.Get("X-Request-Id"))
	})
	NewWithT(t).Expect(accepted).To(BeNumerically(">", 0))
}

func checkGather(t *rapid.T, client *hysrelay.Client, address hysmember.Address, m *hysmessage.Request) {
	g := NewWithT(t)
	answer, err := client.Gather(context.Background(), address, hysingress.Delegation{Message: m, Start: time.Now(), Goal: time.Minute}, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Response.Body).To(Equal(describe(m)))
	g.Expect(answer.Response.Header).To(equalHeader(m.Header))
}

func checkRun(t *rapid.T, client *hysrelay.Client, address hysmember.Address, m *hysmessage.Request, id string) {
	g := NewWithT(t)
	sub := hysdispatch.SubRequest{RequestID: hysquery.RequestID(id), Message: m, Goal: time.Minute, Deadline: time.Now().Add(time.Minute)}
	var replies []hysrelay.RunResult
	err := client.Run(context.Background(), address, []hysdispatch.SubRequest{sub}, hysrelay.RunOptions{}, func(r hysrelay.RunResult) { replies = append(replies, r) })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replies).To(HaveLen(1))
	g.Expect(replies[0].Reply.Message.Body).To(Equal(append(describe(m), id...)))
	g.Expect(replies[0].Reply.Message.Header).To(equalHeader(m.Header))
}

// equalHeader matches a header with the same fields, where none is the same as no header.
func equalHeader(h http.Header) types.GomegaMatcher {
	if len(h) == 0 {
		return BeEmpty()
	}
	return Equal(h)
}

// Guards against a request that another build can't read, which counted as that daemon's
// silence and as one that may have run: review/4.
var _ = Describe("a request that another daemon can't read", func() {
	It("is known not to have run, and by what", func(ctx SpecContext) {
		// In the place of the target this message has a string, as that of older builds.
		handler := connect.NewServerStreamHandler(frontconnect.FrontServiceGatherProcedure,
			func(context.Context, *connect.Request[front.GatherReply], *connect.ServerStream[front.GatherReply]) error {
				Fail("the request was read")
				return nil
			})
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		client := hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
		DeferCleanup(client.Close)
		query := hysingress.Delegation{Message: &hysmessage.Request{Method: http.MethodGet, Target: "/caf\xe9", Header: http.Header{}}, Start: time.Now()}
		_, err := client.Gather(ctx, hysmember.Address(strings.TrimPrefix(server.URL, "http://")), query, 0)
		Expect(err).To(MatchError(hysrelay.ErrNotUnderstood))
	})

	It("is told apart from a daemon that fails", func(ctx SpecContext) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "broken")
		}))
		DeferCleanup(server.Close)
		client := hysrelay.NewClient(hysrelay.WithAcceptTimeout(time.Second))
		DeferCleanup(client.Close)
		query := hysingress.Delegation{Message: &hysmessage.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}}, Start: time.Now()}
		_, err := client.Gather(ctx, hysmember.Address(strings.TrimPrefix(server.URL, "http://")), query, 0)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(hysrelay.ErrNotUnderstood))
	})
})
