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

// State is every object that a ticket ever set. The zero value is empty and
// ready to use. A State is not changed once made and may be shared.
type State struct {
	objects map[Key]entry
	// sum combines the sums of all objects, in no order.
	sum    checksum
	newest Number
}

// entry is an object with the checksum of its content.
type entry struct {
	object Object
	sum    checksum
}

type checksum [sha256.Size]byte

func (c *checksum) combine(other checksum) {
	for i := range c {
		c[i] ^= other[i]
	}
}

func newEntry(o Object) entry {
	// Encoding of these types has no way to fail.
	data, _ := json.Marshal(o)
	return entry{object: o, sum: sha256.Sum256(data)}
}

// replaces reports whether the entry takes the place of a known one with the
// same key. Two tickets with one number can only have been accepted if the
// store lost the first; every daemon then keeps the same one of the two.
func (e entry) replaces(known entry) bool {
	if e.object.Ticket != known.object.Ticket {
		return e.object.Ticket > known.object.Ticket
	}
	return bytes.Compare(e.sum[:], known.sum[:]) > 0
}

// SupersededError names the object that has a higher ticket number already.
type SupersededError struct {
	Key    Key
	Number Number
}

// Error names the object and its number.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("superseded: %s was set by ticket %d", e.Key, e.Number)
}

// NewState returns the state with the given objects; of two with the same key
// the one with the higher ticket number stays.
func NewState(objects []Object) State {
	s := State{objects: make(map[Key]entry, len(objects))}
	for _, o := range objects {
		s.add(newEntry(o))
	}
	return s
}

// add puts an entry into a state that is not shared yet.
func (s *State) add(e entry) {
	known, ok := s.objects[e.object.Key]
	if ok && !e.replaces(known) {
		return
	}
	if ok {
		s.sum.combine(known.sum)
	}
	s.sum.combine(e.sum)
	s.objects[e.object.Key] = e
	s.newest = max(s.newest, e.object.Ticket)
}

func (s State) clone() State {
	s.objects = maps.Clone(s.objects)
	if s.objects == nil {
		s.objects = make(map[Key]entry)
	}
	return s
}

// Apply returns the state after a ticket. The ticket is accepted if its number
// is above that of each object it touches, and already accepted if the objects
// stand as the ticket would leave them. Otherwise the error is a
// *SupersededError that names an object in the way; another ticket with the
// same number is a conflict, though it touched other objects.
func (s State) Apply(t Ticket) (State, Result, error) {
	objects := t.Objects()
	if o, ok := s.other(t.Number, objects); ok {
		err := &SupersededError{Key: o.Key, Number: o.Ticket}
		return s, ResultConflict, fmt.Errorf("State.Apply: ticket %d: %w", t.Number, err)
	}
	if s.holds(objects) {
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

// other returns an object that a ticket of the number set beside the given ones.
func (s State) other(number Number, objects []Object) (Object, bool) {
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

func (s State) holds(objects []Object) bool {
	for _, o := range objects {
		known, ok := s.objects[o.Key]
		if !ok || known.sum != newEntry(o).sum {
			return false
		}
	}
	return true
}

// Merge returns, for each key, the object with the higher ticket number.
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

// MergeStates returns the merged objects of many states.
func MergeStates(states []State) State {
	joined := State{objects: make(map[Key]entry)}
	for _, s := range states {
		for _, e := range s.objects {
			joined.add(e)
		}
	}
	return joined
}

// ObjectsNewerThan returns the objects of the state that the older one lacks.
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

// Objects returns every object, tombstones included, in the order of keys.
func (s State) Objects() []Object {
	objects := make([]Object, 0, len(s.objects))
	for _, e := range s.objects {
		objects = append(objects, e.object)
	}
	return sortObjects(objects)
}

// Digest identifies the content of the state.
func (s State) Digest() Digest { return Digest(hex.EncodeToString(s.sum[:])) }

// HighestNumber returns the highest ticket number in the state.
func (s State) HighestNumber() Number { return s.newest }

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

// Groups returns the groups that have not been removed, by name.
func (s State) Groups() hysgroup.Groups {
	var groups hysgroup.Groups
	for _, o := range s.standing(KindGroup) {
		if o.Group != nil {
			groups = append(groups, *o.Group)
		}
	}
	return groups
}

// Services returns the services that have not been removed, by name.
func (s State) Services() hysservice.Services {
	var services hysservice.Services
	for _, o := range s.standing(KindService) {
		if o.Service != nil {
			services = append(services, *o.Service)
		}
	}
	return services
}

// standing returns the objects of a kind in the order of keys.
func (s State) standing(kind Kind) []Object {
	var objects []Object
	for key, e := range s.objects {
		if key.Kind == kind {
			objects = append(objects, e.object)
		}
	}
	return sortObjects(objects)
}

// MarshalJSON writes the objects in the order of keys.
func (s State) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(s.Objects())
	if err != nil {
		return nil, fmt.Errorf("State.MarshalJSON: %w", err)
	}
	return data, nil
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (s *State) UnmarshalJSON(data []byte) error {
	var objects []Object
	if err := json.Unmarshal(data, &objects); err != nil {
		return fmt.Errorf("State.UnmarshalJSON: %w", err)
	}
	*s = NewState(objects)
	return nil
}
