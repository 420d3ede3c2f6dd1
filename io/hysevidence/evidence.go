// Package hysevidence keeps the evidence against requests that crash searchers
// in the platform's store, so that it outlives every daemon.
//
// # Usage
//
//	e := hysevidence.New(store, registry)
//	go e.Run(ctx)
package hysevidence

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysquarantine"
	"hyssopshore/io/hysstore"
)

// key is where the records lie in the store.
const key = "hyssopshore/quarantine"

// Intervals of the synchronisation with the store.
const (
	checkInterval = time.Second
	readInterval  = 10 * time.Second
)

// Syncer keeps a registry and the store in step. Its methods are called from
// one goroutine.
type Syncer struct {
	store    *hysstore.Client
	registry *hysquarantine.Registry
	// known is what the store held when it was last read or written.
	known hysquarantine.Records
	read  time.Time
}

// New returns evidence that has not been read yet.
func New(store *hysstore.Client, registry *hysquarantine.Registry) *Syncer {
	return &Syncer{store: store, registry: registry}
}

// Run synchronises until the context ends.
func (e *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		// A failed synchronisation is tried again at the next tick.
		_ = e.Sync(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sync reads the store if that is due, and writes to it what it lacks.
func (e *Syncer) Sync(ctx context.Context, now time.Time) error {
	changed := !reflect.DeepEqual(e.known, e.registry.Records())
	if !changed && now.Sub(e.read) < readInterval {
		return nil
	}
	value, err := e.store.Get(ctx, key)
	if err != nil && !errors.Is(err, hysstore.ErrNotFound) {
		return fmt.Errorf("Evidence.Sync: %w", err)
	}
	stored, err := decode(value.Data)
	if err != nil {
		return fmt.Errorf("Evidence.Sync: %w", err)
	}
	e.registry.Merge(stored)
	e.read = now
	return e.write(ctx, stored, value.Revision)
}

func decode(data []byte) (hysquarantine.Records, error) {
	var records hysquarantine.Records
	if len(data) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return records, nil
}

// write stores the registry's records unless the store has the same.
func (e *Syncer) write(ctx context.Context, stored hysquarantine.Records, revision hysstore.Revision) error {
	records := e.registry.Records()
	data, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("Evidence.write: encode: %w", err)
	}
	same, err := json.Marshal(stored)
	if err != nil {
		return fmt.Errorf("Evidence.write: encode: %w", err)
	}
	if len(records) != len(stored) || string(data) != string(same) {
		if _, err := e.store.Put(ctx, key, data, revision); err != nil {
			return fmt.Errorf("Evidence.write: %w", err)
		}
	}
	e.known = records
	return nil
}
