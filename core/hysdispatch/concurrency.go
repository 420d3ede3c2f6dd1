package hysdispatch

import (
	"time"

	"hyssopshore/core/hysquery"
)

// Bounds and steps of the concurrency limit of a dispatcher at a replica.
const (
	// minConcurrency is one send in flight for a tenth of the time.
	minConcurrency = 0.1
	// minBulkConcurrency keeps bulk requests from being starved.
	minBulkConcurrency = 0.2
	// congestedFraction is the fraction of its goal above which a send counts as
	// congested; a send that takes longer hardly helps its query any more.
	congestedFraction = 0.5
	// limitCutFactor is what a congested send multiplies the limit by.
	limitCutFactor = 0.8
	// bulkCutFactor is what a congested send multiplies the bulk limit by.
	bulkCutFactor = 0.7
	// heavyBulkFactor is how many times the latency of urgent requests bulk requests
	// must exceed to count as heavy.
	heavyBulkFactor = 1.5
	// recoveryStep is what a send in time adds to the limit.
	recoveryStep = 0.2
	// maxSpacing bounds the time between sends below a limit of one.
	maxSpacing = time.Second
)

// concurrency is the adaptive limit of the sends that this dispatcher has in flight
// at a replica. A searcher shared by many dispatchers may get more than it can run.
// It serves its own queue in the order of arrival, so that all requests would be
// late; therefore each dispatcher must keep the excess in its own queue, where urgent
// requests go first. Each dispatcher cuts its limit when sends are refused or take
// most of their goal, down to less than one send in flight, and raises it again
// otherwise. Bulk requests that hold a slot for much longer than urgent ones are cut
// first and recover last; short bulk requests hardly delay the urgent ones.
type concurrency struct {
	// limit is for all sends, bulk for those of bulk requests.
	limit float64
	bulk  float64
	slots int
	// averageLatency is the average latency of each class.
	averageLatency [hysquery.ClassBulk + 1]time.Duration
}

// record adds the latency of an answered send to the average of its class.
func (c *concurrency) record(latency time.Duration, class hysquery.Class) {
	if c.averageLatency[class] == 0 {
		c.averageLatency[class] = latency
		return
	}
	c.averageLatency[class] += time.Duration(latencyWeight * float64(latency-c.averageLatency[class]))
}

// heavyBulk reports whether bulk requests take much longer than urgent ones.
func (c *concurrency) heavyBulk() bool {
	urgent, bulk := c.averageLatency[hysquery.ClassUrgent], c.averageLatency[hysquery.ClassBulk]
	return urgent > 0 && bulk.Seconds() > heavyBulkFactor*urgent.Seconds()
}

func newConcurrency(slots int) concurrency {
	return concurrency{limit: 1, bulk: 1, slots: slots}
}

// maxSends is how many sends may be in flight at the same time.
func (c *concurrency) maxSends() int { return max(1, int(c.limit)) }

// maxBulkSends is how many sends may be in flight for one more bulk request to start.
func (c *concurrency) maxBulkSends() int { return max(1, int(c.bulk)) }

// bulkBelowOne reports whether bulk requests may not have one send in flight all the
// time.
func (c *concurrency) bulkBelowOne() bool { return c.bulk < 1 }

// grow raises the limit after an answer in time. goal is the goal of the request, 0 if
// it has none.
func (c *concurrency) grow(goal time.Duration) {
	if goal == 0 {
		c.limit = min(c.limit+1, float64(c.slots))
		c.bulk = c.limit
		return
	}
	if c.limit < float64(c.slots) {
		c.limit = min(c.limit+recoveryStep, float64(c.slots))
		c.syncBulk()
		return
	}
	c.bulk = min(c.bulk+recoveryStep/2, c.limit)
}

// congested reports whether a send took so much of its goal, 0 for none, that the
// replica counts as congested.
func (c *concurrency) congested(latency, goal time.Duration) bool {
	return goal > 0 && latency.Seconds() > congestedFraction*goal.Seconds()
}

// cut lowers the limit after a congested send of a class. A congested bulk send alone
// is no reason to limit urgent ones.
func (c *concurrency) cut(class hysquery.Class) {
	if c.heavyBulk() && (c.bulk > minBulkConcurrency || class == hysquery.ClassBulk) {
		c.bulk = max(c.bulk*bulkCutFactor, minBulkConcurrency)
		return
	}
	c.limit = max(c.limit*limitCutFactor, minConcurrency)
	c.syncBulk()
}

// syncBulk raises or lowers the bulk limit to that of all sends, unless bulk requests
// are heavy.
func (c *concurrency) syncBulk() {
	if !c.heavyBulk() {
		c.bulk = c.limit
	}
}

// spacing is the time until the next send of a class, after a send with a latency. It
// keeps the average concurrency at a limit below one.
func (c *concurrency) spacing(latency time.Duration, class hysquery.Class) time.Duration {
	limit := c.limit
	if class == hysquery.ClassBulk {
		limit = c.bulk
	}
	if limit >= 1 {
		return 0
	}
	return min(time.Duration(latency.Seconds()*(1/limit-1)*float64(time.Second)), maxSpacing)
}
