package hystest

import (
	"strings"
	"sync"
)

// Log is a log in memory. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns what was written.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
