package hyspeer

import (
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
)

// infoFunc returns what a searcher reported about itself.
type infoFunc func(hysmember.SearcherID) (hysmember.Info, bool)

// updates holds the reports and the searcher infos that a message carries.
type updates struct {
	reports   []*peer.Report
	searchers []*peer.SearcherInfo
}

// recordSearcher updates the digest of a searcher. With gossip set, a changed
// info is also queued to be passed on.
func (t *Table) recordSearcher(id hysmember.SearcherID, info infoFunc, gossip bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := info(id)
	if ok && t.digests.set(searcherKey(id), contentHash(infoToWire(i))) && gossip {
		t.gossip.addSearcher(id, len(t.reports))
	}
}

// retainSearchers removes the searchers that info does not know.
func (t *Table) retainSearchers(info infoFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.digests.hashes {
		id, ok := strings.CutPrefix(string(key), prefixSearcher)
		if !ok {
			continue
		}
		if _, ok := info(hysmember.SearcherID(id)); !ok {
			t.digests.remove(key)
			delete(t.gossip.searchers, key)
		}
	}
}

// nextUpdates returns the queued updates for the next message.
func (t *Table) nextUpdates(info infoFunc) updates {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m updates
	t.gossip.drain(func(key memberKey) int { return t.appendMember(&m, key, info) })
	return m
}

// appendMember appends what is known of a member and returns its size in
// bytes.
func (t *Table) appendMember(m *updates, key memberKey, info infoFunc) int {
	if id, ok := strings.CutPrefix(string(key), prefixInstance); ok {
		e, ok := t.reports[hysmember.InstanceID(id)]
		if !ok {
			return 0
		}
		m.reports = append(m.reports, e.report)
		return proto.Size(e.report)
	}
	i, ok := info(hysmember.SearcherID(strings.TrimPrefix(string(key), prefixSearcher)))
	if !ok {
		return 0
	}
	wire := infoToWire(i)
	m.searchers = append(m.searchers, wire)
	return proto.Size(wire)
}

// compare answers the digests of a peer: it returns the children of the
// differing nodes, and the differing leaves with their members.
func (t *Table) compare(nodes []*peer.NodeDigest, info infoFunc) (children []*peer.NodeDigest, leaves []node, m updates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	differ := t.digests.differing(nodes)
	shuffle(differ)
	for _, n := range differ {
		if n < firstLeaf {
			children = append(children, t.digests.toWire(childrenOf(n))...)
			continue
		}
		if t.appendLeaf(&m, n, info) {
			leaves = append(leaves, n)
		}
	}
	return children, leaves, m
}

// leafMembers returns the members of leaves.
func (t *Table) leafMembers(leaves []uint32, info infoFunc) updates {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m updates
	for _, n := range leaves {
		t.appendLeaf(&m, node(n), info)
	}
	return m
}

// appendLeaf appends the members of a leaf unless the tokens are used up, and
// reports whether it did.
func (t *Table) appendLeaf(m *updates, n node, info infoFunc) bool {
	if t.gossip.refill() <= 0 {
		return false
	}
	for _, key := range t.digests.members(n) {
		t.gossip.spend(t.appendMember(m, key, info))
	}
	return true
}

// root returns the digest of the root node.
func (t *Table) root() []*peer.NodeDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests.toWire([]node{root})
}

// differingDigests returns the local digests of the given nodes that differ,
// at most limit of them.
func (t *Table) differingDigests(nodes []*peer.NodeDigest, limit int) []*peer.NodeDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	differ := t.digests.differing(nodes)
	shuffle(differ)
	return t.digests.toWire(differ[:min(limit, len(differ))])
}

func shuffle(nodes []node) {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}
