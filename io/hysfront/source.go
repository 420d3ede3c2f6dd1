package hysfront

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
)

// Errors of a Source.
const (
	// ErrHistoryGone means that changes are missing: read the whole again.
	ErrHistoryGone = errors.ConstError("the history is gone")
	// ErrNone means that there is nothing yet.
	ErrNone = errors.ConstError("there is nothing yet")
	// ErrLeaseEnded means that a lease has ended.
	ErrLeaseEnded = errors.ConstError("the lease has ended")
)

// Configured is a configuration as it lies in the store.
type Configured struct {
	// Configuration is nil if nothing has changed.
	Configuration *hysroute.Configuration
	Skipped       []hysroute.Skipped
	// Revision is where a watch goes on.
	Revision hysmember.Revision
}

// Listing is the whole list of the searchers.
type Listing struct {
	Entries   hysmember.Entries
	Malformed []Malformed
	// Began is the revision of the store at which the reading began.
	Began hysmember.Revision
	// Calls is how many calls it took.
	Calls int
}

// Malformed is an entry that names no searcher to use.
type Malformed struct {
	ID       hysmember.SearcherID
	Revision hysmember.Revision
	Err      error
}

// Update is one change of the list.
type Update struct {
	ID       hysmember.SearcherID
	Entry    hysmember.Entry
	Revision hysmember.Revision
	// Removed is set when there is no entry any more, Malformed when there is
	// one that names no searcher.
	Removed   bool
	Malformed error
}

// Updates are the changes of the list since a revision, in their order.
type Updates struct {
	Updates  []Update
	Revision hysmember.Revision
}

// LeaseID identifies a lease of the store.
type LeaseID int64

// Source reads the store. Errors other than those of this package mean that the
// store does not serve this instance now.
type Source struct {
	// Configuration reads the newest configuration.
	Configuration func(context.Context) (Configured, error)
	// WatchConfiguration waits for a newer one.
	WatchConfiguration func(ctx context.Context, after hysmember.Revision, wait time.Duration) (Configured, error)
	// Searchers reads the whole list.
	Searchers func(context.Context) (Listing, error)
	// WatchSearchers waits for changes of the list.
	WatchSearchers func(ctx context.Context, after hysmember.Revision, wait time.Duration) (Updates, error)
	// Announce lists an instance for as long as its lease holds.
	Announce func(context.Context, hysmember.InstanceID, time.Duration) (LeaseID, error)
	// Renew keeps the lease of an announced instance.
	Renew func(context.Context, LeaseID) error
	// Instances counts the announced instances.
	Instances func(context.Context) (int, error)
}
