// Package hysbudget bounds the retries and hedges by a share of the requests of
// the last seconds, so that extra load falls when the backend servers fail.
//
// It answers this load: a calm time, and then a fault that many requests need a
// second send for. What the calm requests of the last window have earned may be
// spent at once, and with it the slack, but in no window more than that. The requests
// that count for a window are its own, those of the window before it or those of the
// window that begins half a window before it, whichever are most.
//
// Many instances that each keep to a budget of their own, with a share of the
// slack, keep to the whole together. An instance that has just started does not
// know what it has spent before: it has no slack until a window has passed.
//
// # Usage
//
//	b := hysbudget.New(0.05, 20)
//	b.Earn()          // for each request
//	if b.Spend(0) { } // before each retry or hedge
//
// A Budget is safe for concurrent use.
package hysbudget

import (
	"math"
	"sync"
	"time"
)

// defaultWindow is the span within which the extra sends are bounded.
const defaultWindow = 10 * time.Second

// steps is how many parts a window is counted in, an even number.
const steps = 20

// kept is how many steps are remembered: two windows and the step before them.
const kept = 2*steps + 1

// count holds the requests and the extra sends of a step.
type count struct {
	earned int
	spent  int
}

// Budget counts requests and extra sends over a sliding window.
type Budget struct {
	mu     sync.Mutex
	now    func() time.Time
	share  float64
	slack  float64
	window time.Duration
	// began is when the first step was, slackFrom when the slack may be used.
	began     time.Time
	slackFrom time.Time
	// counts are those of the last steps, by the number of the step; newest is the
	// last of them.
	counts [kept]count
	newest int64
}

// Option changes a Budget.
type Option func(*Budget)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budget) { b.now = now }
}

// WithWindow replaces the span within which the extra sends are bounded.
func WithWindow(span time.Duration) Option {
	return func(b *Budget) { b.window = span }
}

// WithSlackFrom gives no slack before a time.
func WithSlackFrom(from time.Time) Option {
	return func(b *Budget) { b.slackFrom = from }
}

// New returns a budget of extra sends: in any window a share of its requests,
// and a number of them besides.
func New(share, slack float64, options ...Option) *Budget {
	b := &Budget{now: time.Now, share: share, slack: slack, window: defaultWindow}
	for _, o := range options {
		o(b)
	}
	b.began = b.now()
	return b
}

// SetSlack replaces how many extra sends are allowed besides the share.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// AddRequest counts a request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().earned++
}

// TrySpend takes an extra send and reports whether there was one beyond the reserve,
// which is a part from 0 to 1 of what each window allows.
func (b *Budget) TrySpend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	if b.left(reserve) < 1 {
		return false
	}
	now.spent++
	return true
}

// Remaining returns how many extra sends are allowed now.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	return b.left(0)
}

// left returns how many extra sends beyond the reserve every window still allows
// that is not over. Of the step in which a window begins all that was spent counts,
// and nothing that was earned.
func (b *Budget) left(reserve float64) float64 {
	slack := 0.0
	if !b.now().Before(b.slackFrom) {
		slack = b.slack
	}
	sums := b.sumsOfEarned()
	left := math.Inf(1)
	spent := 0
	for first := b.newest; first >= b.newest-steps; first-- {
		spent += b.at(first).spent
		allowed := b.share*float64(sums.requests(first)) + slack
		left = min(left, (1-reserve)*allowed-float64(spent))
	}
	return left
}

// earnedSums are the sums of the requests up to each of the last steps.
type earnedSums struct {
	newest int64
	upTo   [kept + 1]int
}

func (b *Budget) sumsOfEarned() earnedSums {
	s := earnedSums{newest: b.newest}
	for n := range int64(kept) {
		s.upTo[n+1] = s.upTo[n] + b.at(b.newest-kept+1+n).earned
	}
	return s
}

// requests are those that count for a window that begins in a step.
func (s *earnedSums) requests(first int64) int {
	own := s.earned(first+1, s.newest)
	halfBefore := s.earned(first-steps/2+1, min(first+steps/2-1, s.newest))
	before := s.earned(first-steps+1, first-1)
	return max(own, halfBefore, before)
}

// earned counts the requests of some steps.
func (s *earnedSums) earned(from, to int64) int {
	return s.until(to) - s.until(from-1)
}

// until counts the requests of the last steps up to one.
func (s *earnedSums) until(step int64) int {
	n := step - (s.newest - kept)
	return s.upTo[min(max(n, 0), kept)]
}

// at returns the count of a step, which is empty before the first one.
func (b *Budget) at(step int64) count {
	if step < 0 {
		return count{}
	}
	return b.counts[step%kept]
}

// current returns the count of the present step, and clears those that are over.
func (b *Budget) current() *count {
	step := max(int64(b.now().Sub(b.began)/(b.window/steps)), b.newest)
	for n := max(b.newest+1, step-kept+1); n <= step; n++ {
		b.counts[n%kept] = count{}
	}
	b.newest = step
	return &b.counts[step%kept]
}
