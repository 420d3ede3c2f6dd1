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
	// ErrHistoryCompacted means that changes are missing and the full state must be
	// read again.
	ErrHistoryCompacted = errors.ConstError("the watch history is compacted")
	// ErrEraChanged means that the store came back from a copy while it was read. It
	// must be read again.
	ErrEraChanged = errors.ConstError("the store has begun another era")
	// ErrLeaseExpired means that a lease has expired.
	ErrLeaseExpired = errors.ConstError("the lease has expired")
)

// StoredConfiguration is a configuration in the store, raw and decoded.
type StoredConfiguration struct {
	// Decoded is nil if there is no configuration, or no new one.
	Decoded  *hysroute.Configuration
	Skipped  []hysroute.Skipped
	Revision hysmember.Revision
	// Raw is the encoded configuration as the store holds it.
	Raw []byte
	// Err says why a newer one can't be used.
	Err error
}

// Snapshot is the configuration and the full list of the searchers.
type Snapshot struct {
	Configuration StoredConfiguration
	Entries       hysmember.Entries
	Malformed     []Malformed
	// Revision is the revision of the store when the read began.
	Revision hysmember.Revision
}

// Malformed is an entry that does not describe a usable searcher.
type Malformed struct {
	ID       hysmember.SearcherID
	Revision hysmember.Revision
	Err      error
}

// Update is one change of the list of searchers.
type Update struct {
	ID       hysmember.SearcherID
	Entry    hysmember.Entry
	Revision hysmember.Revision
	// Removed is set when the entry was removed, Malformed when it does not
	// describe a usable searcher.
	Removed   bool
	Malformed error
}

// Changes are the changes since a revision, in the order of the store.
type Changes struct {
	Configuration StoredConfiguration
	Updates       []Update
	Evidence      CrashEvidence
	// Revision is where the next watch continues.
	Revision hysmember.Revision
	// Events counts the changes of all keys, whether relevant or not.
	Events int
	// More is set if the store may have more changes than it returned at once.
	More bool
}

// SharedState is what the daemons have written to the store for each other.
type SharedState struct {
	// Instances are the announced instances.
	Instances hysmember.Instances
	Evidence  CrashEvidence
}

// CrashEvidence is what daemons have written about requests that crash searchers.
type CrashEvidence struct {
	Records hysquarantine.Records
	// DecodeErrors are the errors of the records that can't be decoded.
	DecodeErrors []error
}

// LeaseID identifies a lease of the store.
type LeaseID int64

// Source is the access to the store. Errors other than those of this package mean
// that the store does not serve this instance now.
type Source struct {
	// Read reads the configuration and the full list of searchers.
	Read func(context.Context) (Snapshot, error)
	// Watch waits, for a limited time, until any key has changed since a revision. If
	// the revision of what it returns is of another era, changes may be missing.
	Watch func(ctx context.Context, after hysmember.Revision, wait time.Duration) (Changes, error)
	// Decode decodes a configuration as the store holds it.
	Decode func([]byte) StoredConfiguration
	// Announce lists an instance for other daemons, for as long as its lease is
	// renewed. An announcement whose result is not known does not replace a later one.
	Announce func(context.Context, hysmember.Instance, time.Duration) (LeaseID, error)
	// Renew renews the lease of an announced instance. The error is ErrLeaseExpired
	// if it has expired.
	Renew func(context.Context, LeaseID) error
	// IsAnnounced reports whether an instance is announced under a lease. That it is may
	// be some seconds old, that it is not is up to date.
	IsAnnounced func(context.Context, hysmember.InstanceID, LeaseID) (bool, error)
	// ReadSharedState returns what the daemons have written for each other.
	ReadSharedState func(context.Context) (SharedState, error)
	// WriteCrashEvidence writes an instance's record of a request that crashes
	// searchers, with a lease of the given duration.
	WriteCrashEvidence func(context.Context, hysmember.InstanceID, hysquarantine.Record, time.Duration) error
	// Eras are the eras that the store's answers have stated; nil for a store that
	// states none.
	Eras *hysmember.Eras
}
