package hysticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
)

// State is the configuration: every object that an accepted ticket ever set,
// tombstones included. The zero value is empty and ready to use. A State is
// immutable, so it may be shared.
type State struct {
	objects map[Key]entry
	// sum combines the checksums of all objects. It doesn't depend on their
	// order.
	sum checksum
	// highestNumber is the highest ticket number of any object.
	highestNumber Number
}

// entry is an object with the checksum of its encoding.
type entry struct {
	object Object
	sum    checksum
}

type checksum [sha256.Size]byte

func (c *checksum) xor(other checksum) {
	for i := range c {
		c[i] ^= other[i]
	}
}

func newEntry(o Object) entry {
	// Encoding these types can't fail.
	data, _ := json.Marshal(o)
	return entry{object: o, sum: sha256.Sum256(data)}
}

// replaces reports whether the entry replaces a known one with the same key. Two
// tickets with the same number can only have been accepted if the store lost the
// first. Comparing checksums makes every instance keep the same one of the two.
func (e entry) replaces(known entry) bool {
	if e.object.Ticket != known.object.Ticket {
		return e.object.Ticket > known.object.Ticket
	}
	return bytes.Compare(e.sum[:], known.sum[:]) > 0
}

// SupersededError names an object that was set by a ticket with the same or a
// higher number.
type SupersededError struct {
	Key    Key
	Number Number
}

// Error returns a message with the key of the object and the ticket number.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("superseded: %s was set by ticket %d", e.Key, e.Number)
}

// NewState returns the state of the given objects. Of two with the same key it
// keeps the one with the higher ticket number.
func NewState(objects []Object) State {
	s := State{objects: make(map[Key]entry, len(objects))}
	for _, o := range objects {
		s.add(newEntry(o))
	}
	return s
}

// add adds an entry, unless a newer one has the same key. The state must not be
// shared yet.
func (s *State) add(e entry) {
	known, ok := s.objects[e.object.Key]
	if ok && !e.replaces(known) {
		return
	}
	if ok {
		s.sum.xor(known.sum)
	}
	s.sum.xor(e.sum)
	s.objects[e.object.Key] = e
	s.highestNumber = max(s.highestNumber, e.object.Ticket)
}

func (s State) clone() State {
	s.objects = maps.Clone(s.objects)
	if s.objects == nil {
		s.objects = make(map[Key]entry)
	}
	return s
}

// Apply returns the state after a ticket. The ticket is accepted if its number
// is above that of each object that it changes, and already accepted if the
// objects already are as the ticket sets them. Otherwise the state is unchanged
// and the error is a *SupersededError that names an object that prevents the
// change. Another ticket with the same number is a conflict, even if it changed
// other objects.
func (s State) Apply(t Ticket) (State, Result, error) {
	objects := t.Objects()
	if o, ok := s.otherObjectOf(t.Number, objects); ok {
		err := &SupersededError{Key: o.Key, Number: o.Ticket}
		return s, ResultConflict, fmt.Errorf("State.Apply: ticket %d: %w", t.Number, err)
	}
	if s.contains(objects) {
		return s, ResultAlreadyAccepted, nil
	}
	for _, o := range objects {
		known, ok := s.objects[o.Key]
		if !ok || known.object.Ticket < o.Ticket {
			continue
		}
		err := &SupersededError{Key: o.Key, Number: known.object.Ticket}
		if known.object.Ticket == o.Ticket {
			return s, ResultConflict, fmt.Errorf("State.Apply: ticket %d: %w", t.Number, err)
		}
		return s, ResultSuperseded, fmt.Errorf("State.Apply: ticket %d: %w", t.Number, err)
	}
	next := s.clone()
	for _, o := range objects {
		next.add(newEntry(o))
	}
	return next, ResultAccepted, nil
}

