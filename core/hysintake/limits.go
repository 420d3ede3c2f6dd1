package hysintake

// UncountedBytes of each request are not counted against Limits.Bytes, so that
// requests without a large body can be read however much the large ones hold.
const UncountedBytes = 4 << 10

// closingShare is the part of the connections that may be closing beyond the limit.
const closingShare = 8

// Limits bound what the clients of one port may use. Both must be positive.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory that requests may hold together, from their first byte to
	// their answer, in bytes.
	Bytes int64
}

// maxClosing is how many evicted connections may still be open.
func (l Limits) maxClosing() int { return max(1, l.Connections/closingShare) }
