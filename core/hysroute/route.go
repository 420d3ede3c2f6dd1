// Package hysroute selects the services that run a request.
//
// A Configuration is one version of the operators' settings. It is immutable; a
// newer one replaces it as a whole. A request is matched once and keeps the route
// of that version.
//
// # Usage
//
//	c, skipped := hysroute.NewConfiguration(version, routes, services, limits)
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

// ErrInvalid is returned for a route that can't be used.
const ErrInvalid = errors.ConstError("invalid route")

// Name identifies a route.
type Name string

// Priority ranks routes; 0 is the most urgent.
type Priority int

// Branch is one of the services that a route's requests are split over.
type Branch struct {
	Service hysservice.Name
	Weight  float64
}

// Branches splits a route's requests in proportion to the weights.
type Branches []Branch

// Route tells how the requests to a host and a path prefix are run.
type Route struct {
	Name   Name
	Host   string
	Prefix string
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the latency goal: an answer within it has its full value.
	Goal time.Duration
	// MaxAttempts is how many searchers, of each shard, may run one request.
	MaxAttempts int
	Priority    Priority
	// Branches is set if one searcher answers a request.
	Branches Branches
	// Shards is set if a request is a query, which one searcher of each shard
	// answers. Each shard is a service.
	Shards []hysservice.Name
	// TopK is the number of records in the answer to a query.
	TopK int
	// MinCoverage is the fraction of the shards that an answer must cover, 0 to 1.
	MinCoverage float64
	// Class is set by NewConfiguration, by comparing priorities among the routes
	// that share a service.
	Class hysquery.Class

	mu sync.Mutex
	// longestWait is the longest time that any caller was willing to wait.
	longestWait time.Duration
	// credit holds the current weight of each branch for Pick.
	credit []float64
}

// Routes is a list of routes.
type Routes []*Route

// Defaults sets the omitted fields to their defaults.
func (r *Route) Defaults() {
	if r.MaxAttempts == 0 {
		r.MaxAttempts = 1
	}
	if r.Goal == 0 {
		r.Goal = r.Timeout
	}
}

// Validate returns an ErrInvalid that names the first problem.
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

// IsQuery reports whether the route's requests are queries, which go to all of
// its shards.
func (r *Route) IsQuery() bool { return len(r.Shards) > 0 }

// MinimumShards returns how many shards an answer must cover, at least one.
func (r *Route) MinimumShards() int {
	const roundingError = 1e-9
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-roundingError)))
}

// Services returns every service that the route sends requests to.
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

// returningFraction is the fraction of the longest wait below which a caller is
// assumed to have waited before.
const returningFraction = 0.85

// IsReturningCaller reports whether a caller that waits at most for the given time
// has likely waited before and been refused: it has less time remaining than the
// other callers of the route.
func (r *Route) IsReturningCaller(wait time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestWait = max(r.longestWait, wait)
	return wait.Seconds() < returningFraction*r.longestWait.Seconds()
}

// Pick returns the service of the next request, by smooth weighted round robin,
// so that the proportions hold over few requests too.
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
