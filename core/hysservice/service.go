// Package hysservice defines the services that groups may search: the slots and
// connections of each searcher, and the trade-off between latency and coverage of
// an answer.
//
// # Usage
//
//	s := hysservice.Service{Name: "captains-desk", SearcherSlots: 2}
//	s.Defaults()
//	if err := s.Validate(); err != nil { ... }
package hysservice

import (
	"fmt"
	"regexp"
	"time"

	"github.com/juju/errors"
)

// ErrInvalid is returned by Validate; the error text names the field.
const ErrInvalid = errors.ConstError("invalid service")

// Name identifies a service. It is kebab case of at most 63 bytes; see ValidName.
type Name string

// ShardID identifies a shard within one shard map of a service.
type ShardID uint32

// Milliseconds is a duration in the JSON formats of this system.
type Milliseconds int64

// Duration returns the duration as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Limits and defaults of a service.
const (
	MaxSearcherSlots           = 64
	MaxSearcherConnections     = 1000
	MaxDeadlineLimit           = Milliseconds(60_000)
	DefaultLatencyGoal         = Milliseconds(200)
	DefaultMaxDeadline         = Milliseconds(10_000)
	DefaultSearcherSlots       = 2
	DefaultSearcherConnections = 25
)

// Service is one searchable index and the policy for searching it.
type Service struct {
	Name Name `json:"name"`
	// SearcherSlots is how many requests one searcher runs concurrently.
	SearcherSlots int `json:"searcher-slots"`
	// SearcherConnections is how many connections one searcher accepts from
	// all instances together.
	SearcherConnections int `json:"searcher-connections"`
	// LatencyGoal is the time after which a query is answered with the shard
	// results that have arrived, unless WaitForCoverage is set.
	LatencyGoal Milliseconds `json:"latency-goal-ms"`
	// WaitForCoverage makes a query wait for every shard up to its deadline.
	WaitForCoverage bool `json:"wait-for-coverage"`
	// MaxDeadline is the longest deadline that a caller may ask for.
	MaxDeadline Milliseconds `json:"max-deadline-ms"`
	// SkipCanary sends an unproven request to all shards at once, although it
	// may crash a searcher of each.
	SkipCanary bool `json:"skip-canary,omitempty"`
}

// Services is a list of services.
type Services []Service

// Defaults sets the omitted fields to their defaults.
func (s *Service) Defaults() {
	if s.SearcherSlots == 0 {
		s.SearcherSlots = DefaultSearcherSlots
	}
	if s.SearcherConnections == 0 {
		s.SearcherConnections = DefaultSearcherConnections
	}
	if s.LatencyGoal == 0 {
		s.LatencyGoal = DefaultLatencyGoal
	}
	if s.MaxDeadline == 0 {
		s.MaxDeadline = DefaultMaxDeadline
	}
}

// Validate returns an ErrInvalid that names the first invalid field.
func (s *Service) Validate() error {
	if !ValidName(string(s.Name)) {
		return invalid("name %q is not kebab case of at most 63 bytes", s.Name)
	}
	if s.SearcherSlots < 1 || s.SearcherSlots > MaxSearcherSlots {
		return invalid("searcher-slots %d is not in 1..%d", s.SearcherSlots, MaxSearcherSlots)
	}
	if s.SearcherConnections < s.SearcherSlots || s.SearcherConnections > MaxSearcherConnections {
		return invalid("searcher-connections %d is not in %d..%d",
			s.SearcherConnections, s.SearcherSlots, MaxSearcherConnections)
	}
	if s.MaxDeadline < 1 || s.MaxDeadline > MaxDeadlineLimit {
		return invalid("max-deadline-ms %d is not in 1..%d", s.MaxDeadline, MaxDeadlineLimit)
	}
	if s.LatencyGoal < 1 || s.LatencyGoal > s.MaxDeadline {
		return invalid("latency-goal-ms %d is not in 1..%d", s.LatencyGoal, s.MaxDeadline)
	}
	return nil
}

// ValidName reports whether a name is kebab case of at most 63 bytes.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("Service.Validate: "+format+": %w", append(args, ErrInvalid)...)
}
