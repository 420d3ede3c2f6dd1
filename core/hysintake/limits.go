package hysintake

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrInvalid means that limits can't be used; the message names the limit.
const ErrInvalid = errors.ConstError("invalid limits")

// UncountedBytes of each request are not counted against Limits.Bytes, so that
// requests without a large body can be read however much the large ones hold.
const UncountedBytes = 4 << 10

// closingShare is the part of the connections that may be closing beyond the limit.
const closingShare = 8

// Limits bound what the clients of one port may use.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory that requests may hold together, from their first byte to
	// their answer, in bytes.
	Bytes int64
}

// Validate returns an error that wraps ErrInvalid if a limit is not positive.
func (l Limits) Validate() error {
	if l.Connections <= 0 {
		return fmt.Errorf("Limits.Validate: %d connections: %w", l.Connections, ErrInvalid)
	}
	if l.Bytes <= 0 {
		return fmt.Errorf("Limits.Validate: %d bytes: %w", l.Bytes, ErrInvalid)
	}
	return nil
}

// maxClosing is how many evicted connections may still be open.
func (l Limits) maxClosing() int { return max(1, l.Connections/closingShare) }
