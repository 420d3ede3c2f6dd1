package hysfront_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
	"hyssopshore/io/hysingress"
)

func TestFront(t *testing.T) {
	hyssuite.Run(t, "Front")
}

var headers = hysingress.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Sig", Searcher: "X-Searcher",
	NotRun: "X-Not-Run", Leaving: "X-Leaving", Limit: "X-Limit", Signatures: "X-Sigs", Missing: "X-Missing",
}

var errStoreUnavailable = fmt.Errorf("the store is unavailable")

// store is a scripted store.
type store struct {
	mu          sync.Mutex
	unavailable bool
	// backlog makes the store return more heartbeats than a daemon can read.
	backlog bool
	// after is the revision from which the last watch continued.
	after    hysmember.Revision
	reads    int
	watches  int
	version  hysroute.Version
	revision hysmember.Revision
	entries  hysmember.Entries
	changes  []hysfront.Changes
	// watchWait is how long a watch waits that reports no changes.
	watchWait time.Duration
	// holdsWatches makes such a watch wait as long as it was asked to.
	holdsWatches bool
	peers        hysmember.Instances
	limits       hysroute.Limits
	// eras are those that the store states, nil if it states none.
	eras *hysmember.Eras
	// onShared is called before the shared state is read, with the lock held.
	onShared func()
	// announcements counts them, also those that fail because failsAnnouncements is set.
	announcements      int
	failsAnnouncements bool
	// replaced is set while the announcements in the store are not those of the daemons.
	// lookups counts how often that was asked.
	replaced bool
	lookups  int
	// evidence holds the crash evidence that was written.
	evidence hysquarantine.Records
	// shards are the shards of the query route. Without any there is no such route.
	shards []hysservice.Name
	// goal is the goal of all routes.
	goal time.Duration
	// books adds a route for bookings, which may run once.
	books bool
}

func (s *store) withLock(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work()
}

func (s *store) configuration() hysfront.StoredConfiguration {
	routes := hysroute.Routes{{
		Name: hysroute.Name(fmt.Sprint("v", s.version)), Host: "rota.example", Prefix: "/", Idempotent: true,
		Timeout: 2 * time.Second, Goal: s.goal, Branches: hysroute.Branches{{Service: "roll", Weight: 1}},
	}}
	if len(s.shards) > 0 {
		routes = append(routes, &hysroute.Route{
			Name: "query", Host: "rota.example", Prefix: "/query/", Idempotent: true,
			Timeout: time.Second, Goal: s.goal, Shards: s.shards, TopK: 1, MinCoverage: 1, MaxAttempts: 2,
		})
	}
	if s.books {
		routes = append(routes, &hysroute.Route{
			Name: "book", Host: "rota.example", Prefix: "/book/", Timeout: 2 * time.Second, Goal: s.goal, MaxAttempts: 2,
			Branches: hysroute.Branches{{Service: "roll", Weight: 1}},
		})
	}
	c, skipped := hysroute.NewConfiguration(s.version, routes, nil, s.limits)
	Expect(skipped).To(BeEmpty())
	return hysfront.StoredConfiguration{Decoded: c, Revision: s.revision, Raw: fmt.Append(nil, s.version)}
}

func (s *store) source() hysfront.Source {
	return hysfront.Source{
		Read: func(context.Context) (hysfront.Snapshot, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable {
				return hysfront.Snapshot{}, errStoreUnavailable
			}
			s.reads++
			return hysfront.Snapshot{Configuration: s.configuration(), Entries: s.entries, Revision: s.revision}, nil
		},
		Watch: func(ctx context.Context, after hysmember.Revision, longest time.Duration) (hysfront.Changes, error) {
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable {
				return hysfront.Changes{}, errStoreUnavailable
			}
			s.watches++
			s.after = after
			if s.backlog {
				after.Number++
				return hysfront.Changes{Revision: after, Events: 500, More: true}, nil
			}
			if len(s.changes) == 0 {
				wait := s.watchWait
				if s.holdsWatches {
					wait = longest
				}
				s.mu.Unlock()
				time.Sleep(wait)
				s.mu.Lock()
				return hysfront.Changes{Revision: after}, nil
			}
			next := s.changes[0]
			s.changes = s.changes[1:]
			return next, nil
		},
		Decode: func(raw []byte) hysfront.StoredConfiguration {
			var version hysroute.Version
			if _, err := fmt.Sscan(string(raw), &version); err != nil {
				return hysfront.StoredConfiguration{Err: err}
			}
			scripted := &store{version: version, shards: s.shards, goal: s.goal, books: s.books}
			c := scripted.configuration()
			c.Raw = raw
			return c
		},
		Eras: s.eras,
		Announce: func(context.Context, hysmember.Instance, time.Duration) (hysfront.LeaseID, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.announcements++
			if s.failsAnnouncements {
				return 0, errStoreUnavailable
			}
			return 1, nil
		},
		Renew: func(context.Context, hysfront.LeaseID) error { return nil },
		IsAnnounced: func(context.Context, hysmember.InstanceID, hysfront.LeaseID) (bool, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lookups++
			return !s.replaced, nil
		},
		ReadSharedState: func(context.Context) (hysfront.SharedState, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.onShared != nil {
				s.onShared()
			}
			return hysfront.SharedState{Instances: s.peers}, nil
		},
		WriteCrashEvidence: func(_ context.Context, _ hysmember.InstanceID, r hysquarantine.Record, _ time.Duration) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.evidence = append(s.evidence, r)
			return nil
		},
	}
}

