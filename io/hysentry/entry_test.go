package hysentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysentry"
	"hyssopshore/io/hyshttp"
)

func TestEntry(t *testing.T) {
	hyssuite.Run(t, "Entry")
}

// fixture is an Entry served on a loopback port, with a client for it.
type fixture struct {
	entry  *hysentry.Entry
	server *hyshttp.Server
	client *http.Client
}

func configuration() hysticket.State {
	t := hysticket.Ticket{
		Number: 1, Author: "test",
		Services: hysservice.Services{{Name: "captains-desk"}, {Name: "form-vault"}},
		Groups:   hysgroup.Groups{{Name: "accra-ringers", Services: []hysservice.Name{"captains-desk"}}},
	}
	t.Defaults()
	state, _, err := hysticket.State{}.Apply(t)
	Expect(err).NotTo(HaveOccurred())
	return state
}

// newFixture starts an Entry that runs at most two requests at once and answers
// each as complete.
func newFixture(change func(*hyshttp.Limits)) *fixture {
	state := configuration()
	complete := func(_ context.Context, r hysgather.Request) hysquery.Answer {
		return hysquery.Answer{RequestID: r.Query.RequestID, Outcome: hysquery.OutcomeComplete}
	}
	e := &hysentry.Entry{
		State: func() hysticket.State { return state }, Answer: complete, AnswerOnce: complete,
		Claim: func(_ context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
			return hysclaim.Claim{ID: id}, true, nil
		},
		Record:      func(context.Context, hysclaim.Claim, hysquery.Answer) error { return nil },
		Ready:       func() bool { return true },
		Concurrency: 2,
	}
	limits := hyshttp.DefaultLimits()
	limits.Body = hysentry.MaxBodyBytes
	if change != nil {
		change(&limits)
	}
	server, err := hyshttp.NewServer("127.0.0.1:0", hyshttp.WithLimits(limits), hyshttp.WithFailure(hysentry.Failure))
	Expect(err).NotTo(HaveOccurred())
	e.Register(server.Hertz)
	go func() { _ = server.Serve() }()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	f := &fixture{entry: e, server: server, client: client}
	DeferCleanup(f.stop)
	Eventually(func() error { _, err := client.Get(f.url("/health")); return err }).Should(Succeed())
	return f
}

func (f *fixture) stop() {
	f.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.server.Stop(ctx)
}

func (f *fixture) url(path string) string { return "http://" + string(f.server.Address()) + path }

// send sends a request, with a padding header of the given size, and returns the
// response and the answer decoded from it.
func (f *fixture) send(ctx context.Context, method, path, body string, paddingBytes int) (*http.Response, hysquery.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.url(path), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if paddingBytes > 0 {
		request.Header.Set("X-Padding", strings.Repeat("x", paddingBytes))
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, hysquery.Answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var answer hysquery.Answer
	Expect(json.Unmarshal(data, &answer)).To(Succeed(), "%s", data)
	Expect(response.Header.Get("Content-Type")).To(Equal("application/json"))
	return response, answer, nil
}

// queryText returns a valid query as JSON, with some fields changed and one omitted.
func queryText(changes map[string]any, omit string) string {
	q := map[string]any{"group": "accra-ringers", "service": "captains-desk", "body": map[string]string{}}
	for name, value := range changes {
		q[name] = expand(value)
	}
	delete(q, omit)
	data, err := json.Marshal(q)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// expand replaces the placeholders for values that can't be written in the JSON
// table: ids of the current time and long strings.
func expand(value any) any {
	text, ok := value.(string)
	count := 0
	if !ok {
		return value
	}
	now := uuid.Must(uuid.NewV7()).String()
	switch text {
	case "NOW":
		return now
	case "NOW-UPPER":
		return strings.ToUpper(now)
	case "NOW-BRACES":
		return "{" + now + "}"
	}
	if _, err := fmt.Sscanf(text, "REPEAT-%d", &count); err == nil {
		return strings.Repeat("x", count)
	}
	return text
}

func load(path string, into any) {
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		panic(err)
	}
}

// refusalCase is a request and the refusal expected for it.
type refusalCase struct {
	Name   string         `json:"name"`
	Method string         `json:"method"`
	Path   string         `json:"path"`
	Body   *string        `json:"body"`
	Query  map[string]any `json:"query"`
	Drop   string         `json:"drop"`
	Header int            `json:"header"`
	Status int            `json:"status"`
	Reason string         `json:"reason"`
}

func (c refusalCase) text() string {
	if c.Body != nil {
		return *c.Body
	}
	return queryText(c.Query, c.Drop)
}

var _ = Describe("an invalid request", func() {
	var cases []refusalCase
	load("testdata/refusals.json", &cases)
	for _, c := range cases {
		It("is refused: "+c.Name, func() {
			f := newFixture(nil)
			method, path := http.MethodPost, "/v1/query"
			if c.Method != "" {
				method = c.Method
			}
			if c.Path != "" {
				path = c.Path
			}
			response, answer, err := f.send(context.Background(), method, path, c.text(), c.Header)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(c.Status), answer.Reason)
			Expect(answer.Outcome).To(Equal(hysquery.OutcomeNotRun))
			Expect(answer.Reason).To(HavePrefix(c.Reason))
			Expect(answer.Reason).NotTo(MatchRegexp(`json:|hysquery|Validate|Go `))
		})
	}
})

