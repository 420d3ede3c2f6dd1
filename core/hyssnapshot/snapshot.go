// Package hyssnapshot chooses the index version that a query is pinned to and
// keeps the shard map that its coverage is counted in.
//
// # Usage
//
//	m, err := hyssnapshot.NewMap(epoch, ranges)
//	v, ok := m.Pin()
package hyssnapshot

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"

	"hyssopshore/core/hysservice"
)

// ErrIncomplete is returned for a shard map that leaves a gap in the key space.
const ErrIncomplete = errors.ConstError("incomplete shard map")

// Version numbers the snapshots of an index; a newer one is higher.
type Version uint64

// Epoch numbers the shard maps of a service; a newer one is higher.
type Epoch uint64

// KeySpace is the first key hash past the end of the key space.
const KeySpace = uint64(1) << 32

// Range is one shard of a map, with the half-open interval of key hashes it
// holds and the versions that at least one of its searchers serves.
type Range struct {
	Shard    hysservice.ShardID
	From     uint64
	To       uint64
	Versions []Version
}

// Holding is one shard that a searcher holds in one epoch.
type Holding struct {
	Epoch Epoch
	Range
}

// Map is the shard map of one service in one epoch.
type Map struct {
	Epoch  Epoch
	Ranges []Range
}

// NewMap returns the map in key order. It returns ErrIncomplete if the ranges
// leave a gap or overlap.
func NewMap(epoch Epoch, ranges []Range) (Map, error) {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	next := uint64(0)
	seen := make(map[hysservice.ShardID]bool, len(ranges))
	for _, r := range sorted {
		if seen[r.Shard] {
			return Map{}, fmt.Errorf("NewMap: epoch %d has shard %d twice: %w", epoch, r.Shard, ErrIncomplete)
		}
		seen[r.Shard] = true
		if r.From != next || r.To <= r.From {
			return Map{}, fmt.Errorf("NewMap: epoch %d has no shard for key hash %d: %w", epoch, next, ErrIncomplete)
		}
		next = r.To
	}
	if next != KeySpace {
		return Map{}, fmt.Errorf("NewMap: epoch %d ends at key hash %d: %w", epoch, next, ErrIncomplete)
	}
	return Map{Epoch: epoch, Ranges: sorted}, nil
}

// Pin returns the newest version that every shard serves. If there is none it
// returns the version that most of the key space serves, and false.
func (m Map) Pin() (Version, bool) {
	served := make(map[Version]uint64)
	for _, r := range m.Ranges {
		for _, v := range r.Versions {
			served[v] += r.To - r.From
		}
	}
	var best Version
	for v, width := range served {
		if width > served[best] || (width == served[best] && v > best) {
			best = v
		}
	}
	return best, served[best] == KeySpace
}

// Owner returns the shard that holds a key hash.
func (m Map) Owner(hash uint64) (Range, bool) {
	for _, r := range m.Ranges {
		if hash >= r.From && hash < r.To {
			return r, true
		}
	}
	return Range{}, false
}

// span identifies a shard and the interval that a searcher says it holds.
type span struct {
	shard    hysservice.ShardID
	from, to uint64
}

// NewestMap returns the shard map of the highest epoch for which the holdings
// leave no gap, and false if there is none. An epoch in which two searchers
// give one shard different intervals has no shard map.
func NewestMap(holdings []Holding) (Map, bool) {
	epochs := make(map[Epoch]map[span]Range)
	for _, h := range holdings {
		if epochs[h.Epoch] == nil {
			epochs[h.Epoch] = make(map[span]Range)
		}
		key := span{shard: h.Shard, from: h.From, to: h.To}
		r := epochs[h.Epoch][key]
		r.Shard, r.From, r.To = h.Shard, h.From, h.To
		r.Versions = union(r.Versions, h.Versions)
		epochs[h.Epoch][key] = r
	}
	var best Map
	found := false
	for epoch, shards := range epochs {
		m, err := NewMap(epoch, slices.Collect(maps.Values(shards)))
		if err == nil && (!found || epoch > best.Epoch) {
			best, found = m, true
		}
	}
	return best, found
}

func union(a, b []Version) []Version {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}
