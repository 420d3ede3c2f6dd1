package hysmember

import (
	"slices"
)

// followersPerReader is how many instances one reader of the store serves.
const followersPerReader = 32

// readerKey orders the instances of an availability zone, so that the readers
// are not those that come first by name.
const readerKey = "reader"

// Reader returns the instance of the same availability zone that an instance
// learns the changes of the store from, and false if it reads them itself: it
// is a reader, or not among the instances.
//
// With it the calls to the store grow with the availability zones and every
// sixteenth instance, and none of what is handed on leaves the zone. Instances
// that disagree about the reader get the same, since each says how old its
// knowledge is.
func (m Instances) Reader(self InstanceID) (Instance, bool) {
	at := slices.IndexFunc(m, func(i Instance) bool { return i.ID == self })
	if at < 0 {
		return Instance{}, false
	}
	var neighbours Instances
	for _, i := range m {
		if i.Zone == m[at].Zone {
			neighbours = append(neighbours, i)
		}
	}
	order := Rank(neighbours, readerKey, m[at].Region)
	readers := (len(order) + followersPerReader - 1) / followersPerReader
	place := slices.IndexFunc(order, func(i Instance) bool { return i.ID == self })
	if place < readers {
		return Instance{}, false
	}
	return order[place%readers], true
}
