package hysmetrics

// maxSearcherSeries is the maximum number of searchers that have series of their own.
const maxSearcherSeries = 50

// SearcherLimit holds the values of one searcher's rate limit.
type SearcherLimit struct {
	Searcher string
	// Rate is the limit over all instances, Part is what this instance may use of it
	// now, both in requests per second.
	Rate float64
	Part float64
	// Sends is how many sends this instance has made while a limit was known, HeldBack
	// how many it has not made, or has made elsewhere, because of the limit.
	Sends    int64
	HeldBack int64
}

// SearcherLimits is a list of rate limits.
type SearcherLimits []SearcherLimit

// SetLimits updates the gauges of the rate limits. Those of searchers that are not in
// the list become 0. Searchers beyond the maximum number of series are added up.
func (m *Metrics) SetLimits(limits SearcherLimits) {
	byLabel := make(map[string]SearcherLimit)
	for _, l := range limits {
		label := m.seriesLabel(m.searchers, maxSearcherSeries, l.Searcher)
		sum := byLabel[label]
		sum.Rate += l.Rate
		sum.Part += l.Part
		sum.Sends += l.Sends
		sum.HeldBack += l.HeldBack
		byLabel[label] = sum
	}
	m.scope.Gauge("rate_limited_searchers").Update(float64(len(limits)))
	for _, label := range m.searcherLabels() {
		l := byLabel[label]
		scope := m.scope.Tagged(map[string]string{"searcher": label})
		scope.Gauge("rate_limit").Update(l.Rate)
		scope.Gauge("rate_limit_part").Update(l.Part)
		scope.Gauge("rate_limited_sends").Update(float64(l.Sends))
		scope.Gauge("rate_limit_held_back").Update(float64(l.HeldBack))
	}
}

// searcherLabels returns the labels of the rate limits' series.
func (m *Metrics) searcherLabels() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := make([]string, 0, len(m.searchers)+1)
	for label := range m.searchers {
		labels = append(labels, label)
	}
	if len(labels) == maxSearcherSeries {
		labels = append(labels, labelOther)
	}
	return labels
}
