// Package hysroute decides by which services a request may be run.
//
// A Configuration is one version of what the operators have set. It never
// changes; a newer one replaces it as a whole. A request is matched once and
// keeps the version that it was matched at.
//
// # Usage
//
//	c, err := hysroute.NewConfiguration(version, routes, services, limits)
//	route, ok := c.Match("rota.example", "/sunday/7")
//	service := route.Pick()
package hysroute

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// ErrInvalid means that a route can't be used.
const ErrInvalid = errors.ConstError("invalid route")

// Name identifies a route.
type Name string

// Priority ranks routes; 0 is the most urgent.
type Priority int

// Branch is one of the services that share a route's requests.
type Branch struct {
	Service hysservice.Name
	Weight  float64
}

// Branches share a route's requests in proportion to their weights.
type Branches []Branch

// Route tells how the requests of a host and path are run.
type Route struct {
	Name   Name
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer has its full value.
	Goal time.Duration
	// MaxAttempts is how many searchers may run one request, of each shard.
	MaxAttempts int
	Priority    Priority
	// Branches are set for a request that one searcher answers.
	Branches Branches
	// Shards are set for a query, which one searcher of each answers.
	Shards []hysservice.Name
	// TopK is how many records the answer to a query holds.
	TopK int
	// MinCoverage is the part of the shards that an answer must cover, 0 to 1.
	MinCoverage float64
	// Class is set by NewConfiguration from the priorities of the routes that
	// share a service.
	Class hysquery.Class

	mu sync.Mutex
	// longest is the longest time that a caller has waited for.
	longest time.Duration
	// credit is how much of its share each branch is owed.
	credit []float64
}

// Routes is a list of routes.
type Routes []*Route

// Defaults fills in what may be left out.
func (r *Route) Defaults() {
	if r.MaxAttempts == 0 {
		r.MaxAttempts = 1
	}
	if r.Goal == 0 {
		r.Goal = r.Timeout
	}
}

// Validate returns why the route can't be used.
func (r *Route) Validate() error {
	switch {
	case len(r.Branches) == 0 && len(r.Shards) == 0:
		return fmt.Errorf("Route.Validate: %s names no service: %w", r.Name, ErrInvalid)
	case r.Timeout <= 0:
		return fmt.Errorf("Route.Validate: %s has no timeout: %w", r.Name, ErrInvalid)
	case r.MaxAttempts < 0:
		return fmt.Errorf("Route.Validate: %s allows %d attempts: %w", r.Name, r.MaxAttempts, ErrInvalid)
	}
	return nil
}

// IsQuery reports whether the route's requests go to all of its shards.
func (r *Route) IsQuery() bool { return len(r.Shards) > 0 }

// MinimumShards is how many shards an answer must cover, at least one.
func (r *Route) MinimumShards() int {
	const roundingError = 1e-9
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-roundingError)))
}

// Services returns every service that the route names.
func (r *Route) Services() []hysservice.Name {
	if r.IsQuery() {
		return r.Shards
	}
	names := make([]hysservice.Name, 0, len(r.Branches))
	for _, b := range r.Branches {
		names = append(names, b.Service)
	}
	return names
}

// returningPart is the part of the longest time that callers wait for below
// which a caller is taken to have waited before.
const returningPart = 0.85

// IsReturningCaller reports whether a caller who waits for a time has likely waited
// before and was refused: it has less time left than others of the route.
func (r *Route) IsReturningCaller(waits time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, waits)
	return waits.Seconds() < returningPart*r.longest.Seconds()
}

// Pick returns the service of the next request. The branches take turns by
// their weights, so that the shares also hold over few requests.
func (r *Route) Pick() hysservice.Name {
	if len(r.Branches) == 1 {
		return r.Branches[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.credit == nil {
		r.credit = make([]float64, len(r.Branches))
	}
	best, total := 0, 0.0
	for i, b := range r.Branches {
		r.credit[i] += b.Weight
		total += b.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.Branches[best].Service
}
