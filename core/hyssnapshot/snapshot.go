// Package hyssnapshot builds the shard map that the coverage of a query refers to
// and selects the index version that the query is pinned to.
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

// ErrIncomplete is returned for a shard map with a gap or an overlap in the key
// space.
const ErrIncomplete = errors.ConstError("incomplete shard map")

// Version is the number of a snapshot of an index; a newer one is higher.
type Version uint64

// Epoch is the number of a shard map of a service; a newer one is higher.
type Epoch uint64

// KeySpace is the size of the key space: key hashes are below it.
const KeySpace = uint64(1) << 32

// Range is one shard of a map, with the half-open interval of key hashes that it
// holds and the versions that at least one of its searchers serves.
type Range struct {
	Shard    hysservice.ShardID
	From     uint64
	To       uint64
	Versions []Version
}

// Holding is one shard that a searcher reports to hold in one epoch, with the
// versions that it serves.
type Holding struct {
	Epoch Epoch
	Range
}

// Map is the shard map of one service in one epoch.
type Map struct {
	Epoch  Epoch
	Ranges []Range
}

// NewMap returns the map with its ranges in key order. The error is ErrIncomplete
// if a shard occurs twice, or if the ranges overlap or leave a gap.
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

// Pin returns the newest version that every shard serves, and true. If there is
// none, it returns the version that is served for the largest part of the key
// space, and false.
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

// rangeKey is a shard with the interval of key hashes that a searcher reports for
// it.
type rangeKey struct {
	shard    hysservice.ShardID
	from, to uint64
}

// NewestMap returns the shard map of the highest epoch in which the holdings cover
// the whole key space, and false if there is none. An epoch in which two searchers
// report different intervals for a shard has no shard map.
func NewestMap(holdings []Holding) (Map, bool) {
	epochs := make(map[Epoch]map[rangeKey]Range)
	for _, h := range holdings {
		if epochs[h.Epoch] == nil {
			epochs[h.Epoch] = make(map[rangeKey]Range)
		}
		key := rangeKey{shard: h.Shard, from: h.From, to: h.To}
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
