// Package hysconfig holds the configuration of a daemon. It applies tickets to
// the platform's store, and merges accepted tickets from the store and from
// peers.
//
// An object is replaced only by one with a higher ticket number. A store that
// was restored from a backup therefore can't revert the configuration of a
// daemon; instead, the daemons write the lost objects back to the store.
//
// # Usage
//
//	k := hysconfig.New(store, hysconfig.WithWatcher(isWatcher))
//	go k.Run(ctx)
//	result, err := k.Apply(ctx, ticket)
//	state := k.State()
package hysconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
	"hyssopshore/io/hysstore"
)

// Keys of the stored configuration.
const (
	headKey    = "hyssopshore/head"
	pagePrefix = "hyssopshore/pages/"
)

// maxLocalLogEntries is the number of log entries that a daemon holds in memory,
// to write them back to a store that has lost them.
const maxLocalLogEntries = 4 * hysticket.MaxLogEntries

// Store holds the calls that a Keeper makes to the platform's store; see
// hysstore.Client.
type Store struct {
	Get    func(ctx context.Context, key string) (hysstore.Value, error)
	Put    func(ctx context.Context, key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error)
	Watch  func(ctx context.Context, key string, known hysstore.Revision, wait time.Duration) (hysstore.Value, error)
	List   func(ctx context.Context, prefix string) ([]hysstore.Entry, error)
	Delete func(ctx context.Context, key string, expected hysstore.Revision) error
}

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	store    Store
	now      func() time.Time
	instance hysmember.InstanceID
	// isWatcher reports whether this instance watches the store.
	isWatcher       func() bool
	timing          Timing
	conflictBackoff time.Duration

	mu    sync.Mutex
	state hysticket.State
	// head is the head of the store when it was last read or written,
	// storedDigest the digest of its state, and revision its revision.
	head         hysticket.Head
	storedDigest hysticket.Digest
	revision     hysstore.Revision
	generation   hysticket.Generation
	log          hysticket.Log
	pending      pendingAudit
	lastSync     time.Time
	pages        map[hysticket.PageHash]hysticket.State
	// garbageSince holds when a page was first found to be garbage.
	garbageSince map[hysticket.PageRef]time.Time
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithInstance sets the author of the write-backs in the audit trail.
func WithInstance(id hysmember.InstanceID) Option {
	return func(k *Keeper) { k.instance = id }
}

// WithWatcher sets the callback that reports whether this daemon watches the
// store. Without this option it does.
func WithWatcher(watcher func() bool) Option {
	return func(k *Keeper) { k.isWatcher = watcher }
}

// WithStore replaces the calls to the store.
func WithStore(s Store) Option {
	return func(k *Keeper) { k.store = s }
}

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(k *Keeper) { k.now = now }
}

// New returns a keeper with an empty configuration.
func New(store *hysstore.Client, options ...Option) *Keeper {
	k := &Keeper{
		now: time.Now, timing: defaultTiming, conflictBackoff: defaultConflictBackoff,
		isWatcher:    func() bool { return true },
		pages:        make(map[hysticket.PageHash]hysticket.State),
		garbageSince: make(map[hysticket.PageRef]time.Time),
	}
	if store != nil {
		k.store = Store{Get: store.Get, Put: store.Put, Watch: store.Watch, List: store.List, Delete: store.Delete}
	}
	for _, o := range options {
		o(k)
	}
	return k
}

// State returns the configuration in force.
func (k *Keeper) State() hysticket.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// Synced returns when the configuration was last read from the store or written
// to it, or the zero time.
func (k *Keeper) Synced() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastSync
}

// Merge merges the configuration of a peer into the one in force.
func (k *Keeper) Merge(other hysticket.State) {
	for {
		known := k.State()
		merged := known.Merge(other)
		if k.replaceState(known, merged) {
			return
		}
	}
}

// replaceState replaces the state and returns true if it is still the known one.
func (k *Keeper) replaceState(known, merged hysticket.State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Digest() != known.Digest() {
		return false
	}
	k.state = merged
	return true
}

// applyHead applies a value of the head key, unless it was applied before.
func (k *Keeper) applyHead(ctx context.Context, value hysstore.Value) error {
	if k.isCurrent(value.Revision) {
		return nil
	}
	head, state, err := k.loadState(ctx, value)
	if err != nil {
		return fmt.Errorf("Keeper.applyHead: %w", err)
	}
	k.applyStored(head, state, value.Revision)
	return nil
}

// isCurrent reports whether a revision of the head was applied already. If so,
// the configuration counts as synced now.
func (k *Keeper) isCurrent(revision hysstore.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision == 0 || revision != k.revision {
		return false
	}
	k.lastSync = k.now()
	return true
}

// applyStored merges the configuration of the store into the one in force,
// records the head and its revision, and removes unused pages from the cache.
func (k *Keeper) applyStored(head hysticket.Head, state hysticket.State, revision hysstore.Revision) {
	k.Merge(state)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.head, k.storedDigest, k.revision, k.lastSync = head, state.Digest(), revision, k.now()
	k.generation = max(k.generation, head.Generation)
	k.log = k.log.Merge(head.Log, maxLocalLogEntries)
	used := make(map[hysticket.PageHash]bool, hysticket.PageCount)
	for _, ref := range head.Pages {
		used[ref.Hash] = true
	}
	for hash := range k.pages {
		if !used[hash] {
			delete(k.pages, hash)
		}
	}
}

// loadState decodes a head and reads the state that it refers to.
func (k *Keeper) loadState(ctx context.Context, value hysstore.Value) (hysticket.Head, hysticket.State, error) {
	var head hysticket.Head
	if len(value.Data) == 0 {
		return head, hysticket.State{}, nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return head, hysticket.State{}, fmt.Errorf("decode head: %w", err)
	}
	var pages []hysticket.State
	for _, ref := range head.Pages {
		page, err := k.readPage(ctx, ref)
		if err != nil {
			return head, hysticket.State{}, err
		}
		pages = append(pages, page)
	}
	return head, hysticket.MergeStates(pages), nil
}

func (k *Keeper) readPage(ctx context.Context, ref hysticket.PageRef) (hysticket.State, error) {
	if ref.Hash == "" {
		return hysticket.State{}, nil
	}
	k.mu.Lock()
	known, ok := k.pages[ref.Hash]
	k.mu.Unlock()
	if ok {
		return known, nil
	}
	value, err := k.store.Get(ctx, pagePrefix+ref.String())
	if err != nil {
		return hysticket.State{}, fmt.Errorf("read page: %w", err)
	}
	var page hysticket.State
	if err := page.UnmarshalJSON(value.Data); err != nil {
		return hysticket.State{}, fmt.Errorf("decode page %s: %w", ref, err)
	}
	k.mu.Lock()
	k.pages[ref.Hash] = page
	k.mu.Unlock()
	return page, nil
}

// readHead reads the head. A head that does not exist is an empty value.
func (k *Keeper) readHead(ctx context.Context) (hysstore.Value, error) {
	value, err := k.store.Get(ctx, headKey)
	if err != nil && !errors.Is(err, hysstore.ErrNotFound) {
		return hysstore.Value{}, fmt.Errorf("read head: %w", err)
	}
	return value, nil
}
