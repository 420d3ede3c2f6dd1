package hysdispatch

import (
	"maps"
	"slices"
	"sync"
)

// backlog is the set of services in which sub-requests wait for a slot. Only those
// are matched periodically, since most instances of a large fleet have many services
// that are mostly idle. A backlog is safe for concurrent use. Its lock is acquired
// while a table's lock is held, never the other way round.
type backlog struct {
	mu     sync.Mutex
	tables map[*table]bool
	// nonEmpty receives a value when a service is added.
	nonEmpty chan struct{}
}

func newBacklog() *backlog {
	return &backlog{tables: make(map[*table]bool), nonEmpty: make(chan struct{}, 1)}
}

// add adds a service in which sub-requests wait.
func (b *backlog) add(t *table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tables[t] {
		return
	}
	b.tables[t] = true
	select {
	case b.nonEmpty <- struct{}{}:
	default:
	}
}

// drain removes and returns all services.
func (b *backlog) drain() []*table {
	b.mu.Lock()
	defer b.mu.Unlock()
	tables := slices.Collect(maps.Keys(b.tables))
	clear(b.tables)
	return tables
}
