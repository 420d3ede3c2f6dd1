package hysquarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// Bounds of the requests remembered as good.
const (
	maxProven       = 65_536
	provenRetention = 10 * time.Minute
)

// ProvenCache remembers the requests that succeeded lately. It is safe for
// concurrent use.
type ProvenCache struct {
	cache *expirable.LRU[Key, struct{}]
}

// NewProvenCache returns an empty memory.
func NewProvenCache() *ProvenCache {
	return &ProvenCache{cache: expirable.NewLRU[Key, struct{}](maxProven, nil, provenRetention)}
}

// Add remembers a request that succeeded.
func (p *ProvenCache) Add(key Key) { p.cache.Add(key, struct{}{}) }

// Remove forgets a request.
func (p *ProvenCache) Remove(key Key) { p.cache.Remove(key) }

// Contains reports whether a request succeeded lately.
func (p *ProvenCache) Contains(key Key) bool { return p.cache.Contains(key) }