// outcomeCase is an answer, or the result of a claim, and the HTTP response
// expected for it.
type outcomeCase struct {
	Name          string          `json:"name"`
	NonIdempotent bool            `json:"non-idempotent"`
	Answer        hysquery.Answer `json:"answer"`
	Claim         string          `json:"claim"`
	Panic         bool            `json:"panic"`
	Status        int             `json:"status"`
	Outcome       string          `json:"outcome"`
	RetryAfter    string          `json:"retry-after"`
}

// configure sets the entry's callbacks so that they return what the case states.
func (c outcomeCase) configure(e *hysentry.Entry) {
	answer := func(context.Context, hysgather.Request) hysquery.Answer {
		if c.Panic {
			panic("failed on purpose")
		}
		return c.Answer
	}
	e.Answer, e.AnswerOnce = answer, answer
	claimErrors := map[string]error{"failed": io.ErrUnexpectedEOF, "forgotten": hysclaim.ErrExpired}
	e.Claim = func(_ context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
		claim := hysclaim.Claim{ID: id}
		if c.Claim == "recorded" {
			claim.Answer = &hysquery.Answer{Outcome: hysquery.OutcomeComplete}
		}
		return claim, c.Claim == "", claimErrors[c.Claim]
	}
}

var _ = Describe("an outcome", func() {
	var cases []outcomeCase
	load("testdata/outcomes.json", &cases)
	for _, c := range cases {
		It("is mapped to its HTTP status: "+c.Name, func() {
			f := newFixture(nil)
			c.configure(f.entry)
			changes := map[string]any{"request-id": "NOW"}
			if c.NonIdempotent {
				changes["non-idempotent"], changes["key"] = true, "treble"
			}
			response, answer, err := f.send(context.Background(), http.MethodPost, "/v1/query", queryText(changes, ""), 0)
			Expect(err).NotTo(HaveOccurred())
			outcome := c.Outcome
			if outcome == "" {
				outcome = c.Answer.Outcome.String()
			}
			Expect(response.StatusCode).To(Equal(c.Status), answer.Reason)
			Expect(answer.Outcome.String()).To(Equal(outcome))
			Expect(response.Header.Get("Retry-After")).To(Equal(c.RetryAfter))
			if !c.Panic {
				Expect(response.Header.Get(hysentry.OutcomeHeader)).To(Equal(outcome))
			}
		})
	}
})

