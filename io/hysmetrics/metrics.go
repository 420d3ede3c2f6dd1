// Package hysmetrics collects the metrics of a daemon with tally and serves them in
// the Prometheus text format. docs/OPERATORS.md lists the metrics.
//
// The number of series is bounded: names of groups, routes and services come only
// from the configuration, and names beyond a limit share the label "other".
//
// # Usage
//
//	m := hysmetrics.New()
//	defer m.Close()
//	m.Observe(query, answer, latency)
//	http.Handle("/metrics", m.Handler())
package hysmetrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// reportInterval is how often tally reports its values to the Prometheus reporter.
const reportInterval = time.Second

// Label values for an absent name and for names beyond the limit.
const (
	labelNone  = "none"
	labelOther = "other"
)

// Maximum numbers of names that have series of their own.
const (
	maxGroupSeries   = 500
	maxServiceSeries = 100
)

// ClaimResult is the result of a claim on a non-idempotent request.
type ClaimResult string

// The results of claims.
const (
	ClaimWon    ClaimResult = "won"
	ClaimLost   ClaimResult = "lost"
	ClaimFailed ClaimResult = "failed"
)

// Port names a port of the daemon.
type Port string

// The HTTP ports of the daemon.
const (
	PortCaller   Port = "caller"
	PortOperator Port = "operator"
)

// Gauges are the values of daemon-wide gauges.
type Gauges struct {
	Ready    bool
	Leaving  bool
	StoreAge time.Duration
	// StoreEra counts how often the store has come back from a copy.
	StoreEra int64
	// Staleness is the time since the daemon last had the complete state of the
	// store.
	Staleness       time.Duration
	NewestTicket    uint64
	MembersListed   int
	MembersUsable   int
	RunningRequests int64
	Quarantined     int
	// Instances is the number of daemons that divide common limits between them,
	// 0 if no limit is divided.
	Instances int64
	// DroppedLines is the number of log lines dropped because the queue was full
	// or a write failed.
	DroppedLines int64
}

// ServiceGauges are the values of the gauges of one service.
type ServiceGauges struct {
	Waiting     int
	Running     int
	Slots       int
	RetryBudget float64
}

// Metrics collects the metrics of one daemon. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	buckets tally.Buckets

	mu       sync.Mutex
	groups   map[string]bool
	services map[string]bool
	// searchers are those whose rate limits have series.
	searchers map[string]bool
	sends     sends
}

// New returns an empty Metrics and starts its periodic reporting. Call Close to
// stop it.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssopshore", CachedReporter: r, Separator: reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, handler: r.HTTPHandler(),
		buckets: tally.DurationBuckets(latencyBuckets()),
		groups:  make(map[string]bool), services: make(map[string]bool), searchers: make(map[string]bool),
		sends: sends{series: make(map[sendKey]sendSeries)},
	}
}

// latencyBuckets returns histogram buckets that are narrow around the usual latency
// goals, which are tens to hundreds of milliseconds.
func latencyBuckets() []time.Duration {
	var buckets []time.Duration
	for _, ms := range []int{1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000, 10000, 60000} {
		buckets = append(buckets, time.Duration(ms)*time.Millisecond)
	}
	return buckets
}

// Handler returns the handler that serves the metrics to a scraper.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the final values and stops the reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// ObserveQuery records the final answer to a query, its latency and the status of
// its shards.
func (m *Metrics) ObserveQuery(q hysquery.Query, a hysquery.Answer, latency time.Duration) {
	service := m.serviceSeriesLabel(q.Service)
	class := q.Class.String()
	m.scope.Tagged(map[string]string{
		"service": service, "group": m.seriesLabel(m.groups, maxGroupSeries, string(q.Group)),
		"class": class, "outcome": a.Outcome.String(),
	}).Counter("requests_total").Inc(1)
	m.scope.Tagged(map[string]string{"service": service, "class": class}).
		Histogram("request_seconds", m.buckets).RecordDuration(latency)
	m.observeCoverage(service, a.Coverage)
}

