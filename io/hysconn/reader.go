package hysconn

import (
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"
)

// Errors of a Reader.
const (
	// ErrTooLong means that the other end has sent more than it may.
	ErrTooLong = errors.ConstError("the response is too long")
	// ErrNoMemory means that the responses that are read hold all memory that
	// they may hold together.
	ErrNoMemory = errors.ConstError("the responses in flight hold too much memory")
)

const (
	// freeBytes of each response are not counted, so that small responses are
	// read whatever the large ones hold.
	freeBytes = 16 << 10
	// memoryStep is what a reader takes at once.
	memoryStep = 64 << 10
)

// MemoryBudget bounds the bytes that responses hold together while they are read. It is
// safe for concurrent use.
type MemoryBudget struct {
	mu    sync.Mutex
	limit int64
	held  int64
}

// NewMemoryBudget returns an unused memory of a number of bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Limit is the number of bytes.
func (m *MemoryBudget) Limit() int64 { return m.limit }

func (m *MemoryBudget) take(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+bytes > m.limit {
		return false
	}
	m.held += bytes
	return true
}

func (m *MemoryBudget) give(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= bytes
}

// Reader reads responses within bounds: the bytes that were allowed last, and a
// Memory for all readers. It answers a server that sends bytes without end,
// wherever they come in a response. It is for one reader at a time.
type Reader struct {
	source io.Reader
	memory *MemoryBudget
	// left is what may still be read, room how much of it the memory that is
	// held covers.
	left int64
	room int64
	held int64
}

// NewReader returns a reader that may read nothing yet.
func NewReader(source io.Reader, memory *MemoryBudget) *Reader {
	return &Reader{source: source, memory: memory}
}

// Begin starts a response and allows a number of its bytes.
func (r *Reader) Begin(bytes int64) {
	r.End()
	r.left, r.room = bytes, freeBytes
}

// SetLimit allows a number of further bytes in place of those left.
func (r *Reader) SetLimit(bytes int64) { r.left = bytes }

// End gives the memory back that the response held.
func (r *Reader) End() {
	r.memory.give(r.held)
	r.held = 0
}

// Read reads what is allowed.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("Reader.Read: %w", ErrTooLong)
	}
	if r.room <= 0 && !r.grow() {
		return 0, fmt.Errorf("Reader.Read: %w", ErrNoMemory)
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left, r.room)])
	r.left -= int64(n)
	r.room -= int64(n)
	return n, err
}

// grow takes more memory.
func (r *Reader) grow() bool {
	if !r.memory.take(memoryStep) {
		return false
	}
	r.held += memoryStep
	r.room += memoryStep
	return true
}