var _ = Describe("limits", func() {
	It("closes the connection after each answer and fails /health while not ready", func() {
		f := newFixture(nil)
		f.entry.Ready = func() bool { return false }
		response, answer, err := f.send(context.Background(), http.MethodPost, "/v1/query", queryText(nil, ""), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK), answer.Reason)
		Expect(response.Close).To(BeTrue())
		response, err = f.client.Get(f.url("/health"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	It("encodes missing coverage and hits as empty lists", func() {
		f := newFixture(nil)
		response, err := f.client.Post(f.url("/v1/query"), "", strings.NewReader(`{"group":"nobody"}`))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"coverage":[],"hits":[]`))
	})

	It("refuses a request beyond the concurrency limit, with a retry delay", func() {
		f := newFixture(nil)
		release := make(chan struct{})
		f.entry.Answer = func(context.Context, hysgather.Request) hysquery.Answer {
			<-release
			return hysquery.Answer{}
		}
		for range 2 {
			go func() { _, _ = f.client.Post(f.url("/v1/query"), "", strings.NewReader(queryText(nil, ""))) }()
		}
		Eventually(f.entry.Running).Should(BeEquivalentTo(2))
		response, answer, err := f.send(context.Background(), http.MethodPost, "/v1/query", queryText(nil, ""), 0)
		close(release)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(answer.RetryAfter).To(BeEquivalentTo(50))
		Eventually(f.entry.Running).Should(BeEquivalentTo(0))
	})

	It("cancels an idempotent request when its caller disconnects", func() {
		f := newFixture(nil)
		ended := make(chan error, 1)
		f.entry.Answer = func(ctx context.Context, _ hysgather.Request) hysquery.Answer {
			select {
			case <-ctx.Done():
			case <-time.After(3 * time.Second):
			}
			ended <- ctx.Err()
			return hysquery.Answer{}
		}
		f.disconnect(queryText(nil, ""))
		Eventually(ended, "2s").Should(Receive(MatchError(context.Canceled)))
	})

	It("finishes and records a non-idempotent request whose caller disconnects", func() {
		f := newFixture(nil)
		recorded := make(chan hysquery.Answer, 1)
		f.entry.AnswerOnce = func(ctx context.Context, _ hysgather.Request) hysquery.Answer {
			select {
			case <-ctx.Done():
				return hysquery.Unknown("", "cut off")
			case <-time.After(300 * time.Millisecond):
				return hysquery.Answer{Outcome: hysquery.OutcomeComplete}
			}
		}
		f.entry.Record = func(ctx context.Context, _ hysclaim.Claim, a hysquery.Answer) error {
			recorded <- a
			return ctx.Err()
		}
		f.disconnect(queryText(map[string]any{"non-idempotent": true, "key": "treble", "request-id": "NOW"}, ""))
		var answer hysquery.Answer
		Eventually(recorded, "2s").Should(Receive(&answer))
		Expect(answer.Outcome).To(Equal(hysquery.OutcomeComplete))
	})

	It("subtracts the duration of the claim from the deadline", func() {
		f := newFixture(nil)
		f.entry.Claim = func(_ context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
			time.Sleep(60 * time.Millisecond)
			return hysclaim.Claim{ID: id}, true, nil
		}
		remaining := make(chan hysservice.Milliseconds, 1)
		f.entry.AnswerOnce = func(_ context.Context, r hysgather.Request) hysquery.Answer {
			remaining <- r.Query.Deadline
			return hysquery.Answer{}
		}
		changes := map[string]any{"non-idempotent": true, "key": "treble", "request-id": "NOW", "deadline-ms": 2000}
		_, _, err := f.send(context.Background(), http.MethodPost, "/v1/query", queryText(changes, ""), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-remaining).To(BeNumerically("<=", 1940))
	})

	It("passes no unconfigured names on to the metrics", func() {
		f := newFixture(nil)
		observed := make(chan hysquery.Query, 1)
		f.entry.Observe = func(q hysquery.Query, _ hysquery.Answer, _ time.Duration) { observed <- q }
		_, _, err := f.send(context.Background(), http.MethodPost, "/v1/query", queryText(map[string]any{"group": "nobody"}, ""), 0)
		Expect(err).NotTo(HaveOccurred())
		q := <-observed
		Expect(q.Group).To(BeEmpty())
		Expect(q.Service).To(BeEquivalentTo("captains-desk"))
	})
})

// disconnect sends a query and closes the connection while the query runs.
func (f *fixture) disconnect(query string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url("/v1/query"), bytes.NewReader([]byte(query)))
		_, _ = f.client.Do(request)
	}()
	Eventually(f.entry.Running).Should(BeEquivalentTo(1))
	cancel()
	<-done
}
