// Package hysmodel holds a store in memory that fails as told, for tests that
// compare with an oracle.
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

// Store is a store in memory. It is not safe for concurrent use.
type Store struct {
	// Values is what the keys hold.
	Values map[string]hysstore.Value
	// Faults are what happens to the next calls, then none does: a call is
	// refused ("refuse"), a read is of the value before ("stale"), a write is
	// dropped ("drop"), done without an answer ("lose") or held back ("hold").
	Faults []string
	// Held are the writes that were held back.
	Held []func()
	// StaleMayMiss lets a stale read miss a key that was written only once.
	StaleMayMiss bool
	// BeforePut runs before each write, if it is set.
	BeforePut func(key string)

	revision hysstore.Revision
	previous map[string]hysstore.Value
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Values: map[string]hysstore.Value{}, previous: map[string]hysstore.Value{}}
}

func (s *Store) next() string {
	if len(s.Faults) == 0 {
		return ""
	}
	f := s.Faults[0]
	s.Faults = s.Faults[1:]
	return f
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (hysstore.Value, error) {
	value := s.Values[key]
	switch s.next() {
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

// Put writes a key if it has the expected revision.
func (s *Store) Put(_ context.Context, key string, data []byte, expected hysstore.Revision) (hysstore.Revision, error) {
	if s.BeforePut != nil {
		s.BeforePut(key)
	}
	switch s.next() {
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

// Deliver does the writes that were held back.
func (s *Store) Deliver() {
	for _, f := range s.Held {
		f()
	}
	s.Held = nil
}

// List names the keys under a prefix.
func (s *Store) List(_ context.Context, prefix string) ([]hysstore.Entry, error) {
	var entries []hysstore.Entry
	for _, key := range slices.Sorted(maps.Keys(s.Values)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, hysstore.Entry{Key: key, Revision: s.Values[key].Revision})
		}
	}
	return entries, nil
}

// Delete removes a key if it has the expected revision.
func (s *Store) Delete(_ context.Context, key string, expected hysstore.Revision) error {
	if s.Values[key].Revision != expected {
		return hysstore.ErrConflict
	}
	delete(s.Values, key)
	return nil
}

// Restore replaces everything by a backup.
func (s *Store) Restore(backup map[string]hysstore.Value) {
	s.Values = make(map[string]hysstore.Value, len(backup))
	for key, v := range backup {
		s.revision++
		s.Values[key] = hysstore.Value{Data: v.Data, Revision: s.revision}
	}
}
