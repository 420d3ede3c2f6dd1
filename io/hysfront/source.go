package hysfront

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysroute"
)

// Errors of a Source.
const (
	// ErrHistoryCompacted means that changes are missing: read the whole again.
	ErrHistoryCompacted = errors.ConstError("the history is gone")
	// ErrLeaseExpired means that a lease has ended.
	ErrLeaseExpired = errors.ConstError("the lease has ended")
)

// StoredConfiguration is a configuration as it lies in the store.
type StoredConfiguration struct {
	// Decoded is nil if there is none, or none that is new.
	Decoded  *hysroute.Configuration
	Skipped  []hysroute.Skipped
	Revision hysmember.Revision
	// Raw is the configuration as it lies in the store.
	Raw []byte
}

// Snapshot is the configuration and the whole list of the searchers.
type Snapshot struct {
	Configuration StoredConfiguration
	Entries       hysmember.Entries
	Malformed     []Malformed
	// Revision is the revision of the store at which the reading began.
	Revision hysmember.Revision
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

// Changes are what has changed since a revision, in its order.
type Changes struct {
	Configuration StoredConfiguration
	Updates       []Update
	Evidence      CrashEvidence
	// Revision is where the next watch goes on.
	Revision hysmember.Revision
	// Events counts the changes of all keys, of whatever kind.
	Events int
	// More is set if the store may have had more changes to tell than it tells at
	// once.
	More bool
}

// SharedState is what the daemons have written to the store for each other.
type SharedState struct {
	// Instances are those that are announced.
	Instances hysmember.Instances
	Evidence  CrashEvidence
}

// CrashEvidence is what daemons have written of requests that crash searchers.
type CrashEvidence struct {
	Records hysquarantine.Records
	// DecodeErrors are the errors of those that can't be read.
	DecodeErrors []error
}

// LeaseID identifies a lease of the store.
type LeaseID int64

// Source reads the store. Errors other than those of this package mean that the
// store does not serve this instance now.
type Source struct {
	// Read reads the configuration and the whole list.
	Read func(context.Context) (Snapshot, error)
	// Watch waits until any key has changed since a revision.
	Watch func(ctx context.Context, after hysmember.Revision, wait time.Duration) (Changes, error)
	// Decode decodes a configuration as it lies in the store.
	Decode func([]byte) (StoredConfiguration, error)
	// Announce lists an instance for other daemons for as long as its lease
	// holds.
	Announce func(context.Context, hysmember.Instance, time.Duration) (LeaseID, error)
	// Renew keeps the lease of an announced instance.
	Renew func(context.Context, LeaseID) error
	// ReadSharedState returns what the daemons have written for each other.
	ReadSharedState func(context.Context) (SharedState, error)
	// WriteCrashEvidence writes what an instance knows of a request that crashes searchers,
	// for as long as a lease holds.
	WriteCrashEvidence func(context.Context, hysmember.InstanceID, hysquarantine.Record, time.Duration) error
}
