package hyspeer

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
)

// memberKey identifies an instance or a searcher in the digests.
type memberKey string

// node is the number of a node in the digest tree: the root, its branches, and
// the leaves of each branch.
type node uint32

// The shape of the digest tree.
const (
	nodeFanOut  = 64
	leafCount   = nodeFanOut * nodeFanOut
	root        = node(0)
	firstBranch = node(1)
	firstLeaf   = firstBranch + nodeFanOut
	nodeCount   = int(firstLeaf) + leafCount
)

const (
	prefixInstance = "i/"
	prefixSearcher = "s/"
)

func instanceKey(id hysmember.InstanceID) memberKey { return memberKey(prefixInstance + string(id)) }

func searcherKey(id hysmember.SearcherID) memberKey { return memberKey(prefixSearcher + string(id)) }

// digests is a hash tree over all members. Two instances that know the same
// have the same root digest; where the roots differ, they compare the children
// of the differing nodes. It is guarded by Table.mu.
type digests struct {
	hashes map[memberKey]uint64
	sums   [nodeCount]uint64
	leaves [leafCount][]memberKey
}

func newDigests() *digests {
	return &digests{hashes: make(map[memberKey]uint64)}
}

func leafOf(key memberKey) node {
	return firstLeaf + node(xxhash.Sum64String(string(key))%leafCount)
}

func parentOf(n node) node {
	if n >= firstLeaf {
		return firstBranch + (n-firstLeaf)/nodeFanOut
	}
	return root
}

func childrenOf(n node) []node {
	first := firstBranch
	switch {
	case n >= firstLeaf:
		return nil
	case n >= firstBranch:
		first = firstLeaf + (n-firstBranch)*nodeFanOut
	}
	children := make([]node, 0, nodeFanOut)
	for i := range node(nodeFanOut) {
		children = append(children, first+i)
	}
	return children
}

// set replaces the content hash of a member and reports whether it changed.
func (d *digests) set(key memberKey, content uint64) bool {
	old, ok := d.hashes[key]
	if ok && old == content {
		return false
	}
	leaf := leafOf(key)
	if ok {
		d.xor(leaf, memberHash(key, old))
	} else {
		members := &d.leaves[leaf-firstLeaf]
		*members = append(*members, key)
	}
	d.hashes[key] = content
	d.xor(leaf, memberHash(key, content))
	return true
}

// remove removes a member.
func (d *digests) remove(key memberKey) {
	old, ok := d.hashes[key]
	if !ok {
		return
	}
	leaf := leafOf(key)
	d.xor(leaf, memberHash(key, old))
	delete(d.hashes, key)
	members := &d.leaves[leaf-firstLeaf]
	*members = slices.DeleteFunc(*members, func(k memberKey) bool { return k == key })
}

func (d *digests) xor(leaf node, value uint64) {
	branch := parentOf(leaf)
	d.sums[leaf] ^= value
	d.sums[branch] ^= value
	d.sums[root] ^= value
}

// members returns the members of a leaf.
func (d *digests) members(leaf node) []memberKey {
	if leaf < firstLeaf || int(leaf) >= nodeCount {
		return nil
	}
	return slices.Clone(d.leaves[leaf-firstLeaf])
}

// differing returns those of the given nodes whose local digest differs.
func (d *digests) differing(nodes []*peer.NodeDigest) []node {
	var differ []node
	for _, m := range nodes {
		if n := m.GetNode(); int(n) < nodeCount && d.sums[n] != m.GetDigest() {
			differ = append(differ, node(n))
		}
	}
	return differ
}

// toWire returns the peer protocol message with the digests of nodes.
func (d *digests) toWire(nodes []node) []*peer.NodeDigest {
	wire := make([]*peer.NodeDigest, 0, len(nodes))
	for _, n := range nodes {
		wire = append(wire, &peer.NodeDigest{Node: uint32(n), Digest: d.sums[n]})
	}
	return wire
}

func memberHash(key memberKey, content uint64) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(key))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, content))
	return hash.Sum64()
}