// daemon is a frontend daemon and its log.
type daemon struct {
	settings hysfront.Settings
	options  []hysfront.Option
	front    *hysfront.Front
	stop     context.CancelFunc
	stopped  chan error
	log      *hystest.Log
}

// droppedLines is the number of dropped log lines that each daemon reports.
const droppedLines = 7

// newDaemon returns a daemon that is not yet started. Each has its own IP address.
func newDaemon(ip string) *daemon {
	d := &daemon{stopped: make(chan error, 1), log: &hystest.Log{}, settings: hysfront.Settings{
		Instance: hysmember.InstanceID("entry-" + ip), Zone: "z", Region: "r", Address: ip,
		CallerAddress: hystest.FreeAddress(ip), ReadinessAddress: hystest.FreeAddress(ip), PeerAddress: hystest.FreeAddress(ip),
		StoreAddress: "127.0.0.1:1", StopGrace: 3 * time.Second,
	}}
	d.settings.Defaults()
	Expect(d.settings.Validate()).To(Succeed())
	return d
}

// start runs the daemon with a store until the test ends.
func (d *daemon) start(s *store) { d.startSource(s.source()) }

// startSource runs the daemon with a source until the test ends.
func (d *daemon) startSource(s hysfront.Source) {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	options := append(d.options, hysfront.WithDroppedLines(func() int64 { return droppedLines }))
	front := hysfront.New(d.settings, s, headers, slog.New(slog.NewJSONHandler(d.log, nil)), options...)
	d.front = front
	go func() { d.stopped <- front.Run(ctx, nil) }()
	DeferCleanup(func() {
		stop()
		Eventually(d.stopped, "10s").Should(Receive(BeNil()))
	})
}

func start(s *store, ip string) *daemon {
	d := newDaemon(ip)
	d.start(s)
	return d
}

// instance returns the daemon as it is announced to the others.
func (d *daemon) instance() hysmember.Instance {
	s := d.settings
	return hysmember.Instance{ID: s.Instance, Address: s.PeerAddress, Zone: s.Zone, Region: s.Region}
}

func (d *daemon) ready() int {
	status, _ := get("http://" + string(d.settings.ReadinessAddress) + "/readyz")
	return status
}

// scrape returns the metrics.
func (d *daemon) scrape() string {
	_, text := get(fmt.Sprintf("http://%s:%d%s", d.settings.Address, hysfront.MetricsPort, hysfront.MetricsPath))
	return text
}

// get returns the status and the body of a response, or 0 and the error.
func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (d *daemon) request() (int, string) { return d.requestPath("/7") }

func (d *daemon) requestPath(path string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+string(d.settings.CallerAddress)+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "rota.example"
	r.Header.Set("X-Id", "r-1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

// searcher starts a searcher and returns its entry.
func searcher(id hysmember.SearcherID, delay time.Duration) hysmember.Entry {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sig", "s")
		_, _ = io.WriteString(w, string(id))
	}))
	DeferCleanup(server.Close)
	address := hysmember.Address(strings.TrimPrefix(server.URL, "http://"))
	return hysmember.Entry{Searcher: hysmember.Searcher{ID: id, Service: "roll", Address: address, Zone: "z"}, Slots: 2, Revision: hystest.Revision(1)}
}

