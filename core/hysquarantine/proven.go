package hysquarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// Bounds of a ProvenCache.
const (
	maxProven       = 65_536
	provenRetention = 10 * time.Minute
)

// ProvenCache holds the requests that succeeded recently. It is safe for
// concurrent use.
type ProvenCache struct {
	cache *expirable.LRU[Key, struct{}]
}

// NewProvenCache returns an empty cache.
func NewProvenCache() *ProvenCache {
	return &ProvenCache{cache: expirable.NewLRU[Key, struct{}](maxProven, nil, provenRetention)}
}

// Add records that a request succeeded.
func (p *ProvenCache) Add(key Key) { p.cache.Add(key, struct{}{}) }

// Remove removes a request, which is unproven from then on.
func (p *ProvenCache) Remove(key Key) { p.cache.Remove(key) }

// Contains reports whether a request succeeded recently.
func (p *ProvenCache) Contains(key Key) bool { return p.cache.Contains(key) }
