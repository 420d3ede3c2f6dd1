// Package hysintake decides which connections of clients are closed when a port has too
// many of them, or when the requests that arrive hold too much memory.
//
// The load that it answers is a crowd of clients that open connections and send nothing,
// or send most of a large body and stop. What an ordinary client sends arrives within
// milliseconds, so the connection that has waited longest for the rest of its request is
// evicted first, and a new client always finds room. A request that has arrived whole may
// run, and is never evicted; if such requests alone use up a limit, new ones are refused.
//
// A request that holds memory alone is let through, however much it holds: what one
// client may send is bounded by the limits on a single request.
//
// # Usage
//
//	t := hysintake.NewTable(hysintake.Limits{Connections: 1000, Bytes: 32 << 20}, time.Now)
//	evictions, ok := t.Open(id)        // a new connection; false: refuse it
//	evictions = t.Hold(id, bytes)      // its request now holds as many bytes
//	ok = t.Begin(id)                   // its request has arrived; false: it was evicted
//	t.End(id)                          // it was answered
//	t.Close(id)
//
// A Table is not safe for concurrent use.
package hysintake

import (
	"container/list"
	"time"
)

// ConnectionID identifies a connection of a Table.
type ConnectionID uint64

// phase is what a connection does.
type phase uint8

const (
	// phaseIdle is a connection without a request, or with the first bytes of one.
	phaseIdle phase = iota
	// phaseArriving is one whose request holds memory and has not arrived whole.
	phaseArriving
	phaseRunning
	// phaseEvicted is one that is about to be closed.
	phaseEvicted
)

// connection is an open connection.
type connection struct {
	id    ConnectionID
	phase phase
	// since is when the phase began.
	since time.Time
	// bytes is what the request holds beyond UncountedBytes.
	bytes int64
	// place is the element in the list of the phase.
	place *list.Element
}

// Table holds the open connections of a port.
type Table struct {
	limits Limits
	now    func() time.Time
	conns  map[ConnectionID]*connection
	// idle and arriving hold the connections of these phases, oldest first.
	idle     *list.List
	arriving *list.List
	evicted  int
	bytes    int64
}

// NewTable returns a table without connections.
func NewTable(limits Limits, now func() time.Time) *Table {
	return &Table{limits: limits, now: now, conns: make(map[ConnectionID]*connection), idle: list.New(), arriving: list.New()}
}

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.conns) }

// Bytes returns what all requests hold, in bytes.
func (t *Table) Bytes() int64 { return t.bytes }

// Open adds a connection and returns those to evict for it. It returns false if the
// connection must be refused.
func (t *Table) Open(id ConnectionID) (Evictions, bool) {
	if len(t.conns) >= t.limits.Connections+t.limits.maxClosing() {
		return nil, false
	}
	var evictions Evictions
	if len(t.conns)-t.evicted >= t.limits.Connections {
		oldest := t.oldest()
		if oldest == nil {
			return nil, false
		}
		evictions = append(evictions, t.evict(oldest, ReasonConnections))
	}
	c := &connection{id: id}
	t.conns[id] = c
	t.enter(c, phaseIdle)
	return evictions, true
}

// Hold sets what the request of a connection holds, in bytes, unless it held more
// before. It returns the connections to evict, which may include this one.
func (t *Table) Hold(id ConnectionID, bytes int64) Evictions {
	c, ok := t.conns[id]
	more := int64(0)
	if ok {
		more = bytes - UncountedBytes - c.bytes
	}
	if more <= 0 || c.phase == phaseRunning || c.phase == phaseEvicted {
		return nil
	}
	if c.phase == phaseIdle {
		t.enter(c, phaseArriving)
	}
	c.bytes += more
	t.bytes += more
	var evictions Evictions
	for t.bytes > t.limits.Bytes && t.bytes > c.bytes {
		oldest := t.arriving.Front().Value.(*connection)
		evictions = append(evictions, t.evict(oldest, ReasonMemory))
		if oldest == c {
			break
		}
	}
	return evictions
}

// Begin marks the request of a connection as arrived. It returns false if the connection
// was evicted; the request must not run then.
func (t *Table) Begin(id ConnectionID) bool {
	c, ok := t.conns[id]
	if !ok || c.phase == phaseEvicted {
		return false
	}
	t.enter(c, phaseRunning)
	return true
}

// End marks the request of a connection as answered.
func (t *Table) End(id ConnectionID) {
	c, ok := t.conns[id]
	if !ok || c.phase == phaseEvicted {
		return
	}
	t.release(c)
	t.enter(c, phaseIdle)
}

// Close removes a connection.
func (t *Table) Close(id ConnectionID) {
	c, ok := t.conns[id]
	if !ok {
		return
	}
	if c.phase == phaseEvicted {
		t.evicted--
	}
	t.release(c)
	t.leave(c)
	delete(t.conns, id)
}

// oldest returns the connection that has waited longest, nil if all run requests.
func (t *Table) oldest() *connection {
	idle, arriving := t.idle.Front(), t.arriving.Front()
	switch {
	case idle == nil && arriving == nil:
		return nil
	case idle == nil:
		return arriving.Value.(*connection)
	case arriving == nil:
		return idle.Value.(*connection)
	}
	first, second := idle.Value.(*connection), arriving.Value.(*connection)
	if second.since.Before(first.since) {
		return second
	}
	return first
}

// evict decides to close a connection.
func (t *Table) evict(c *connection, reason Reason) Eviction {
	e := Eviction{ID: c.id, Reason: reason, Bytes: c.bytes, Age: t.now().Sub(c.since)}
	t.release(c)
	t.enter(c, phaseEvicted)
	t.evicted++
	return e
}

// enter moves a connection to a phase.
func (t *Table) enter(c *connection, p phase) {
	t.leave(c)
	c.phase, c.since = p, t.now()
	switch p {
	case phaseIdle:
		c.place = t.idle.PushBack(c)
	case phaseArriving:
		c.place = t.arriving.PushBack(c)
	}
}

// leave takes a connection out of the list of its phase.
func (t *Table) leave(c *connection) {
	if c.place == nil {
		return
	}
	if c.phase == phaseIdle {
		t.idle.Remove(c.place)
	} else {
		t.arriving.Remove(c.place)
	}
	c.place = nil
}

// release frees what the request of a connection holds.
func (t *Table) release(c *connection) {
	t.bytes -= c.bytes
	c.bytes = 0
}
