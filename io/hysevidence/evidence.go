// Package hysevidence stores the crash evidence of requests in the platform's
// store, so that it survives the restart of all daemons.
//
// # Usage
//
//	s := hysevidence.New(store, registry)
//	go s.Run(ctx)
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

// key is the key of the records in the store.
const key = "hyssopshore/quarantine"

// Intervals of the synchronisation with the store: between checks for local
// changes, and between reads without local changes.
const (
	checkInterval = time.Second
	readInterval  = 10 * time.Second
)

// Syncer synchronises a registry with the store. Its methods must be called from
// one goroutine only.
type Syncer struct {
	store    *hysstore.Client
	registry *hysquarantine.Registry
	// lastSynced holds the records of the store when it was last read or written.
	lastSynced hysquarantine.Records
	lastRead   time.Time
}

// New returns a Syncer that has not read the store yet.
func New(store *hysstore.Client, registry *hysquarantine.Registry) *Syncer {
	return &Syncer{store: store, registry: registry}
}

// Run synchronises periodically until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		// A failed synchronisation is repeated at the next tick.
		_ = s.Sync(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sync merges the store's records into the registry and writes the result back.
// It does so if the registry has changed since the last call, or if the last read
// is 10 s old.
func (s *Syncer) Sync(ctx context.Context, now time.Time) error {
	changed := !reflect.DeepEqual(s.lastSynced, s.registry.Records())
	if !changed && now.Sub(s.lastRead) < readInterval {
		return nil
	}
	value, err := s.store.Get(ctx, key)
	if err != nil && !errors.Is(err, hysstore.ErrNotFound) {
		return fmt.Errorf("Syncer.Sync: %w", err)
	}
	stored, err := decode(value.Data)
	if err != nil {
		return fmt.Errorf("Syncer.Sync: %w", err)
	}
	s.registry.Merge(stored)
	s.lastRead = now
	return s.write(ctx, stored, value.Revision)
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

// write stores the registry's records unless the store has the same ones.
func (s *Syncer) write(ctx context.Context, stored hysquarantine.Records, revision hysstore.Revision) error {
	records := s.registry.Records()
	data, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("Syncer.write: encode: %w", err)
	}
	storedData, err := json.Marshal(stored)
	if err != nil {
		return fmt.Errorf("Syncer.write: encode: %w", err)
	}
	if len(records) != len(stored) || string(data) != string(storedData) {
		if _, err := s.store.Put(ctx, key, data, revision); err != nil {
			return fmt.Errorf("Syncer.write: %w", err)
		}
	}
	s.lastSynced = records
	return nil
}
