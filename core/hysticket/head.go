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

// PageCount is how many pages the objects of a state are spread over. A change
// of one object rewrites one page.
const PageCount = 64

// Limits of what is stored.
const (
	// MaxPageBytes is the largest stored page, in bytes.
	MaxPageBytes = 1 << 20
	// MaxLogEntries is how many accepted tickets the head itself remembers.
	MaxLogEntries = 32
	// MaxTrailPages is how many pages of older log entries the head refers to, each
	// of spillCount entries.
	MaxTrailPages = 256
	spillCount    = 16
	// MaxObjectsPerLogEntry is how many of its objects a log entry names.
	MaxObjectsPerLogEntry = 8
)

// Generation numbers the heads. Each head has a higher one than the head that
// it replaces.
type Generation uint64

// PageHash identifies the content of a page. The empty hash is an empty page.
type PageHash string

// PageRef refers to a stored page: its content and the generation of the head
// that it was written for. A page is written before that head and never again
// under the same reference, which makes it safe to delete; see Head.Garbage.
type PageRef struct {
	Generation Generation
	Hash       PageHash
}

// String returns the name that the page is stored by.
func (r PageRef) String() string {
	if r.Hash == "" {
		return ""
	}
	return strconv.FormatUint(uint64(r.Generation), 10) + "-" + string(r.Hash)
}

// ParsePageRef reads what String wrote.
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

// MarshalText writes the name of the page.
func (r PageRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the name of a page.
func (r *PageRef) UnmarshalText(text []byte) error {
	parsed, err := ParsePageRef(string(text))
	if err != nil {
		return fmt.Errorf("PageRef.UnmarshalText: %w", err)
	}
	*r = parsed
	return nil
}

// Head is the one small value whose compare-and-swap makes a ticket visible.
// It refers to pages that were written before it.
type Head struct {
	Generation Generation         `json:"generation"`
	Pages      [PageCount]PageRef `json:"pages"`
	// Log holds the last accepted tickets, the newest last.
	Log Log `json:"log"`
	// Trail refers to the pages of older log entries, the newest last.
	Trail []PageRef `json:"trail"`
}

// LogEntry is the audit record of an accepted ticket. Its number is 0 if it
// records that daemons wrote back what a restored store had lost.
type LogEntry struct {
	Number Number    `json:"number"`
	Digest Digest    `json:"digest"`
	Author string    `json:"author"`
	Reason string    `json:"reason,omitempty"`
	When   time.Time `json:"when"`
	// Objects names the first MaxLogObjects of ObjectCount objects.
	Objects     []string `json:"objects"`
	ObjectCount int      `json:"object-count"`
}

// Log is the audit trail, the newest ticket last.
type Log []LogEntry

// Find returns the entry of a ticket number.
func (l Log) Find(number Number) (LogEntry, bool) {
	for _, e := range l {
		if e.Number == number {
			return e, true
		}
	}
	return LogEntry{}, false
}

// Merge returns the log with the entries of another that it lacks at its end,
// and only the newest of them if there are more than limit.
func (l Log) Merge(other Log, limit int) Log {
	merged := slices.Clone(l)
	for _, e := range other {
		if !slices.ContainsFunc(merged, e.same) {
			merged = append(merged, e)
		}
	}
	return merged[max(0, len(merged)-limit):]
}

// Without returns the entries that another log lacks.
func (l Log) Without(other Log) Log {
	var rest Log
	for _, e := range l {
		if !slices.ContainsFunc(other, e.same) {
			rest = append(rest, e)
		}
	}
	return rest
}

func (e LogEntry) same(other LogEntry) bool {
	return e.Number == other.Number && e.Digest == other.Digest && e.When.Equal(other.When)
}

// Next returns a copy to change, of a generation above this head's and above
// the known one.
func (h *Head) Next(known Generation) Head {
	next := *h
	next.Generation = max(h.Generation, known) + 1
	next.Log = slices.Clone(h.Log)
	next.Trail = slices.Clone(h.Trail)
	return next
}

// Append adds entries to the log. It returns the pages of the entries that no
// longer fit; they must be stored before the head is.
func (h *Head) Append(entries ...LogEntry) ([]Page, error) {
	h.Log = append(h.Log, entries...)
	var pages []Page
	for len(h.Log) > MaxLogEntries {
		data, err := json.Marshal(h.Log[:spillCount])
		if err != nil {
			return nil, fmt.Errorf("Head.Append: %w", err)
		}
		page := Page{Ref: PageRef{Generation: h.Generation, Hash: HashPage(data)}, Data: data}
		pages = append(pages, page)
		h.Trail = append(h.Trail, page.Ref)
		h.Log = slices.Clone(h.Log[spillCount:])
	}
	h.Trail = h.Trail[max(0, len(h.Trail)-MaxTrailPages):]
	return pages, nil
}

// Deletable reports whether a stored page may be deleted: the head does not
// refer to it, and no later head ever will.
//
// A later head takes over references of the head that it replaces, and adds
// pages of its own generation. A writer that is about to add pages of a
// generation up to this head's has replaced an older head in mind, so that its
// compare-and-swap fails. No clock and no grace period is needed for that; a
// grace period is for readers of an older head only.
func (h *Head) Deletable(ref PageRef) bool {
	return ref.Generation <= h.Generation &&
		!slices.Contains(h.Pages[:], ref) && !slices.Contains(h.Trail, ref)
}

// Page is the stored form of some objects of a state, or of some log entries.
type Page struct {
	Ref  PageRef
	Data []byte
}

// Paginate spreads the objects of a state over PageCount pages. An empty page
// has an empty hash and no data. The error is ErrInvalid if a page is larger
// than MaxPage.
func (s State) Paginate(generation Generation) ([PageCount]Page, error) {
	var spread [PageCount][]Object
	for _, o := range s.Objects() {
		n := xxhash.Sum64String(o.Key.String()) % PageCount
		spread[n] = append(spread[n], o)
	}
	var pages [PageCount]Page
	for i, objects := range spread {
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
