package hysdispatch

import (
	"time"

	"hyssopshore/core/hysquery"
)

// Bounds and steps of the concurrency that a dispatcher uses at a replica.
const (
	// minConcurrency is a send in flight for a tenth of the time.
	minConcurrency = 0.1
	// minBulk is the least for bulk requests, so that they are not starved.
	minBulk = 0.2
	// congestedPart is the part of its goal that a send may take; a longer one
	// hardly helps its query any more.
	congestedPart = 0.5
	// congestedFactor is what a congested send leaves of the concurrency.
	congestedFactor = 0.8
	// bulkFactor is what one leaves of the concurrency of bulk requests.
	bulkFactor = 0.7
	// heavyFactor is how much longer than urgent requests heavy bulk ones take.
	heavyFactor = 1.5
	// recoveryStep is what a send in time adds to it.
	recoveryStep = 0.2
	// maxRest bounds the time between sends below a concurrency of one.
	maxRest = time.Second
)

// concurrency is how many sends to a replica this dispatcher has in flight. It
// answers the load of a searcher that many dispatchers share and that gets more
// than it can run: its own queue takes what comes first and makes all of it
// late, so that each dispatcher must keep what it has in its queue, where the
// urgent go first. Each cuts its part when sends are refused or take most of
// their goal, down to less than one send in flight, and grows it again
// otherwise. Bulk requests that hold a slot for much longer than the urgent ones
// are cut first and grow last; short ones take nothing that matters from them.
type concurrency struct {
	// limit is for all sends, bulk for those of bulk requests.
	limit float64
	bulk  float64
	slots int
	// usual is the average latency of each class.
	usual [hysquery.ClassBulk + 1]time.Duration
}

// record notes the latency of an answer.
func (c *concurrency) record(latency time.Duration, class hysquery.Class) {
	if c.usual[class] == 0 {
		c.usual[class] = latency
		return
	}
	c.usual[class] += time.Duration(latencyWeight * float64(latency-c.usual[class]))
}

// heavyBulk reports whether bulk requests take much longer than urgent ones.
func (c *concurrency) heavyBulk() bool {
	urgent, bulk := c.usual[hysquery.ClassUrgent], c.usual[hysquery.ClassBulk]
	return urgent > 0 && bulk.Seconds() > heavyFactor*urgent.Seconds()
}

func newConcurrency(slots int) concurrency {
	return concurrency{limit: 1, bulk: 1, slots: slots}
}

// sends is how many may be in flight at once.
func (c *concurrency) sends() int { return max(1, int(c.limit)) }

// bulkSends is how many may be in flight for one more bulk request.
func (c *concurrency) bulkSends() int { return max(1, int(c.bulk)) }

// scarce reports whether the replica is shared so closely that bulk requests may
// not have one send in flight all the time.
func (c *concurrency) scarce() bool { return c.bulk < 1 }

// grow notes an answer in time, with the goal of its request or 0.
func (c *concurrency) grow(goal time.Duration) {
	if goal == 0 {
		c.limit = min(c.limit+1, float64(c.slots))
		c.bulk = c.limit
		return
	}
	if c.limit < float64(c.slots) {
		c.limit = min(c.limit+recoveryStep, float64(c.slots))
		c.follow()
		return
	}
	c.bulk = min(c.bulk+recoveryStep/2, c.limit)
}

func (c *concurrency) congested(latency, goal time.Duration) bool {
	return goal > 0 && latency.Seconds() > congestedPart*goal.Seconds()
}

// cut notes a congested send of a class. A bulk one says nothing against the
// urgent ones.
func (c *concurrency) cut(class hysquery.Class) {
	if c.heavyBulk() && (c.bulk > minBulk || class == hysquery.ClassBulk) {
		c.bulk = max(c.bulk*bulkFactor, minBulk)
		return
	}
	c.limit = max(c.limit*congestedFactor, minConcurrency)
	c.follow()
}

// follow lets short bulk requests have what all others have.
func (c *concurrency) follow() {
	if !c.heavyBulk() {
		c.bulk = c.limit
	}
}

// rest is the time until the next send of a class after one that took a time.
func (c *concurrency) rest(latency time.Duration, class hysquery.Class) time.Duration {
	limit := c.limit
	if class == hysquery.ClassBulk {
		limit = c.bulk
	}
	if limit >= 1 {
		return 0
	}
	return min(time.Duration(latency.Seconds()*(1/limit-1)*float64(time.Second)), maxRest)
}
