package hysmetrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// sendKey identifies the series of the sends to a service with the same result.
type sendKey struct {
	service string
	result  string
}

// sendSeries holds the send counter of a key and the latency histogram of its
// service.
type sendSeries struct {
	count   tally.Counter
	latency tally.Histogram
}

// sends caches the series that are in use. A query makes at least one send per
// shard, and looking up a series by its labels costs more than incrementing it.
type sends struct {
	mu     sync.Mutex
	series map[sendKey]sendSeries
}

// ObserveSend records a send to a searcher, by its result, and its latency.
func (m *Metrics) ObserveSend(service, result string, latency time.Duration) {
	s := m.sendSeries(sendKey{service: m.seriesLabel(m.services, maxServiceSeries, service), result: result})
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
