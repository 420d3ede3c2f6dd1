package hysmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// topCache keeps the highest ranked instances for keys until a change of the
// usable instances affects them. The caller holds View.mu.
type topCache struct {
	count int
	spare int
	tops  map[cacheKey][]*Instance
}

// maxCachedKeys bounds the number of cached keys, and so evicts the keys of
// members that left long ago.
const maxCachedKeys = 1 << 18

// cacheKey is a key and its preferred region.
type cacheKey struct {
	key    string
	region Region
}

func newTopCache(count, spare int) *topCache {
	return &topCache{count: count, spare: spare, tops: make(map[cacheKey][]*Instance)}
}

// top returns the highest ranked instances for a key.
func (t *topCache) top(r *ranking, key string, region Region) []*Instance {
	at := cacheKey{key: key, region: region}
	known, ok := t.tops[at]
	if !ok {
		if len(t.tops) >= maxCachedKeys {
			clear(t.tops)
		}
		known = r.top(key, region, t.count, t.spare)
		t.tops[at] = known
	}
	return known
}

// membershipChange is which instances were added and removed.
type membershipChange struct {
	removed map[InstanceID]bool
	added   []hashedInstance
}

// difference compares two sets of instances. Equal instances are the same
// pointer in both.
func difference(before, after []*Instance) membershipChange {
	c := membershipChange{removed: make(map[InstanceID]bool)}
	known := make(map[InstanceID]*Instance, len(before))
	for _, m := range before {
		known[m.ID] = m
	}
	for _, m := range after {
		if known[m.ID] == m {
			delete(known, m.ID)
			continue
		}
		c.added = append(c.added, hashedInstance{instance: m, hash: hashID(m.ID)})
	}
	for id := range known {
		c.removed[id] = true
	}
	return c
}

// invalidate evicts the keys whose highest ranked instances a change may
// affect: one of them was removed, or an added instance ranks before the last
// one of the preferred region or, if it is of another region itself, before the
// last one of the other regions.
func (t *topCache) invalidate(c membershipChange) {
	for at, top := range t.tops {
		if t.isAffected(c, at, top) {
			delete(t.tops, at)
		}
	}
}

// isAffected reports whether a change may affect the instances cached for a key.
func (t *topCache) isAffected(c membershipChange, at cacheKey, top []*Instance) bool {
	if slices.ContainsFunc(top, func(m *Instance) bool { return c.removed[m.ID] }) {
		return true
	}
	if len(c.added) == 0 {
		return false
	}
	if len(top) < t.count {
		return true
	}
	hash := xxhash.Sum64String(at.key)
	lastLocal, lastRemote, localCount := lastScores(top, at.region, hash)
	return slices.ContainsFunc(c.added, func(m hashedInstance) bool {
		last, hasFree := lastRemote, localCount > t.count-t.spare
		if m.instance.Region == at.region {
			last, hasFree = lastLocal, localCount < t.count-t.spare
		}
		return hasFree || last.instance == nil || compareScored(scored{m.instance, score(m.hash, hash)}, last) < 0
	})
}

// lastScores returns the last instance of the region and the last one of other
// regions, and how many are of the region.
func lastScores(top []*Instance, region Region, hash uint64) (local, remote scored, localCount int) {
	for _, m := range top {
		s := scored{instance: m, score: score(hashID(m.ID), hash)}
		if m.Region == region {
			local = s
			localCount++
			continue
		}
		remote = s
	}
	return local, remote, localCount
}