var _ = Describe("a frontend daemon", func() {
	var s *store

	BeforeEach(func() {
		s = &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}}
	})

	It("is ready once it has the configuration and the list of searchers, and serves", func() {
		s.unavailable = true
		d := start(s, "127.0.0.2")
		Eventually(d.ready, "2s").Should(Equal(http.StatusServiceUnavailable))
		status, _ := d.request()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		s.withLock(func() { s.unavailable = false })
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		status, body := d.request()
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("s-1"))
	})

	It("reports its state in the metrics", func() {
		d := start(s, "127.0.0.10")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		Eventually(d.scrape, "8s").Should(And(
			ContainSubstring("hyssopshore_ready 1"), ContainSubstring("hyssopshore_members_usable 1"),
			ContainSubstring("hyssopshore_log_lines_dropped 7"), ContainSubstring(`hyssopshore_slots{service="roll"} 2`),
		))
	})

	It("opens connections to the searchers of queries before the first query", func() {
		s.shards = []hysservice.Name{"roll"}
		d := start(s, "127.0.0.19")
		Eventually(d.log.String, "3s").Should(ContainSubstring(`"msg":"connections opened ahead","instance":"entry-127.0.0.19","count":1,"wanted":1`))
	})

	It("applies a newer configuration and never reverts to an older one", func() {
		d := start(s, "127.0.0.3")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		newer, older := &store{version: 4, revision: hystest.Revision(8)}, &store{version: 2, revision: hystest.Revision(9)}
		s.withLock(func() {
			s.changes = []hysfront.Changes{
				{Configuration: newer.configuration(), Revision: hystest.Revision(8), Events: 1},
				{Configuration: older.configuration(), Revision: hystest.Revision(9), Events: 1},
			}
		})
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.changes) }, "3s").Should(BeZero())
		d.request()
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"configuration":4`))
		Expect(d.log.String()).NotTo(ContainSubstring(`"msg":"configuration in force","instance":"entry-127.0.0.3","version":2`))
	})

	It("uses the address to which a searcher has moved", func() {
		d := start(s, "127.0.0.60")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		moved := searcher("s-1 moved", 0)
		moved.Searcher.ID, moved.Sequence, moved.Revision = "s-1", 2, hystest.Revision(8)
		s.withLock(func() {
			s.changes = []hysfront.Changes{{Updates: []hysfront.Update{{ID: "s-1", Entry: moved, Revision: hystest.Revision(8)}}, Revision: hystest.Revision(8), Events: 1}}
		})
		Eventually(func() string { _, body := d.request(); return body }, "2s").Should(Equal("s-1 moved"))
	})

	It("reads the full state again when a watch has missed a change", func() {
		d := start(s, "127.0.0.4")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		s.withLock(func() {
			s.version, s.revision = 6, hystest.Revision(20)
			s.changes = []hysfront.Changes{{Revision: hystest.Revision(20)}}
		})
		Eventually(func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.reads }, "2s").Should(Equal(2))
		Eventually(d.log.String, "2s").Should(ContainSubstring(`"version":6`))
	})

	It("catches up without delay when the store has more changes than one watch returns", func() {
		d := start(s, "127.0.0.26")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		newer := &store{version: 8, revision: hystest.Revision(6000)}
		s.withLock(func() {
			for revision := hystest.Revision(500); revision.Number < 6000; revision.Number += 500 {
				s.changes = append(s.changes, hysfront.Changes{Revision: revision, Events: 500, More: true})
			}
			s.changes = append(s.changes, hysfront.Changes{Configuration: newer.configuration(), Revision: hystest.Revision(6000), Events: 1})
		})
		Eventually(d.log.String, d.settings.ApplyWithin).Should(ContainSubstring(`"version":8`))
	})

	It("applies the state of another daemon while the store does not serve it", func() {
		served := start(s, "127.0.0.5")
		Eventually(served.ready, "2s").Should(Equal(http.StatusOK))
		unserved := &store{unavailable: true, peers: hysmember.Instances{served.instance()}}
		d := start(unserved, "127.0.0.6")
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		status, body := d.request()
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("s-1"))
		draining := s.entries[0]
		draining.Searcher.Leaving, draining.Sequence, draining.Revision = true, 9, hystest.Revision(30)
		fresh := searcher("s-2", 0)
		fresh.Revision = hystest.Revision(31)
		s.withLock(func() {
			s.changes = []hysfront.Changes{{Revision: hystest.Revision(31), Events: 2, Updates: []hysfront.Update{
				{ID: "s-1", Entry: draining, Revision: hystest.Revision(30)}, {ID: "s-2", Entry: fresh, Revision: hystest.Revision(31)},
			}}}
		})
		Eventually(func() string { _, body := d.request(); return body }, "3s").Should(Equal("s-2"))
	})

	It("finishes the requests in flight when it is stopped, and is at once no longer ready", func() {
		s.entries = hysmember.Entries{searcher("s-1", 800*time.Millisecond)}
		d := start(s, "127.0.0.7")
		Eventually(d.ready, "2s").Should(Equal(http.StatusOK))
		answers := make(chan int, 1)
		go func() { status, _ := d.request(); answers <- status }()
		time.Sleep(100 * time.Millisecond)
		d.stop()
		Eventually(d.ready, "500ms").Should(Equal(http.StatusServiceUnavailable))
		status, _ := d.request()
		Expect(status).To(Equal(http.StatusOK), "new callers still come for a while")
		Expect(<-answers).To(Equal(http.StatusOK))
		Eventually(d.stopped, "5s").Should(Receive(BeNil()))
		d.stopped <- nil
		Expect(d.log.String()).To(ContainSubstring(`"msg":"stopped"`))
	})
})
