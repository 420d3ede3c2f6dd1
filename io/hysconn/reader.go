package hysconn

import (
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"
)

// Errors of a Reader.
const (
	// ErrTooLong means that the peer has sent more than the limit.
	ErrTooLong = errors.ConstError("the response is too long")
	// ErrNoMemory means that the responses being read use up the shared memory
	// budget.
	ErrNoMemory = errors.ConstError("the responses in flight hold too much memory")
)

const (
	// uncountedBytes of each response are not counted against the budget, so
	// that small responses can be read however much the large ones use.
	uncountedBytes = 16 << 10
	// reservationStep is the number of bytes that a reader reserves at once.
	reservationStep = 64 << 10
)

// MemoryBudget bounds the bytes of all responses being read. It is safe for
// concurrent use.
type MemoryBudget struct {
	mu       sync.Mutex
	limit    int64
	reserved int64
}

// NewMemoryBudget returns an unused budget of limit bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Limit returns the size of the budget in bytes.
func (m *MemoryBudget) Limit() int64 { return m.limit }

func (m *MemoryBudget) reserve(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved+bytes > m.limit {
		return false
	}
	m.reserved += bytes
	return true
}

func (m *MemoryBudget) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= bytes
}

// Reader reads responses within two limits: a number of bytes per response, and
// a MemoryBudget shared by all readers. It protects against a server that sends
// bytes without end, in whichever part of a response. It is not safe for
// concurrent use.
type Reader struct {
	source io.Reader
	budget *MemoryBudget
	// remaining is the number of bytes that may still be read, covered the
	// number that may be read before more memory is reserved.
	remaining int64
	covered   int64
	// reserved is the number of bytes reserved from the budget.
	reserved int64
}

// NewReader returns a reader whose limit is 0 until Begin is called.
func NewReader(source io.Reader, budget *MemoryBudget) *Reader {
	return &Reader{source: source, budget: budget}
}

// Begin starts a response and limits it to a number of bytes.
func (r *Reader) Begin(bytes int64) {
	r.End()
	r.remaining, r.covered = bytes, uncountedBytes
}

// SetLimit replaces the number of bytes that may still be read.
func (r *Reader) SetLimit(bytes int64) { r.remaining = bytes }

// End releases the memory reserved for the response.
func (r *Reader) End() {
	r.budget.release(r.reserved)
	r.reserved = 0
}

// Read reads within the limits. It returns ErrTooLong at the end of the byte
// limit, and ErrNoMemory if the budget is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, fmt.Errorf("Reader.Read: %w", ErrTooLong)
	}
	if r.covered <= 0 && !r.reserveMore() {
		return 0, fmt.Errorf("Reader.Read: %w", ErrNoMemory)
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining, r.covered)])
	r.remaining -= int64(n)
	r.covered -= int64(n)
	return n, err
}

// reserveMore reserves another step from the budget.
func (r *Reader) reserveMore() bool {
	if !r.budget.reserve(reservationStep) {
		return false
	}
	r.reserved += reservationStep
	r.covered += reservationStep
	return true
}
