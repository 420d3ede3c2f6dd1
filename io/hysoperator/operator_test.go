package hysoperator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyshttp"
	"hyssopshore/io/hysoperator"
)

func TestOperator(t *testing.T) {
	hyssuite.Run(t, "Operator")
}

// requestCase is a request to the operator interface, the result of applying a
// ticket, and the response expected.
type requestCase struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Secret string `json:"secret"`
	Number uint8  `json:"result"`
	Error  string `json:"error"`
	Status int    `json:"status"`
	Has    string `json:"has"`
}

// apply returns the ticket result that the case states.
func (c requestCase) apply(context.Context, hysticket.Ticket) (hysticket.Result, error) {
	switch c.Error {
	case "":
		return hysticket.Result(c.Number), nil
	case "INVALID":
		return hysticket.Result(c.Number), fmt.Errorf("author must be given: %w", hysticket.ErrInvalid)
	default:
		return hysticket.Result(c.Number), errors.New(c.Error)
	}
}

// start starts a server for the case and returns its address.
func (c requestCase) start() string {
	o := &hysoperator.Operator{
		Secret: "operator-secret-012", Apply: c.apply,
		State:  func() hysticket.State { return hysticket.State{} },
		Log:    func() hysticket.Log { return hysticket.Log{{Author: "ama"}} },
		Status: func() hysoperator.Status { return hysoperator.Status{Instance: "entry-1"} },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "the metrics")
		}),
	}
	s, err := hyshttp.NewServer("127.0.0.1:0", hyshttp.WithFailure(hysoperator.NewFailure))
	Expect(err).NotTo(HaveOccurred())
	o.Register(s.Hertz)
	go func() { _ = s.Serve() }()
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return string(s.Address())
}

func (c requestCase) request() *http.Request {
	method := http.MethodPost
	if c.Method != "" {
		method = c.Method
	}
	request, err := http.NewRequest(method, "http://"+c.start()+c.Path, strings.NewReader(c.Body))
	Expect(err).NotTo(HaveOccurred())
	switch c.Secret {
	case "-":
	case "":
		request.Header.Set("Authorization", "Bearer operator-secret-012")
	default:
		request.Header.Set("Authorization", "Bearer "+c.Secret)
	}
	return request
}

func loadRequests() []requestCase {
	var cases []requestCase
	hyssuite.Read("requests.json", &cases)
	return cases
}

var _ = Describe("an operator's request", func() {
	for _, c := range loadRequests() {
		It("is answered as documented: "+c.Name, func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(c.request())
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(c.Status), "%s", data)
			Expect(string(data)).To(ContainSubstring(c.Has))
		})
	}
})
