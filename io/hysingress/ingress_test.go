package hysingress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysingress"
)

func TestIngress(t *testing.T) {
	hyssuite.Run(t, "Ingress")
}

var headers = hysingress.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Sig", Searcher: "X-Searcher",
	NotRun: "X-Not-Run", Signatures: "X-Sigs", Missing: "X-Missing",
}

func configuration() *hysroute.Configuration {
	c, _ := hysroute.NewConfiguration(3, hysroute.Routes{
		{Name: "one", Host: "127.0.0.1", Prefix: "/one/", Idempotent: true, Timeout: 2 * time.Second, MaxAttempts: 2,
			Branches: hysroute.Branches{{Service: "roll", Weight: 1}}},
		{Name: "all", Host: "127.0.0.1", Prefix: "/all/", Idempotent: true, Timeout: 2 * time.Second, Goal: 150 * time.Millisecond,
			Shards: []hysservice.Name{"d1", "d2", "d3"}, TopK: 2, MinCoverage: 0.6},
		{Name: "few", Host: "127.0.0.1", Prefix: "/few/", Idempotent: true, Timeout: 2 * time.Second, Goal: 150 * time.Millisecond,
			Shards: []hysservice.Name{"d1", "d2", "d3"}, TopK: 2, MinCoverage: 0.3},
		{Name: "two", Host: "127.0.0.1", Prefix: "/two/", Idempotent: true, Timeout: 2 * time.Second, Goal: 150 * time.Millisecond, MaxAttempts: 2,
			Shards: []hysservice.Name{"d1", "d2", "d3"}, TopK: 2, MinCoverage: 0.3},
	}, nil, hysroute.Limits{HeaderBytes: 4000, BodyBytes: 1000})
	return c
}

// scriptedReply is how a service answers.
type scriptedReply struct {
	Status       int    `json:"status"`
	Body         string `json:"body"`
	Ended        string `json:"ended"`
	NotRun       bool   `json:"not-sent"`
	RetryAfterMS int    `json:"retry-after-ms"`
	AfterMS      int    `json:"after-ms"`
}

func (r scriptedReply) reply(service hysservice.Name) hysdispatch.SubReply {
	reply := hysdispatch.SubReply{
		NotRun: r.NotRun, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, Reason: r.Ended,
	}
	for s := hysquery.ShardAnswered; s <= hysquery.ShardFailed; s++ {
		if s.String() == r.Ended {
			reply.Status = s
		}
	}
	if r.Status != 0 {
		reply.Message = &hysmessage.Response{
			Status: r.Status, Body: []byte(r.Body), Header: http.Header{"X-Sig": {"sig-" + string(service)}, "Connection": {"close"}},
		}
	}
	return reply
}

// requestCase is one case of testdata/requests.json.
type requestCase struct {
	Name         string                            `json:"name"`
	Path         string                            `json:"path"`
	Replies      map[hysservice.Name]scriptedReply `json:"replies"`
	Unconfigured bool                              `json:"unconfigured"`
	Overloaded   bool                              `json:"overloaded"`
	Anonymous    bool                              `json:"anonymous"`
	BodyBytes    int                               `json:"body-bytes"`
	HeadBytes    int                               `json:"head-bytes"`
	Chunked      bool                              `json:"chunked"`
	Status       int                               `json:"status"`
	Body         string                            `json:"body"`
	Signature    string                            `json:"signature"`
	Signatures   string                            `json:"signatures"`
	Missing      string                            `json:"missing"`
	RetryAfter   string                            `json:"retry-after"`
	Outcome      string                            `json:"outcome"`
}

// fixture is an ingress with scripted services.
type fixture struct {
	ingress *hysingress.Ingress
	server  *httptest.Server
	records chan hysingress.Record
	subs    chan hysdispatch.SubRequest
}

func newFixture(c requestCase) *fixture {
	f := newIngress(c)
	f.server = httptest.NewServer(f.ingress)
	return f
}

