package hysmember

import (
	"cmp"
	"log/slog"
)

// Era counts how often the store has come back from a copy of its state. What it
// acknowledged after the copy was made is lost then, and its revisions are given out
// again.
type Era int64

// Revision orders the changes of the store: by era, and within one by number. The zero
// value comes before all changes.
type Revision struct {
	Era    Era
	Number int64
}

// Compare returns -1 if r comes before other, 1 if it comes after it, and 0 if they are
// the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r comes before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }

// LogValue returns the fields of a revision for a log line.
func (r Revision) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("era", int64(r.Era)), slog.Int64("number", r.Number))
}

// MaxRevision returns the later one of two revisions.
func MaxRevision(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// MinRevision returns the earlier one of two revisions.
func MinRevision(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}
