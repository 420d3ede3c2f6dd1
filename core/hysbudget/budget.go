// Package hysbudget bounds the retries and hedges by a share of the requests of
// the last seconds, so that extra load falls when the backend servers fail.
//
// It answers this load: a calm time, and then a fault that many requests need a
// second send for. What the calm requests of the last window have earned may be
// spent at once, and with it the slack, but in no window more than that.
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
	"sync"
	"time"
)

// defaultWindow is the span within which the extra sends are bounded.
const defaultWindow = 10 * time.Second

// steps is how many parts a window is counted in.
const steps = 20

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
	// counts are those of the window and of the step before it, by the number of
	// the step; newest is the last of them.
	counts [steps + 1]count
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

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().earned++
}

// Spend takes an extra send and reports whether there was one beyond the reserve,
// which is a part from 0 to 1 of what the window allows.
func (b *Budget) Spend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	allowed, left := b.allowance()
	if left < 1+reserve*allowed {
		return false
	}
	now.spent++
	return true
}

// Left returns how many extra sends are allowed now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	_, left := b.allowance()
	return left
}

// allowance returns how many extra sends the window allows, and how many of them
// are left. The oldest step lies only in part in the window: what was spent in it
// counts, what was earned does not.
func (b *Budget) allowance() (allowed, left float64) {
	if !b.now().Before(b.slackFrom) {
		allowed = b.slack
	}
	oldest, spent := (b.newest+1)%int64(len(b.counts)), 0
	for i, c := range b.counts {
		spent += c.spent
		if int64(i) != oldest {
			allowed += b.share * float64(c.earned)
		}
	}
	return allowed, allowed - float64(spent)
}

// current returns the count of the present step, and clears those that are over.
func (b *Budget) current() *count {
	step := int64(b.now().Sub(b.began) / (b.window / steps))
	size := int64(len(b.counts))
	for n := max(b.newest+1, step-size+1); n <= step; n++ {
		b.counts[n%size] = count{}
	}
	b.newest = max(b.newest, step)
	return &b.counts[b.newest%size]
}