// ObserveRouteRequest records a request that was forwarded unchanged on a route:
// its outcome, its latency and its number of sends.
func (m *Metrics) ObserveRouteRequest(route, outcome string, latency time.Duration, sends int) {
	name := m.seriesLabel(m.groups, maxGroupSeries, route)
	m.scope.Tagged(map[string]string{"route": name, "outcome": outcome}).Counter("route_requests_total").Inc(1)
	scope := m.scope.Tagged(map[string]string{"route": name})
	scope.Counter("route_sends_total").Inc(int64(sends))
	scope.Histogram("route_request_seconds", m.buckets).RecordDuration(latency)
}

// ObserveConfiguration records by which way a version of the configuration came, and how
// long it can have taken at most from its writing until it was in force.
func (m *Metrics) ObserveConfiguration(way string, lag time.Duration) {
	m.scope.Tagged(map[string]string{"way": way}).Histogram("configuration_lag_seconds", m.buckets).RecordDuration(lag)
}

// ObserveDelegation counts, by result, a query that was delegated to another
// instance or gathered on behalf of one.
func (m *Metrics) ObserveDelegation(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("delegations_total").Inc(1)
}

// ObserveRelay counts, by result, sub-requests that another instance was asked to run, or
// that were run on behalf of one.
func (m *Metrics) ObserveRelay(result string, count int) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("relayed_total").Inc(int64(count))
}

func (m *Metrics) observeCoverage(service string, coverage hysquery.Coverage) {
	counts := make(map[hysquery.ShardStatus]int64)
	for _, c := range coverage {
		counts[c.Status]++
	}
	for status, count := range counts {
		m.scope.Tagged(map[string]string{"service": service, "status": status.String()}).Counter("shards_total").Inc(count)
	}
}

// ObserveClaim counts a claim on a non-idempotent request.
func (m *Metrics) ObserveClaim(result ClaimResult) {
	m.scope.Tagged(map[string]string{"result": string(result)}).Counter("claims_total").Inc(1)
}

// ObserveTicket counts a ticket by its result.
func (m *Metrics) ObserveTicket(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("tickets_total").Inc(1)
}

// Set updates the daemon-wide gauges.
func (m *Metrics) Set(g Gauges) {
	m.scope.Gauge("ready").Update(boolValue(g.Ready))
	m.scope.Gauge("leaving").Update(boolValue(g.Leaving))
	m.scope.Gauge("store_age_seconds").Update(g.StoreAge.Seconds())
	m.scope.Gauge("store_era").Update(float64(g.StoreEra))
	m.scope.Gauge("knowledge_age_seconds").Update(g.Staleness.Seconds())
	m.scope.Gauge("newest_ticket").Update(float64(g.NewestTicket))
	m.scope.Gauge("members_listed").Update(float64(g.MembersListed))
	m.scope.Gauge("members_usable").Update(float64(g.MembersUsable))
	m.scope.Gauge("quarantined").Update(float64(g.Quarantined))
	m.scope.Gauge("running_requests").Update(float64(g.RunningRequests))
	m.scope.Gauge("instances").Update(float64(g.Instances))
	m.scope.Gauge("log_lines_dropped").Update(float64(g.DroppedLines))
}

// SetService updates the gauges of a service.
func (m *Metrics) SetService(name hysservice.Name, g ServiceGauges) {
	scope := m.scope.Tagged(map[string]string{"service": m.serviceSeriesLabel(name)})
	scope.Gauge("queue_waiting").Update(float64(g.Waiting))
	scope.Gauge("slots_running").Update(float64(g.Running))
	scope.Gauge("slots").Update(float64(g.Slots))
	scope.Gauge("retry_budget").Update(g.RetryBudget)
}

// SetConnections updates the number of open connections of a port.
func (m *Metrics) SetConnections(port Port, count int) {
	m.scope.Tagged(map[string]string{"port": string(port)}).Gauge("connections").Update(float64(count))
}

func (m *Metrics) serviceSeriesLabel(name hysservice.Name) string {
	return m.seriesLabel(m.services, maxServiceSeries, string(name))
}

// seriesLabel returns the label value for a name: the name itself if it is already
// known or fewer than limit names are known, labelOther if not, and labelNone for
// an empty name.
func (m *Metrics) seriesLabel(known map[string]bool, limit int, name string) string {
	if name == "" {
		return labelNone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known[name] {
		return name
	}
	if len(known) >= limit {
		return labelOther
	}
	known[name] = true
	return name
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
