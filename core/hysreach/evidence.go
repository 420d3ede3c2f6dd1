package hysreach

//go:generate go tool stringer -type=Evidence,ChangeKind -linecomment -output=enum_string.go

// Evidence is what shows that a searcher may be out of reach.
type Evidence uint8

// The kinds of evidence.
const (
	EvidenceNone Evidence = iota // none
	// EvidenceTimeout is a connection that was not established in time.
	EvidenceTimeout // timeout
	// EvidenceRefused is a connection that was refused.
	EvidenceRefused // refused
	// EvidenceRefusedInUse is a connection that was refused while others to the same
	// searcher are open.
	EvidenceRefusedInUse // refused-in-use
	// EvidenceReset is a connection that was reset before the response.
	EvidenceReset // reset
	// EvidenceUnacknowledged is a connection on which sent bytes were not
	// acknowledged.
	EvidenceUnacknowledged // unacknowledged
	// EvidenceStalled means that sends were started and no searcher answered any.
	EvidenceStalled // stalled
	// EvidenceInferred means that this searcher was not tried: a sample of all
	// searchers could not be reached.
	EvidenceInferred // inferred
)
