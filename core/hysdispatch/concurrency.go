package hysdispatch

import "time"

// Bounds and steps of the concurrency that a dispatcher uses at a replica.
const (
	// minConcurrency is a send in flight for a tenth of the time.
	minConcurrency = 0.1
	// congestedPart is the part of its goal that a send may take; a longer one
	// hardly helps its query any more.
	congestedPart = 0.5
	// congestedFactor is what a congested send leaves of the concurrency.
	congestedFactor = 0.8
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
// otherwise.
type concurrency struct {
	limit float64
	slots int
}

func newConcurrency(slots int) concurrency {
	return concurrency{limit: 1, slots: slots}
}

// sends is how many may be in flight at once.
func (c *concurrency) sends() int { return max(1, int(c.limit)) }

// scarce reports whether the replica is shared so closely that this dispatcher
// may not have one send in flight all the time.
func (c *concurrency) scarce() bool { return c.limit < 1 }

// answered notes a send that was answered, with the goal of its request or 0.
func (c *concurrency) answered(latency, goal time.Duration) {
	step := recoveryStep
	if goal == 0 {
		step = 1
	}
	if !c.congested(latency, goal) {
		c.limit = min(c.limit+step, float64(c.slots))
		return
	}
	c.cut()
}

func (c *concurrency) congested(latency, goal time.Duration) bool {
	return goal > 0 && latency.Seconds() > congestedPart*goal.Seconds()
}

func (c *concurrency) cut() { c.limit = max(c.limit*congestedFactor, minConcurrency) }

// rest is the time until the next send after one that took a time.
func (c *concurrency) rest(latency time.Duration) time.Duration {
	if c.limit >= 1 {
		return 0
	}
	return min(time.Duration(latency.Seconds()*(1/c.limit-1)*float64(time.Second)), maxRest)
}
