// Package hysmodel holds an in-memory store with scripted faults, for tests that
// compare an implementation with a model.
//
// # Usage
//
//	s := hysmodel.NewStore()
//	s.Faults = []string{"refuse", "lose"}
//	c := hysclaims.New(nil, hysclaims.WithStore(s.Get, s.Put))
package hysmodel

import (
	"context"
	"maps"
	"slices"
	"strings"

	"hyssopshore/io/hysstore"
)

// Store is an in-memory store. It is not safe for concurrent use.
type Store struct {
	// Values are the values by key.
	Values map[string]hysstore.Value
	// Faults are injected into the next calls, one each; later calls succeed. A
	// call fails as unavailable ("refuse"), a read returns the previous value
	// ("stale"), a write is dropped ("drop"), applied though its reply is lost
	// ("lose") or delayed ("hold").
	Faults []string
	// Held are the delayed writes that Deliver applies.
	Held []func()
	// StaleMayMiss makes a stale read of a key that was written only once return
	// ErrNotFound.
	StaleMayMiss bool
	// BeforePut, if set, is called before each Put.
	BeforePut func(key string)

	revision hysstore.Revision
	previous map[string]hysstore.Value
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Values: map[string]hysstore.Value{}, previous: map[string]hysstore.Value{}}
}

func (s *Store) nextFault() string {
	if len(s.Faults) == 0 {
		return ""
	}
	f := s.Faults[0]
	s.Faults = s.Faults[1:]
	return f
}

// Get reads a key. The error is hysstore.ErrNotFound if it does not exist.
func (s *Store) Get(_ context.Context, key string) (hysstore.Value, error) {
	value := s.Values[key]
	switch s.nextFault() {
	case "refuse":
		return hysstore.Value{}, hysstore.ErrUnavailable
	case "stale":
		if old, ok := s.previous[key]; ok || s.StaleMayMiss {
			value = old
		}
	}
	if value.Revision == 0 {
		return value, hysstore.ErrNotFound
	}
	return value, nil
}

// Put writes a key if it has the expected revision, and returns the new one. The
// error is hysstore.ErrConflict if it has another revision.
func (s *Store) Put(_ context.Context, key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error) {
	if s.BeforePut != nil {
		s.BeforePut(key)
	}
	switch s.nextFault() {
	case "refuse":
		return 0, hysstore.ErrUnavailable
	case "drop":
		return 0, hysstore.ErrUnknown
	case "lose":
		_, _ = s.swap(key, data, expected)
		return 0, hysstore.ErrUnknown
	case "hold":
		s.Held = append(s.Held, func() { _, _ = s.swap(key, data, expected) })
		return 0, hysstore.ErrUnknown
	}
	return s.swap(key, data, expected)
}

func (s *Store) swap(key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error) {
	if s.Values[key].Revision != expected {
		return 0, hysstore.ErrConflict
	}
	s.revision++
	if old, ok := s.Values[key]; ok {
		s.previous[key] = old
	}
	s.Values[key] = hysstore.Value{Data: data, Revision: s.revision}
	return s.revision, nil
}

// Deliver applies the delayed writes.
func (s *Store) Deliver() {
	for _, f := range s.Held {
		f()
	}
	s.Held = nil
}

// List returns the keys under a prefix, sorted, with their revisions.
func (s *Store) List(_ context.Context, prefix string) ([]hysstore.Entry, error) {
	var entries []hysstore.Entry
	for _, key := range slices.Sorted(maps.Keys(s.Values)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, hysstore.Entry{Key: key, Revision: s.Values[key].Revision})
		}
	}
	return entries, nil
}

// Delete removes a key if it has the expected revision. The error is
// hysstore.ErrConflict if it has another one.
func (s *Store) Delete(_ context.Context, key string, expected hysstore.Revision) error {
	if s.Values[key].Revision != expected {
		return hysstore.ErrConflict
	}
	delete(s.Values, key)
	return nil
}

// Restore replaces all values with those of a backup, at new revisions.
func (s *Store) Restore(backup map[string]hysstore.Value) {
	s.Values = make(map[string]hysstore.Value, len(backup))
	for key, v := range backup {
		s.revision++
		s.Values[key] = hysstore.Value{Data: v.Data, Revision: s.revision}
	}
}
