// Package hysconfig keeps the configuration of a daemon: it applies tickets to
// the platform's store and learns accepted ones from the store and from peers.
//
// What a daemon knows only grows: an object is replaced by one with a higher
// ticket number alone. A store that was restored from a backup can therefore
// revert nothing, and is written back what it lost.
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

// Keys of the store.
const (
	headKey    = "hyssopshore/head"
	pagePrefix = "hyssopshore/pages/"
)

// maxKnownLog is how many log entries a daemon keeps to write back.
const maxKnownLog = 4 * hysticket.MaxLogEntries

// Store is what a Keeper calls of the platform's store.
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
	// watcher reports whether this instance watches the store.
	watcher   func() bool
	timing    Timing
	raceDelay time.Duration

	mu    sync.Mutex
	state hysticket.State
	// head, stored and revision are what the store held when it was read last.
	head       hysticket.Head
	stored     hysticket.Digest
	revision   hysstore.Revision
	generation hysticket.Generation
	log        hysticket.Log
	vouched    vouched
	synced     time.Time
	pages      map[hysticket.PageHash]hysticket.State
	// garbage holds when a page was first seen to be garbage.
	garbage map[hysticket.PageRef]time.Time
}

// Option changes a Keeper.
type Option func(*Keeper)

// WithInstance names the daemon in the audit trail.
func WithInstance(id hysmember.InstanceID) Option {
	return func(k *Keeper) { k.instance = id }
}

// WithWatcher sets how a daemon knows whether it watches the store. Without
// it, it does.
func WithWatcher(watcher func() bool) Option {
	return func(k *Keeper) { k.watcher = watcher }
}

// WithStore replaces the calls of the store.
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
		now: time.Now, timing: defaultTiming, raceDelay: defaultRaceDelay,
		watcher: func() bool { return true },
		pages:   make(map[hysticket.PageHash]hysticket.State),
		garbage: make(map[hysticket.PageRef]time.Time),
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

// Synced returns when the store last told the configuration.
func (k *Keeper) Synced() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.synced
}

// Merge takes in what a peer knows.
func (k *Keeper) Merge(other hysticket.State) {
	for {
		known := k.State()
		merged := known.Merge(other)
		if k.replace(known, merged) {
			return
		}
	}
}

// replace sets the state unless it has been changed since it was read.
func (k *Keeper) replace(known, merged hysticket.State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Digest() != known.Digest() {
		return false
	}
	k.state = merged
	return true
}

// learn takes in a value of the head.
func (k *Keeper) learn(ctx context.Context, value hysstore.Value) error {
	if k.holds(value.Revision) {
		return nil
	}
	head, state, err := k.load(ctx, value)
	if err != nil {
		return fmt.Errorf("Keeper.learn: %w", err)
	}
	k.adopt(head, state, value.Revision)
	return nil
}

// holds reports whether a revision of the head was read already.
func (k *Keeper) holds(revision hysstore.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision == 0 || revision != k.revision {
		return false
	}
	k.synced = k.now()
	return true
}

// adopt takes in what the store holds.
func (k *Keeper) adopt(head hysticket.Head, state hysticket.State, revision hysstore.Revision) {
	k.Merge(state)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.head, k.stored, k.revision, k.synced = head, state.Digest(), revision, k.now()
	k.generation = max(k.generation, head.Generation)
	k.log = k.log.Merge(head.Log, maxKnownLog)
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

// load reads the state that a head refers to.
func (k *Keeper) load(ctx context.Context, value hysstore.Value) (hysticket.Head, hysticket.State, error) {
	var head hysticket.Head
	if len(value.Data) == 0 {
		return head, hysticket.State{}, nil
	}
	if err := json.Unmarshal(value.Data, &head); err != nil {
		return head, hysticket.State{}, fmt.Errorf("decode head: %w", err)
	}
	var pages []hysticket.State
	for _, ref := range head.Pages {
		page, err := k.page(ctx, ref)
		if err != nil {
			return head, hysticket.State{}, err
		}
		pages = append(pages, page)
	}
	return head, hysticket.MergeStates(pages), nil
}

func (k *Keeper) page(ctx context.Context, ref hysticket.PageRef) (hysticket.State, error) {
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

// read reads the head. A head that does not exist is an empty value.
func (k *Keeper) read(ctx context.Context) (hysstore.Value, error) {
	value, err := k.store.Get(ctx, headKey)
	if err != nil && !errors.Is(err, hysstore.ErrNotFound) {
		return hysstore.Value{}, fmt.Errorf("read head: %w", err)
	}
	return value, nil
}
