package hysticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PageCount is the number of pages that the objects of a state are distributed
// over. A change of one object rewrites one page.
const PageCount = 64

// Limits of the stored data.
const (
	// MaxPageBytes is the size of the largest stored page.
	MaxPageBytes = 1 << 20
	// MaxLogEntries is the largest number of log entries in the head itself.
	MaxLogEntries = 32
	// MaxTrailPages is the largest number of pages of older log entries that the
	// head refers to, with entriesPerTrailPage entries each.
	MaxTrailPages       = 256
	entriesPerTrailPage = 16
	// MaxObjectsPerLogEntry is the largest number of objects that a log entry
	// names.
	MaxObjectsPerLogEntry = 8
)

// Generation is the number of a head. Each head has a higher one than the head
// that it replaces.
type Generation uint64

// PageHash identifies the content of a page. The empty hash stands for an empty
// page.
type PageHash string

// PageRef refers to a stored page by its content and by the generation of the
// head that it was written for. A page is written before that head and never
// again under the same reference, so it can be deleted safely; see
// Head.Deletable.
type PageRef struct {
	Generation Generation
	Hash       PageHash
}

// String returns the name under which the page is stored, empty for an empty
// page.
func (r PageRef) String() string {
	if r.Hash == "" {
		return ""
	}
	return strconv.FormatUint(uint64(r.Generation), 10) + "-" + string(r.Hash)
}

// ParsePageRef parses the result of PageRef.String. The error is ErrInvalid.
func ParsePageRef(text string) (PageRef, error) {
	if text == "" {
		return PageRef{}, nil
	}
	number, hash, _ := strings.Cut(text, "-")
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil || hash == "" {
		return PageRef{}, fmt.Errorf("ParsePageRef: %q: %w", text, ErrInvalid)
	}
	return PageRef{Generation: Generation(generation), Hash: PageHash(hash)}, nil
}

// MarshalText returns the name under which the page is stored.
func (r PageRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name under which a page is stored.
func (r *PageRef) UnmarshalText(text []byte) error {
	parsed, err := ParsePageRef(string(text))
	if err != nil {
		return fmt.Errorf("PageRef.UnmarshalText: %w", err)
	}
	*r = parsed
	return nil
}

// Head is the root of the stored configuration: one small value whose
// compare-and-swap makes a ticket visible. It refers to pages that were written
// before it.
type Head struct {
	Generation Generation         `json:"generation"`
	Pages      [PageCount]PageRef `json:"pages"`
	// Log holds the last accepted tickets, the newest last. Older entries are
	// in the pages of Trail.
	Log Log `json:"log"`
	// Trail refers to the pages of older log entries, the newest last.
	Trail []PageRef `json:"trail"`
}

// LogEntry is the audit record of an accepted ticket. An entry with number 0
// records that an instance wrote back objects that a restored store had lost.
type LogEntry struct {
	Number Number    `json:"number"`
	Digest Digest    `json:"digest"`
	Author string    `json:"author"`
	Reason string    `json:"reason,omitempty"`
	When   time.Time `json:"when"`
	// Objects names the first MaxObjectsPerLogEntry of ObjectCount objects.
	Objects     []string `json:"objects"`
	ObjectCount int      `json:"object-count"`
}

// Log is the audit trail, the newest ticket last.
type Log []LogEntry

// Find returns the first entry with a ticket number.
func (l Log) Find(number Number) (LogEntry, bool) {
	for _, e := range l {
		if e.Number == number {
			return e, true
		}
	}
	return LogEntry{}, false
}

// Merge returns the log followed by the entries of the other log that it lacks.
// Of a result longer than limit, only the last limit entries are returned.
func (l Log) Merge(other Log, limit int) Log {
	merged := slices.Clone(l)
	for _, e := range other {
		if !slices.ContainsFunc(merged, e.equal) {
			merged = append(merged, e)
		}
	}
	return merged[max(0, len(merged)-limit):]
}

// Without returns the entries that are not in the other log.
func (l Log) Without(other Log) Log {
	var missing Log
	for _, e := range l {
		if !slices.ContainsFunc(other, e.equal) {
			missing = append(missing, e)
		}
	}
	return missing
}

func (e LogEntry) equal(other LogEntry) bool {
	return e.Number == other.Number && e.Digest == other.Digest && e.When.Equal(other.When)
}

// Next returns a copy of the head for the next change. Its generation is above
// this head's and above the known one.
func (h *Head) Next(known Generation) Head {
	next := *h
	next.Generation = max(h.Generation, known) + 1
	next.Log = slices.Clone(h.Log)
	next.Trail = slices.Clone(h.Trail)
	return next
}

// Append adds entries to the log. Beyond MaxLogEntries, it moves the oldest
// entries to pages of the trail and returns these pages, which must be stored
// before the head is.
func (h *Head) Append(entries ...LogEntry) ([]Page, error) {
	h.Log = append(h.Log, entries...)
	var pages []Page
	for len(h.Log) > MaxLogEntries {
		data, err := json.Marshal(h.Log[:entriesPerTrailPage])
		if err != nil {
			return nil, fmt.Errorf("Head.Append: %w", err)
		}
		page := Page{Ref: PageRef{Generation: h.Generation, Hash: HashPage(data)}, Data: data}
		pages = append(pages, page)
		h.Trail = append(h.Trail, page.Ref)
		h.Log = slices.Clone(h.Log[entriesPerTrailPage:])
	}
	h.Trail = h.Trail[max(0, len(h.Trail)-MaxTrailPages):]
	return pages, nil
}

// Deletable reports whether a stored page may be deleted: the head does not
// refer to it, and no later head ever will.
//
// A later head keeps references of the head that it replaces and adds pages of
// its own, higher generation. A writer that adds pages of a generation up to this
// head's has started from an older head, so its compare-and-swap fails. This
// needs neither a clock nor a grace period; a grace period only serves readers
// of an older head.
func (h *Head) Deletable(ref PageRef) bool {
	return ref.Generation <= h.Generation &&
		!slices.Contains(h.Pages[:], ref) && !slices.Contains(h.Trail, ref)
}

// Page is the stored form of some objects of a state, or of some log entries.
type Page struct {
	Ref  PageRef
	Data []byte
}

// Paginate distributes the objects of a state over PageCount pages, by the hash
// of their keys. An empty page has an empty hash and no data. The error is
// ErrInvalid if a page is larger than MaxPageBytes.
func (s State) Paginate(generation Generation) ([PageCount]Page, error) {
	var assigned [PageCount][]Object
	for _, o := range s.Objects() {
		n := xxhash.Sum64String(o.Key.String()) % PageCount
		assigned[n] = append(assigned[n], o)
	}
	var pages [PageCount]Page
	for i, objects := range assigned {
		if len(objects) == 0 {
			continue
		}
		data, err := json.Marshal(objects)
		if err != nil {
			return pages, fmt.Errorf("State.Paginate: page %d: %w", i, err)
		}
		if len(data) > MaxPageBytes {
			return pages, fmt.Errorf("State.Paginate: page %d of %d bytes, at most %d: %w", i, len(data), MaxPageBytes, ErrInvalid)
		}
		pages[i] = Page{Ref: PageRef{Generation: generation, Hash: HashPage(data)}, Data: data}
	}
	return pages, nil
}

// HashPage returns the hash that identifies a page's data.
func HashPage(data []byte) PageHash {
	sum := sha256.Sum256(data)
	return PageHash(hex.EncodeToString(sum[:16]))
}
