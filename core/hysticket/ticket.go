// Package hysticket holds the configuration: numbered change tickets and the
// state that results from the accepted ones.
//
// A ticket carries the whole new state of each object that it changes. It is
// accepted as a whole if its number is above the numbers of all objects that it
// changes, and refused as a whole otherwise. States merge object by object, and
// the highest number wins, so neither an old ticket nor an old copy of the state
// can revert a change.
//
// # Usage
//
//	t := hysticket.Ticket{Number: 7, Author: "ama", Groups: hysgroup.Groups{g}}
//	t.Defaults()
//	if err := t.Validate(); err != nil { ... }
//	next, result, err := state.Apply(t)
package hysticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
)

//go:generate go tool stringer -type=Result -linecomment -output=enum_string.go

// ErrInvalid is returned for a ticket that can never be accepted unless it is
// changed.
const ErrInvalid = errors.ConstError("invalid ticket")

// Number is the number of a ticket; a later ticket has a higher one.
type Number uint64

// Digest identifies the content of a ticket or a state.
type Digest string

// Result tells whether a ticket was accepted, and why not.
type Result uint8

// The results of a ticket.
const (
	ResultAccepted        Result = iota // accepted
	ResultAlreadyAccepted               // already-accepted
	ResultSuperseded                    // superseded
	ResultConflict                      // conflict
	ResultUnknown                       // unknown
)

// MarshalText returns the name of the result.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a result. The error is ErrInvalid.
func (r *Result) UnmarshalText(text []byte) error {
	for v := ResultAccepted; v <= ResultUnknown; v++ {
		if v.String() == string(text) {
			*r = v
			return nil
		}
	}
	return fmt.Errorf("Result.UnmarshalText: result %q: %w", text, ErrInvalid)
}

// Limits of a ticket.
const (
	// MaxObjects is the largest number of objects that a ticket may change.
	MaxObjects = 10_000
	// MaxTextBytes bounds the author and the reason each.
	MaxTextBytes = 1_000
)

// Ticket is one numbered change of the configuration.
type Ticket struct {
	Number Number `json:"number"`
	Author string `json:"author"`
	Reason string `json:"reason,omitempty"`
	// Groups and Services hold the whole new state of the objects to be set.
	Groups         hysgroup.Groups     `json:"groups,omitempty"`
	Services       hysservice.Services `json:"services,omitempty"`
	RemoveGroups   []hysgroup.Name     `json:"remove-groups,omitempty"`
	RemoveServices []hysservice.Name   `json:"remove-services,omitempty"`
}

// Defaults sets the omitted fields of the objects to their defaults.
func (t *Ticket) Defaults() {
	for i := range t.Groups {
		t.Groups[i].Defaults()
	}
	for i := range t.Services {
		t.Services[i].Defaults()
	}
}

// Validate returns an ErrInvalid that names the first problem.
func (t *Ticket) Validate() error {
	if t.Number == 0 {
		return fmt.Errorf("Ticket.Validate: number must be above 0: %w", ErrInvalid)
	}
	if t.Author == "" || len(t.Author) > MaxTextBytes || len(t.Reason) > MaxTextBytes {
		return fmt.Errorf("Ticket.Validate: author must be given, author and reason at most %d bytes: %w", MaxTextBytes, ErrInvalid)
	}
	for i := range t.Groups {
		if err := t.Groups[i].Validate(); err != nil {
			return fmt.Errorf("Ticket.Validate: %w: %w", err, ErrInvalid)
		}
	}
	for i := range t.Services {
		if err := t.Services[i].Validate(); err != nil {
			return fmt.Errorf("Ticket.Validate: %w: %w", err, ErrInvalid)
		}
	}
	return t.validateKeys()
}

func (t *Ticket) validateKeys() error {
	objects := t.Objects()
	if len(objects) == 0 || len(objects) > MaxObjects {
		return fmt.Errorf("Ticket.Validate: touches %d objects, not 1..%d: %w", len(objects), MaxObjects, ErrInvalid)
	}
	seen := make(map[Key]bool, len(objects))
	for _, o := range objects {
		if !hysservice.ValidName(o.Key.Name) {
			return fmt.Errorf("Ticket.Validate: name %q is not kebab case of at most 63 bytes: %w", o.Key.Name, ErrInvalid)
		}
		if seen[o.Key] {
			return fmt.Errorf("Ticket.Validate: touches %s twice: %w", o.Key, ErrInvalid)
		}
		seen[o.Key] = true
	}
	return nil
}

// Digest identifies the ticket's number and objects. It doesn't depend on the
// author and the reason.
func (t *Ticket) Digest() Digest {
	return digestObjects(t.Objects())
}

// Objects returns the objects that an accepted ticket sets, with a tombstone for
// each one that it removes.
func (t *Ticket) Objects() []Object {
	objects := make([]Object, 0, len(t.Groups)+len(t.Services)+len(t.RemoveGroups)+len(t.RemoveServices))
	for i := range t.Groups {
		g := t.Groups[i]
		objects = append(objects, Object{Key: GroupKey(g.Name), Ticket: t.Number, Group: &g})
	}
	for i := range t.Services {
		s := t.Services[i]
		objects = append(objects, Object{Key: ServiceKey(s.Name), Ticket: t.Number, Service: &s})
	}
	for _, n := range t.RemoveGroups {
		objects = append(objects, Object{Key: GroupKey(n), Ticket: t.Number})
	}
	for _, n := range t.RemoveServices {
		objects = append(objects, Object{Key: ServiceKey(n), Ticket: t.Number})
	}
	return objects
}

func digestObjects(objects []Object) Digest {
	h := sha256.New()
	encoder := json.NewEncoder(h)
	for _, o := range sortObjects(objects) {
		// Encoding these types into a hash can't fail.
		_ = encoder.Encode(o)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}
