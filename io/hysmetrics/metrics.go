// Package hysmetrics counts what a daemon does, by tally, and serves it in the
// Prometheus text format. docs/OPERATORS.md lists the metrics.
//
// The number of series is bounded: names of groups and services come from the
// configuration only, and past a limit they are counted together as "other".
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

// reportInterval is how often tally hands its values on.
const reportInterval = time.Second

// Labels of what has no name of its own.
const (
	labelNone  = "none"
	labelOther = "other"
)

// Limits of the names that get series of their own.
const (
	maxGroups   = 500
	maxServices = 100
)

// ClaimResult tells what became of a claim.
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

// Gauges are values of the daemon as a whole.
type Gauges struct {
	Ready    bool
	Leaving  bool
	StoreAge time.Duration
	// Staleness is how long ago nothing of the store was unknown.
	Staleness       time.Duration
	NewestTicket    uint64
	MembersListed   int
	MembersUsable   int
	RunningRequests int64
	Quarantined     int
	// Instances is how many daemons share what all may use together; 0 if
	// nothing is shared.
	Instances int64
	// DroppedLines is how many lines of the log found its queue full.
	DroppedLines int64
}

// ServiceGauges are values of one service.
type ServiceGauges struct {
	Waiting     int
	Running     int
	Slots       int
	RetryBudget float64
}

// Metrics counts what one daemon does. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	buckets tally.Buckets

	mu       sync.Mutex
	groups   map[string]bool
	services map[string]bool
	sends    sends
}

// New returns metrics without values.
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
		groups:  make(map[string]bool), services: make(map[string]bool),
		sends: sends{series: make(map[sendKey]sendSeries)},
	}
}

// latencyBuckets are close together around the goals of tens to hundreds of
// milliseconds.
func latencyBuckets() []time.Duration {
	var buckets []time.Duration
	for _, ms := range []int{1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000, 10000, 60000} {
		buckets = append(buckets, time.Duration(ms)*time.Millisecond)
	}
	return buckets
}

// Handler serves the metrics to a scraper.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }

// ObserveQuery counts a final answer to a caller.
func (m *Metrics) ObserveQuery(q hysquery.Query, a hysquery.Answer, latency time.Duration) {
	service := m.serviceLabel(q.Service)
	class := q.Class.String()
	m.scope.Tagged(map[string]string{
		"service": service, "group": m.label(m.groups, maxGroups, string(q.Group)),
		"class": class, "outcome": a.Outcome.String(),
	}).Counter("requests_total").Inc(1)
	m.scope.Tagged(map[string]string{"service": service, "class": class}).
		Histogram("request_seconds", m.buckets).RecordDuration(latency)
	m.observeCoverage(service, a.Coverage)
}

// ObserveRouteRequest counts a request that was passed on as it was.
func (m *Metrics) ObserveRouteRequest(route, outcome string, latency time.Duration, sends int) {
	name := m.label(m.groups, maxGroups, route)
	m.scope.Tagged(map[string]string{"route": name, "outcome": outcome}).Counter("route_requests_total").Inc(1)
	scope := m.scope.Tagged(map[string]string{"route": name})
	scope.Counter("route_sends_total").Inc(int64(sends))
	scope.Histogram("route_request_seconds", m.buckets).RecordDuration(latency)
}

// ObserveDelegation counts a query that was handed to another instance, by how that
// ended, or one that was gathered for another instance.
func (m *Metrics) ObserveDelegation(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("delegations_total").Inc(1)
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

// Set replaces the values of the daemon as a whole.
func (m *Metrics) Set(g Gauges) {
	m.scope.Gauge("ready").Update(number(g.Ready))
	m.scope.Gauge("leaving").Update(number(g.Leaving))
	m.scope.Gauge("store_age_seconds").Update(g.StoreAge.Seconds())
	m.scope.Gauge("knowledge_age_seconds").Update(g.Staleness.Seconds())
	m.scope.Gauge("newest_ticket").Update(float64(g.NewestTicket))
	m.scope.Gauge("members_listed").Update(float64(g.MembersListed))
	m.scope.Gauge("members_usable").Update(float64(g.MembersUsable))
	m.scope.Gauge("quarantined").Update(float64(g.Quarantined))
	m.scope.Gauge("running_requests").Update(float64(g.RunningRequests))
	m.scope.Gauge("instances").Update(float64(g.Instances))
	m.scope.Gauge("log_lines_dropped").Update(float64(g.DroppedLines))
}

// SetService replaces the values of a service.
func (m *Metrics) SetService(name hysservice.Name, g ServiceGauges) {
	scope := m.scope.Tagged(map[string]string{"service": m.serviceLabel(name)})
	scope.Gauge("queue_waiting").Update(float64(g.Waiting))
	scope.Gauge("slots_running").Update(float64(g.Running))
	scope.Gauge("slots").Update(float64(g.Slots))
	scope.Gauge("retry_budget").Update(g.RetryBudget)
}

// SetConnections replaces the number of open connections of a port.
func (m *Metrics) SetConnections(port Port, count int) {
	m.scope.Tagged(map[string]string{"port": string(port)}).Gauge("connections").Update(float64(count))
}

func (m *Metrics) serviceLabel(name hysservice.Name) string {
	return m.label(m.services, maxServices, string(name))
}

// label returns a name that is known or still has room among the known ones.
func (m *Metrics) label(known map[string]bool, limit int, name string) string {
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

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