// otherObjectOf returns an object that was set by the ticket with the given number
// and is not among the given objects.
func (s State) otherObjectOf(number Number, objects []Object) (Object, bool) {
	touched := make(map[Key]bool, len(objects))
	for _, o := range objects {
		touched[o.Key] = true
	}
	for _, e := range s.objects {
		if e.object.Ticket == number && !touched[e.object.Key] {
			return e.object, true
		}
	}
	return Object{}, false
}

// contains reports whether the state has exactly these versions of the objects.
func (s State) contains(objects []Object) bool {
	for _, o := range objects {
		known, ok := s.objects[o.Key]
		if !ok || known.sum != newEntry(o).sum {
			return false
		}
	}
	return true
}

// Merge returns the state that has, for each key, the object with the higher
// ticket number.
func (s State) Merge(other State) State {
	if s.sum == other.sum {
		return s
	}
	merged := s.clone()
	for _, e := range other.objects {
		merged.add(e)
	}
	return merged
}

// MergeStates merges any number of states, as Merge does with two.
func MergeStates(states []State) State {
	merged := State{objects: make(map[Key]entry)}
	for _, s := range states {
		for _, e := range s.objects {
			merged.add(e)
		}
	}
	return merged
}

// ObjectsNewerThan returns the objects that the older state lacks or has in an
// older version, in the order of their keys.
func (s State) ObjectsNewerThan(older State) []Object {
	var newer []Object
	for key, e := range s.objects {
		known, ok := older.objects[key]
		if !ok || e.replaces(known) {
			newer = append(newer, e.object)
		}
	}
	return sortObjects(newer)
}

// Objects returns every object, tombstones included, in the order of their keys.
func (s State) Objects() []Object {
	objects := make([]Object, 0, len(s.objects))
	for _, e := range s.objects {
		objects = append(objects, e.object)
	}
	return sortObjects(objects)
}

// Digest identifies the content of the state.
func (s State) Digest() Digest { return Digest(hex.EncodeToString(s.sum[:])) }

// HighestNumber returns the highest ticket number of any object, 0 if there is
// none.
func (s State) HighestNumber() Number { return s.highestNumber }

// Group returns a group that has not been removed.
func (s State) Group(name hysgroup.Name) (hysgroup.Group, bool) {
	o := s.objects[GroupKey(name)].object
	if o.Group == nil {
		return hysgroup.Group{}, false
	}
	return *o.Group, true
}

// Service returns a service that has not been removed.
func (s State) Service(name hysservice.Name) (hysservice.Service, bool) {
	o := s.objects[ServiceKey(name)].object
	if o.Service == nil {
		return hysservice.Service{}, false
	}
	return *o.Service, true
}

// Groups returns the groups that have not been removed, sorted by name.
func (s State) Groups() hysgroup.Groups {
	var groups hysgroup.Groups
	for _, o := range s.objectsOfKind(KindGroup) {
		if o.Group != nil {
			groups = append(groups, *o.Group)
		}
	}
	return groups
}

// Services returns the services that have not been removed, sorted by name.
func (s State) Services() hysservice.Services {
	var services hysservice.Services
	for _, o := range s.objectsOfKind(KindService) {
		if o.Service != nil {
			services = append(services, *o.Service)
		}
	}
	return services
}

// objectsOfKind returns the objects of a kind, tombstones included, in the order
// of their keys.
func (s State) objectsOfKind(kind Kind) []Object {
	var objects []Object
	for key, e := range s.objects {
		if key.Kind == kind {
			objects = append(objects, e.object)
		}
	}
	return sortObjects(objects)
}

// MarshalJSON encodes the objects in the order of their keys.
func (s State) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(s.Objects())
	if err != nil {
		return nil, fmt.Errorf("State.MarshalJSON: %w", err)
	}
	return data, nil
}

// UnmarshalJSON decodes the result of MarshalJSON.
func (s *State) UnmarshalJSON(data []byte) error {
	var objects []Object
	if err := json.Unmarshal(data, &objects); err != nil {
		return fmt.Errorf("State.UnmarshalJSON: %w", err)
	}
	*s = NewState(objects)
	return nil
}
