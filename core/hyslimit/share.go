package hyslimit

import "time"

// Shares of a stated rate limit. They add up to less than the 1.5 times of the limit
// that a searcher tolerates, even if the allocator, the second in rank and all
// instances by themselves use theirs at the same time.
const (
	// allocatedShare is handed out by the allocator.
	allocatedShare = 1.0
	// deputyShare is handed out by the second in rank while the first one does not
	// answer some instances.
	deputyShare = 0.3
	// ownShare is divided equally among all instances, for those that nobody answers.
	ownShare = 0.1
)

// minRate is the least rate, in requests per second, that is used of any limit. A
// limit of 0 is only found to be lifted by the response to a request.
const minRate Rate = 0.25

// Times of permits.
const (
	// minAskInterval and maxAskInterval bound the time between two asks of an
	// instance for permits of a searcher.
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = time.Second
	// urgentAskInterval applies to an instance that has sends waiting, or that needs
	// more than it asked for.
	urgentAskInterval = 30 * time.Millisecond
	// permitMargin is how much longer than the ask interval a permit is valid.
	permitMargin = 200 * time.Millisecond
	// replyTime is the expected time until a reply.
	replyTime = 5 * time.Millisecond
	// replyTimeout is the time after which an ask without a reply is repeated.
	replyTimeout = 500 * time.Millisecond
)

// Spans of the rate whose tokens an allocator keeps.
const (
	// burstSpan bounds what it may hand out at once.
	burstSpan = 800 * time.Millisecond
	// reserveSpan is kept for sends that wait: while the other replicas of a shard
	// pause, all that needs the shard depends on those with rate limits.
	reserveSpan = 500 * time.Millisecond
)

// effective returns the rate that is divided, which is at least minRate.
func (r Rate) effective() Rate { return max(r, minRate) }

// in returns the number of requests that the rate allows within a span.
func (r Rate) in(span time.Duration) float64 { return float64(r) * span.Seconds() }

// burst returns the number of tokens that an allocator keeps, at least one.
func (r Rate) burst() float64 { return max(r.in(burstSpan), 1) }

// reserve returns how many of them are kept for sends that wait. It leaves one for
// others.
func (r Rate) reserve() float64 { return min(r.in(reserveSpan), r.burst()-1) }

// interval returns the time between two requests, at most maxInterval.
func (r Rate) interval() time.Duration {
	if r.in(maxInterval) <= 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// maxInterval bounds the time between two requests, so that it can be calculated with.
const maxInterval = 24 * time.Hour
