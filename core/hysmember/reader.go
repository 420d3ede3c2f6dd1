package hysmember

import (
	"slices"
)

// followersPerReader is how many instances one reader of the store serves.
const followersPerReader = 32

// readerKey is the key by which the instances of an availability zone are
// ordered, so that the readers are not those that come first by name.
const readerKey = "reader"

// Reader returns the instance of the same availability zone from which an
// instance gets the changes of the store. It returns false if the instance
// reads the store itself: it is a reader, or not in the list.
//
// So the number of calls to the store grows with the number of readers: at
// least one in each availability zone, and one for every followersPerReader
// instances of it. The updates that readers pass on don't leave their zone.
// Instances that disagree about the reader still get the same state, since each
// reports the age of its own.
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
