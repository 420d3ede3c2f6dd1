package hyspeer

import (
	"sync"
	"time"

	"hyssopshore/internal/gen/peer"
)

// dedupWindow is the minimum time for which an arrival is remembered. No
// request deadline is longer than half of it.
const dedupWindow = 2 * time.Minute

// sendKey identifies one send of a non-idempotent request.
type sendKey struct {
	request string
	attempt uint64
}

func sendKeyOf(m *peer.DispatchRequest) sendKey {
	return sendKey{request: m.GetRequestId(), attempt: m.GetAttempt()}
}

// deduplicator remembers the non-idempotent requests that have arrived, for
// one to two windows. It is safe for concurrent use.
type deduplicator struct {
	mu          sync.Mutex
	now         func() time.Time
	windowStart time.Time
	current     map[sendKey]bool
	previous    map[sendKey]bool
}

func newDeduplicator(now func() time.Time) *deduplicator {
	return &deduplicator{now: now, windowStart: now(), current: make(map[sendKey]bool)}
}

// add records an arrival and reports whether it is the first one.
func (d *deduplicator) add(key sendKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.now(); now.Sub(d.windowStart) >= dedupWindow {
		d.previous, d.current, d.windowStart = d.current, make(map[sendKey]bool), now
	}
	if d.current[key] || d.previous[key] {
		return false
	}
	d.current[key] = true
	return true
}
