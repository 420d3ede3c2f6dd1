package hysreach

import (
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// ChangeKind is a kind of change in what a Tracker believes.
type ChangeKind uint8

// The kinds of changes.
const (
	// ChangePartitioned means that this instance reaches no searcher.
	ChangePartitioned ChangeKind = iota // partitioned
	// ChangeRejoined means that it reaches most of them again.
	ChangeRejoined // rejoined
	// ChangeServiceLost means that it reaches no searcher of a service.
	ChangeServiceLost // service-lost
	// ChangeServiceRegained means that it reaches a searcher of the service again.
	ChangeServiceRegained // service-regained
	// ChangeSearcherRegained means that it reaches a searcher again.
	ChangeSearcherRegained // searcher-regained
)

// Change is a change in what a Tracker believes, with what it was derived from.
type Change struct {
	Kind ChangeKind
	// Service is the service of a change of a service or a searcher.
	Service hysservice.Name
	// Searcher is the one that was regained, or whose failure was the last of its
	// service.
	Searcher hysmember.SearcherID
	Evidence Evidence
	// Partitioned is set if the change is a part of a partition.
	Partitioned bool
	// SilentFor is how long nothing was heard from any searcher.
	SilentFor time.Duration
	// Lasted is how long the state lasted that ends with this change.
	Lasted time.Duration
	// Probed is the number of probes that failed in the decisive round.
	Probed int
	// Unreachable of Searchers are out of reach after the change.
	Unreachable int
	Searchers   int
}

// Changes is a list of changes.
type Changes []Change

// Status is the state of a Tracker.
type Status struct {
	Searchers   int
	Unreachable int
	// LostServices is the number of services without a reachable searcher.
	LostServices int
	// Partitioned is set while no searcher, or hardly any, is reached.
	Partitioned bool
	// SilentFor is how long nothing was heard from any searcher.
	SilentFor time.Duration
}
