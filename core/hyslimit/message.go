package hyslimit

import (
	"time"

	"hyssopshore/core/hysmember"
)

// Ask asks an allocator for permits of one searcher.
type Ask struct {
	Searcher    hysmember.SearcherID
	Incarnation uint64
	// Limit is what the asking instance knows of the limit. One that asks for no
	// permits reports that the limit is lifted.
	Limit Limit
	// Wanted is the number of permits that the instance needs now.
	Wanted int
	// Waiting is how many of them are for sends that wait since no replica is free.
	Waiting int
}

// Asks is a list of asks.
type Asks []Ask

// Grant is the answer to an Ask.
type Grant struct {
	Searcher    hysmember.SearcherID
	Incarnation uint64
	// Limit is what the allocator knows of the limit.
	Limit   Limit
	Permits int
	// Rate is what the instance could have if it needed as much.
	Rate Rate
	// Interval is the time until the next ask.
	Interval time.Duration
}

// Grants is a list of grants.
type Grants []Grant

// Mode is the capacity in which an allocator hands out permits.
type Mode uint8

// The modes of an allocator.
const (
	ModeFull   Mode = iota // full
	ModeDeputy             // deputy
)
