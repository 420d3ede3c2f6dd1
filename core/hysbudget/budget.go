// Package hysbudget bounds the retries and hedges by a share of the recent
// requests, so that extra load falls when the backend servers fail.
//
// # Usage
//
//	b := hysbudget.New(0.05, 20)
//	b.Earn()          // for each request
//	if b.Spend(0) { } // before each retry or hedge
//
// A Budget is safe for concurrent use.
package hysbudget

import "sync"

// Budget is a token bucket that requests fill and extra sends drain.
type Budget struct {
	mu     sync.Mutex
	share  float64
	limit  float64
	tokens float64
}

// New returns a full budget. Each request adds share tokens, up to limit.
func New(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, tokens: limit}
}

// SetLimit replaces how many tokens are kept.
func (b *Budget) SetLimit(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.tokens = min(b.tokens, limit)
}

// Earn adds the share of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.share)
}

// Spend takes one token and reports whether there was one beyond the reserve,
// which is a part of the limit from 0 to 1.
func (b *Budget) Spend(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve*b.limit {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many extra sends are allowed now.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
