package hysdispatch

import (
	"maps"
	"slices"
	"sync"
)

// backlog holds the services in which sub-requests wait for a slot. Only those are
// looked at again while nothing happens: most daemons of a large fleet have many
// services and little to do. It is safe for concurrent use; its lock is taken within
// that of a table, never around it.
type backlog struct {
	mu     sync.Mutex
	tables map[*table]bool
	// began has a value after sub-requests have begun to wait.
	began chan struct{}
}

func newBacklog() *backlog {
	return &backlog{tables: make(map[*table]bool), began: make(chan struct{}, 1)}
}

// add notes that sub-requests wait in a service.
func (b *backlog) add(t *table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tables[t] {
		return
	}
	b.tables[t] = true
	select {
	case b.began <- struct{}{}:
	default:
	}
}

// take returns the services and forgets them.
func (b *backlog) take() []*table {
	b.mu.Lock()
	defer b.mu.Unlock()
	tables := slices.Collect(maps.Keys(b.tables))
	clear(b.tables)
	return tables
}
