package hysmetrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// sendKey names the series of the sends to a service that ended alike.
type sendKey struct {
	service string
	result  string
}

// sendSeries are their counter and their latencies.
type sendSeries struct {
	count   tally.Counter
	latency tally.Histogram
}

// sends are the series that have been used: a query has a send at each shard, and
// looking for a series by its labels costs more than counting.
type sends struct {
	mu     sync.Mutex
	series map[sendKey]sendSeries
}

// ObserveSend counts a send to a searcher by how it ended.
func (m *Metrics) ObserveSend(service, result string, latency time.Duration) {
	s := m.sendSeries(sendKey{service: m.label(m.services, maxServices, service), result: result})
	s.count.Inc(1)
	s.latency.RecordDuration(latency)
}

func (m *Metrics) sendSeries(key sendKey) sendSeries {
	m.sends.mu.Lock()
	defer m.sends.mu.Unlock()
	if s, ok := m.sends.series[key]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"service": key.service})
	s := sendSeries{
		count:   scope.Tagged(map[string]string{"result": key.result}).Counter("sends_total"),
		latency: scope.Histogram("send_seconds", m.buckets),
	}
	m.sends.series[key] = s
	return s
}