// newIngress returns a fixture without a server.
func newIngress(c requestCase) *fixture {
	f := &fixture{records: make(chan hysingress.Record, 10), subs: make(chan hysdispatch.SubRequest, 10)}
	f.ingress = &hysingress.Ingress{
		Headers: headers, Closing: func() bool { return false },
		Observe: func(r hysingress.Record) { f.records <- r },
		State: func(context.Context) *hysroute.Configuration {
			if c.Unconfigured {
				return nil
			}
			return configuration()
		},
		Admit: func([]hysdispatch.SubRequest, int) (hysdispatch.SubReply, bool) {
			if c.Overloaded {
				return hysdispatch.SubReply{Reason: "overloaded", RetryAfter: 400 * time.Millisecond}, false
			}
			return hysdispatch.SubReply{}, true
		},
		Quarantined: func(fingerprint hysquery.Fingerprint) (time.Time, bool) {
			return time.Now().Add(time.Minute), fingerprint == quarantinedFingerprint
		},
		Submit: func(ctx context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			f.subs <- sub
			reply := c.Replies[sub.Service]
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(reply.AfterMS) * time.Millisecond):
			}
			return reply.reply(sub.Service)
		},
	}
	return f
}

func (f *fixture) request(c requestCase) *http.Request {
	var body io.Reader = http.NoBody
	if c.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.BodyBytes))
	}
	if c.Chunked {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequest(http.MethodPost, f.server.URL+c.Path, body)
	Expect(err).NotTo(HaveOccurred())
	if !c.Anonymous {
		r.Header.Set("X-Id", "r-1")
	}
	if c.HeadBytes > 0 {
		r.Header.Set("X-Long", strings.Repeat("a", c.HeadBytes))
	}
	return r
}

// quarantinedFingerprint is the fingerprint of a request that crashes searchers.
var quarantinedFingerprint = func() hysquery.Fingerprint {
	r := hysmessage.Request{Method: http.MethodPost, Host: "127.0.0.1", Target: "/one/suspect"}
	return hysquery.Fingerprint(r.Fingerprint())
}()

