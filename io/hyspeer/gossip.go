package hyspeer

import (
	"math/bits"
	"time"

	"hyssopshore/core/hysmember"
)

// Limits on the updates that this instance sends, in bytes per second and
// bytes. They keep to the target of 17 KB/s for control traffic, which also
// has to cover the exchanges themselves and the updates that arrive.
const (
	updateBytesPerSecond = 5_000
	updateBurstBytes     = 256_000
	// maxMessageBytes bounds the updates in one message.
	maxMessageBytes = 16_000
)

// extraSends is the number of times that an update is sent beyond the number
// of gossip rounds it takes to reach every instance.
const extraSends = 3

// gossipQueue holds the members whose updates this instance still passes on,
// with the number of sends remaining for each, and a token bucket that limits
// the bytes sent. Instances are sent before searchers. It is guarded by
// Table.mu.
type gossipQueue struct {
	now        func() time.Time
	instances  map[memberKey]int
	searchers  map[memberKey]int
	tokens     float64
	refilledAt time.Time
}

func newGossipQueue(now func() time.Time) *gossipQueue {
	return &gossipQueue{
		now: now, tokens: updateBurstBytes, refilledAt: now(),
		instances: make(map[memberKey]int), searchers: make(map[memberKey]int),
	}
}

// gossipRounds returns the number of rounds an update takes to reach n
// instances.
func gossipRounds(n int) int { return bits.Len(uint(n)) }

func (q *gossipQueue) addInstance(id hysmember.InstanceID, instances int) {
	q.instances[instanceKey(id)] = gossipRounds(instances) + extraSends
}

func (q *gossipQueue) addSearcher(id hysmember.SearcherID, instances int) {
	q.searchers[searcherKey(id)] = gossipRounds(instances) + extraSends
}

// refill adds the tokens earned since the last call and returns the number of
// bytes of updates that may be sent now.
func (q *gossipQueue) refill() float64 {
	now := q.now()
	q.tokens = min(updateBurstBytes, q.tokens+updateBytesPerSecond*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	return q.tokens
}

func (q *gossipQueue) spend(bytes int) { q.tokens -= float64(bytes) }

// drain calls send for queued members until the tokens or the message limit
// are used up. send returns the number of bytes it added to the message.
func (q *gossipQueue) drain(send func(memberKey) int) {
	limit := min(maxMessageBytes, q.refill())
	used := drainFrom(q.instances, limit, send)
	used += drainFrom(q.searchers, limit-used, send)
	q.tokens -= used
}

func drainFrom(members map[memberKey]int, limit float64, send func(memberKey) int) float64 {
	used := 0.0
	for key, remaining := range members {
		if used >= limit {
			break
		}
		used += float64(send(key))
		if remaining <= 1 {
			delete(members, key)
			continue
		}
		members[key] = remaining - 1
	}
	return used
}
