package hysmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranking orders a fixed set of instances for any key by rendezvous hashing. It
// is immutable and may be shared.
type ranking struct {
	regions map[Region][]hashedInstance
}

// hashedInstance is an instance with the hash of its id.
type hashedInstance struct {
	instance *Instance
	hash     uint64
}

// scored is an instance with its score for one key.
type scored struct {
	instance *Instance
	score    uint64
}

// newRanking returns a ranking of the given instances.
func newRanking(instances []*Instance) *ranking {
	r := &ranking{regions: make(map[Region][]hashedInstance)}
	for _, m := range instances {
		r.regions[m.Region] = append(r.regions[m.Region], hashedInstance{instance: m, hash: hashID(m.ID)})
	}
	return r
}

// top returns the first count instances for a key, those of the preferred
// region first. Of them, spare are of other regions if there are any, so that
// instances remain to ask when a region is lost.
func (r *ranking) top(key string, preferred Region, count, spare int) []*Instance {
	hash := xxhash.Sum64String(key)
	local := mergeTop(nil, r.regions[preferred], hash, count)
	var remote []scored
	for region, members := range r.regions {
		if region != preferred {
			remote = mergeTop(remote, members, hash, count)
		}
	}
	maxLocal := max(count-len(remote), count-spare)
	local = local[:min(maxLocal, len(local))]
	remote = remote[:min(count-len(local), len(remote))]
	top := make([]*Instance, 0, len(local)+len(remote))
	for _, s := range append(local, remote...) {
		top = append(top, s.instance)
	}
	return top
}

// mergeTop merges members into the instances with the highest scores, in
// descending order.
func mergeTop(top []scored, members []hashedInstance, key uint64, count int) []scored {
	if top == nil {
		top = make([]scored, 0, count+1)
	}
	for _, m := range members {
		s := scored{instance: m.instance, score: score(m.hash, key)}
		if len(top) == count && compareScored(s, top[count-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, s, compareScored)
		top = slices.Insert(top, at, s)
		top = top[:min(len(top), count)]
	}
	return top
}

// compareScored orders by descending score, then by id.
func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
}

func hashID(id InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// score mixes the hashes of an instance and a key; the constants are those of
// the 64-bit finalizer of MurmurHash3.
func score(instance, key uint64) uint64 {
	h := instance ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Rank returns all instances in rendezvous order for a key, those of the
// preferred region first. Every instance with the same list gets the same
// order.
func Rank(instances Instances, key string, preferred Region) Instances {
	hash := xxhash.Sum64String(key)
	order := slices.Clone(instances)
	slices.SortFunc(order, func(a, b Instance) int {
		return cmp.Or(
			compareRegion(a.Region, b.Region, preferred),
			cmp.Compare(score(hashID(b.ID), hash), score(hashID(a.ID), hash)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return order
}

// compareRegion orders the preferred region before all others.
func compareRegion(a, b, preferred Region) int {
	switch {
	case (a == preferred) == (b == preferred):
		return 0
	case a == preferred:
		return -1
	default:
		return 1
	}
}
