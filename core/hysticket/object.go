package hysticket

import (
	"cmp"
	"slices"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindGroup   Kind = "group"
	KindService Kind = "service"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the kind and the name, separated by a space.
func (k Key) String() string { return string(k.Kind) + " " + k.Name }

// GroupKey returns the key of a group.
func GroupKey(name hysgroup.Name) Key { return Key{Kind: KindGroup, Name: string(name)} }

// ServiceKey returns the key of a service.
func ServiceKey(name hysservice.Name) Key { return Key{Kind: KindService, Name: string(name)} }

// Object is one configured group or service, with the number of the ticket that
// last set it. An object with neither is the tombstone of a removed one.
type Object struct {
	Key     Key                 `json:"key"`
	Ticket  Number              `json:"ticket"`
	Group   *hysgroup.Group     `json:"group,omitempty"`
	Service *hysservice.Service `json:"service,omitempty"`
}

// Removed reports whether the object is a tombstone.
func (o Object) Removed() bool { return o.Group == nil && o.Service == nil }

// sortObjects returns the objects in the order of their keys.
func sortObjects(objects []Object) []Object {
	sorted := slices.Clone(objects)
	slices.SortFunc(sorted, func(a, b Object) int { return compareKeys(a.Key, b.Key) })
	return sorted
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SetObjects lists the changed objects in the log entry.
func (e *LogEntry) SetObjects(objects []Object) {
	e.ObjectCount = len(objects)
	e.Objects = nil
	for _, o := range objects[:min(len(objects), MaxObjectsPerLogEntry)] {
		change := "set "
		if o.Removed() {
			change = "remove "
		}
		e.Objects = append(e.Objects, change+o.Key.String())
	}
}
