package hysintake

import "time"

//go:generate go tool stringer -type=Reason -linecomment -output=enum_string.go

// Reason is why a connection is evicted.
type Reason uint8

// The reasons.
const (
	// ReasonConnections means that another client needs the connection.
	ReasonConnections Reason = iota // connections
	// ReasonMemory means that the requests that arrive hold too much memory.
	ReasonMemory // memory
)

// Eviction is the decision to close a connection whose request has not arrived whole,
// and so has not run.
type Eviction struct {
	ID     ConnectionID
	Reason Reason
	// Bytes is what its request held, Age for how long the connection had waited for a
	// request, or the request had been arriving.
	Bytes int64
	Age   time.Duration
}

// Evictions are several decisions, in their order.
type Evictions []Eviction
