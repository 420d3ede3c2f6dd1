// Package hysbudget limits retries and hedges to a share of the requests of the last
// seconds, so that the extra load falls when the backend servers fail.
//
// After a period without faults, a fault may make many requests need a second send at
// the same time. So the share of the requests of the last window may be spent at once,
// and the slack with it, but no window may contain more extra sends than that. The
// requests that count for a window are its own, those of the window before it, or
// those of the window that begins half a window before it, whichever are most.
//
// Instances that each have a budget of their own, with a part of the slack, keep to
// the limit together. An instance that has just started does not know what it spent
// before the restart; it has no slack until a window has passed.
//
// # Usage
//
//	b := hysbudget.New(0.05, 20)
//	b.AddRequest()       // for each request
//	if b.TrySpend(0) { } // before each retry or hedge
//
// A Budget is safe for concurrent use.
package hysbudget

import (
	"math"
	"sync"
	"time"
)

// defaultWindow is the span within which the extra sends are limited.
const defaultWindow = 10 * time.Second

// bucketsPerWindow is how many buckets a window is counted in, an even number.
const bucketsPerWindow = 20

// bucketCount is how many buckets are kept: two windows and the bucket before them.
const bucketCount = 2*bucketsPerWindow + 1

// bucket counts the requests and the extra sends of a part of a window.
type bucket struct {
	requests   int
	extraSends int
}

// Budget counts requests and extra sends over a sliding window.
type Budget struct {
	mu     sync.Mutex
	now    func() time.Time
	share  float64
	slack  float64
	window time.Duration
	// start is the time of the first bucket, slackFrom the time from which on the
	// slack may be used.
	start     time.Time
	slackFrom time.Time
	// buckets holds the last buckets, each at its number modulo bucketCount; newest
	// is the highest number.
	buckets [bucketCount]bucket
	newest  int64
}

// Option configures a Budget.
type Option func(*Budget)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budget) { b.now = now }
}

// WithWindow replaces the span within which the extra sends are limited.
func WithWindow(span time.Duration) Option {
	return func(b *Budget) { b.window = span }
}

// WithSlackFrom makes the slack available only from a time on.
func WithSlackFrom(from time.Time) Option {
	return func(b *Budget) { b.slackFrom = from }
}

// New returns a budget of extra sends. Within any window it allows a share of the
// requests, from 0 to 1, and slack sends in addition.
func New(share, slack float64, options ...Option) *Budget {
	b := &Budget{now: time.Now, share: share, slack: slack, window: defaultWindow}
	for _, o := range options {
		o(b)
	}
	b.start = b.now()
	return b
}

// SetSlack replaces how many extra sends are allowed in addition to the share.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// AddRequest counts a request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().requests++
}

// TrySpend counts an extra send and returns true, or returns false if only the
// reserve remains. The reserve is a fraction, from 0 to 1, of what each window
// allows.
func (b *Budget) TrySpend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket()
	if b.remaining(reserve) < 1 {
		return false
	}
	current.extraSends++
	return true
}

// Spend counts an extra send that is made whatever remains.
func (b *Budget) Spend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().extraSends++
}

// Remaining returns how many extra sends are allowed now. It may be negative after
// the slack was lowered, or after Spend.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket()
	return b.remaining(0)
}

// remaining returns how many extra sends beyond the reserve are allowed by every
// window that has not ended. A window may begin within its first bucket: all extra
// sends of that bucket count for the window, none of its requests.
func (b *Budget) remaining(reserve float64) float64 {
	slack := 0.0
	if !b.now().Before(b.slackFrom) {
		slack = b.slack
	}
	sums := b.requestSums()
	remaining := math.Inf(1)
	extraSends := 0
	for first := b.newest; first >= b.newest-bucketsPerWindow; first-- {
		extraSends += b.bucketAt(first).extraSends
		allowed := b.share*float64(sums.countedFor(first)) + slack
		remaining = min(remaining, (1-reserve)*allowed-float64(extraSends))
	}
	return remaining
}

// requestSums are the sums of the requests up to each of the kept buckets.
type requestSums struct {
	newest int64
	sums   [bucketCount + 1]int
}

func (b *Budget) requestSums() requestSums {
	s := requestSums{newest: b.newest}
	for n := range int64(bucketCount) {
		s.sums[n+1] = s.sums[n] + b.bucketAt(b.newest-bucketCount+1+n).requests
	}
	return s
}

// countedFor returns the requests that count for a window that begins in a bucket.
func (s *requestSums) countedFor(first int64) int {
	own := s.between(first+1, s.newest)
	halfBefore := s.between(first-bucketsPerWindow/2+1, min(first+bucketsPerWindow/2-1, s.newest))
	before := s.between(first-bucketsPerWindow+1, first-1)
	return max(own, halfBefore, before)
}

// between returns the number of requests in the buckets from one number to another.
func (s *requestSums) between(from, to int64) int {
	return s.upTo(to) - s.upTo(from-1)
}

// upTo returns the number of requests in the kept buckets up to a number.
func (s *requestSums) upTo(number int64) int {
	n := number - (s.newest - bucketCount)
	return s.sums[min(max(n, 0), bucketCount)]
}

// bucketAt returns the bucket with a number. It is empty before the first one.
func (b *Budget) bucketAt(number int64) bucket {
	if number < 0 {
		return bucket{}
	}
	return b.buckets[number%bucketCount]
}

// currentBucket returns the bucket of the present time, and clears those whose slots
// it reuses.
func (b *Budget) currentBucket() *bucket {
	number := max(int64(b.now().Sub(b.start)/(b.window/bucketsPerWindow)), b.newest)
	for n := max(b.newest+1, number-bucketCount+1); n <= number; n++ {
		b.buckets[n%bucketCount] = bucket{}
	}
	b.newest = number
	return &b.buckets[number%bucketCount]
}