var _ = Describe("the ingress", func() {
	var cases []requestCase
	hyssuite.Read("requests.json", &cases)
	for _, c := range cases {
		It(c.Name, func() {
			f := newFixture(c)
			defer f.server.Close()
			started := time.Now()
			response, err := http.DefaultClient.Do(f.request(c))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(c.Status), string(body))
			if c.Body != "" || response.StatusCode == http.StatusOK {
				Expect(string(body)).To(Equal(c.Body))
			}
			Expect(response.Header.Get("X-Sig")).To(Equal(c.Signature))
			Expect(response.Header.Get("X-Sigs")).To(Equal(c.Signatures))
			Expect(response.Header.Get("X-Missing")).To(Equal(c.Missing))
			Expect(response.Header.Get("Retry-After")).To(Equal(c.RetryAfter))
			Expect((<-f.records).Outcome.String()).To(Equal(c.Outcome))
			Expect(time.Since(started)).To(BeNumerically("<", 600*time.Millisecond))
		})
	}

	It("forwards what a searcher needs, without the system's own header fields", func() {
		c := requestCase{Path: "/one/a%2Fb?q=1", Replies: map[hysservice.Name]scriptedReply{"roll": {Status: 200}}}
		f := newFixture(c)
		defer f.server.Close()
		r := f.request(c)
		r.Header.Set("X-Deadline", "700")
		r.Header.Set("X-Searcher", "chosen-by-the-caller")
		r.Header.Set("X-Kept", "yes")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "no")
		_, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		sub := <-f.subs
		Expect(sub.Message.Target).To(Equal("/one/a%2Fb?q=1"))
		Expect(sub.Message.Header.Get("X-Kept")).To(Equal("yes"))
		for _, name := range []string{"X-Hop", "X-Id", "X-Deadline", "X-Searcher", "Connection"} {
			Expect(sub.Message.Header).NotTo(HaveKey(name))
		}
		Expect(sub.RequestID).To(BeEquivalentTo("r-1"))
		Expect(sub.MaxRuns).To(Equal(2))
		Expect(time.Until(sub.Deadline)).To(BeNumerically("~", 700*time.Millisecond, 150*time.Millisecond))
	})

	It("refuses a request that crashes searchers at once, and no other one", func() {
		c := requestCase{Path: "/one/suspect", Replies: map[hysservice.Name]scriptedReply{"roll": {Status: 200}}}
		f := newFixture(c)
		defer f.server.Close()
		r := f.request(c)
		r.Host = "127.0.0.1"
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("~", 60, 5))
		Expect((<-f.records).Reason).To(ContainSubstring("quarantined"))
		Expect(f.subs).To(BeEmpty(), "nothing was sent")
		c.Path = "/one/other"
		response, err = http.DefaultClient.Do(f.request(c))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// loseSearchers lets the searchers of some shards be lost while a query runs, each of
	// which may have run it once, and those of d2 twice. All sub-requests fail.
	loseSearchers := func(f *fixture, lost ...hysservice.Name) {
		var sent atomic.Bool
		f.ingress.Lost = func(service hysservice.Name) bool { return sent.Load() && slices.Contains(lost, service) }
		f.ingress.MostlyLost = func(shards []hysservice.Name) bool { return sent.Load() && 2*len(lost) > len(shards) }
		f.ingress.Submit = func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			sent.Store(true)
			if !slices.Contains(lost, sub.Service) {
				return hysdispatch.SubReply{Status: hysquery.ShardFailed, Sends: 1}
			}
			runs := 1
			if sub.Service == "d2" {
				runs = 2
			}
			return hysdispatch.SubReply{Status: hysquery.ShardUnavailable, Unreachable: true, Sends: runs, PossibleRuns: runs}
		}
	}

	// gather lets the fixture gather a query for another instance.
	gather := func(f *fixture) error {
		d := hysingress.Delegation{
			Message: &hysmessage.Request{
				Method: http.MethodPost, Target: "/few/7", Host: "127.0.0.1", Header: http.Header{"X-Id": {"r-1"}},
			},
			Start: time.Now(),
		}
		_, err := f.ingress.Gather(context.Background(), d, func([]hysservice.Name) error { return nil })
		return err
	}

	It("says how many searchers may have run a delegated query that it has given up", func() {
		f := newIngress(requestCase{})
		loseSearchers(f, "d1", "d2", "d3")
		var lost *hysingress.SearchersLostError
		Expect(errors.As(gather(f), &lost)).To(BeTrue())
		Expect(lost.PossibleRuns).To(Equal(2))
	})

	It("gives no query up for which most shards are in reach", func() {
		f := newIngress(requestCase{})
		loseSearchers(f, "d2")
		Expect(gather(f)).To(Succeed())
	})

	// Guards against budgets that take the repeat of a query for a request.
	DescribeTable("marks what may have been sent before", func(d hysingress.Delegation, repeated bool) {
		f := newIngress(requestCase{})
		subs := make(chan hysdispatch.SubRequest, 3)
		f.ingress.Submit = func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			subs <- sub
			return hysdispatch.SubReply{Status: hysquery.ShardFailed}
		}
		d.Start = time.Now()
		d.Message = &hysmessage.Request{Method: http.MethodGet, Target: "/two/7", Host: "127.0.0.1", Header: http.Header{"X-Id": {"r-1"}}}
		_, err := f.ingress.Gather(context.Background(), d, func([]hysservice.Name) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect((<-subs).Repeated).To(Equal(repeated))
	},
		Entry("not a first attempt", hysingress.Delegation{Attempts: 2, Confirmed: make(chan struct{})}, false),
		Entry("one with fewer attempts than its route has", hysingress.Delegation{Attempts: 1, Confirmed: make(chan struct{})}, true),
		Entry("the last attempt", hysingress.Delegation{Attempts: 1, UsedAttempts: 1}, true),
		Entry("not the first one of a build that confirms nothing", hysingress.Delegation{Attempts: 1}, false),
	)

	It("marks a query that is gathered after a silent gatherer may have run it", func() {
		f := newIngress(requestCase{})
		subs := make(chan hysdispatch.SubRequest, 3)
		f.ingress.Delegate = func(context.Context, hysingress.Delegation) (hysingress.DelegationResult, int, error) {
			return hysingress.DelegationResult{}, 1, errors.New("silent")
		}
		f.ingress.Submit = func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
			subs <- sub
			return hysdispatch.SubReply{Status: hysquery.ShardFailed}
		}
		r := httptest.NewRequest(http.MethodGet, "/two/7", nil)
		r.Host = "127.0.0.1"
		r.Header.Set("X-Id", "r-1")
		f.ingress.ServeHTTP(httptest.NewRecorder(), r)
		Expect(<-subs).To(And(HaveField("Repeated", true), HaveField("MaxRuns", 1)))
	})

	It("cancels the sub-requests of a caller that has disconnected", func() {
		c := requestCase{Path: "/all/7", Replies: map[hysservice.Name]scriptedReply{"d1": {Status: 200, AfterMS: 1500}, "d2": {Status: 200, AfterMS: 1500}}}
		f := newFixture(c)
		defer f.server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := http.DefaultClient.Do(f.request(c).WithContext(ctx))
		Expect(err).To(HaveOccurred())
		var record hysingress.Record
		Eventually(f.records, "500ms").Should(Receive(&record))
		Expect(record.Outcome).To(Equal(hysingress.OutcomeAbandoned))
	})
})
