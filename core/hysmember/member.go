// Package hysmember holds what is known of the instances and the searchers, and
// derives from it which instance dispatches which shard.
//
// Two instances may disagree about the dispatcher of a shard for a while. This
// costs latency only: no guarantee depends on it.
//
// # Usage
//
//	v := hysmember.NewView(usable)
//	v.SetList(list)
//	v.Merge(info)
//	dispatcher := v.Dispatchers("captains-desk", 3)[0]
package hysmember

import (
	"slices"

	"hyssopshore/core/hysservice"
)

// InstanceID identifies an instance of the system.
type InstanceID string

// SearcherID identifies a backend server.
type SearcherID string

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string

// Address is an IP address and a port.
type Address string

// Instance is one machine of this system.
type Instance struct {
	ID      InstanceID `json:"id"`
	Address Address    `json:"address"`
	Zone    Zone       `json:"zone"`
	Region  Region     `json:"region"`
	// Leaving instances get no new work.
	Leaving bool `json:"leaving"`
	// ProcessorShare is the share of a processor core that the instance may
	// use.
	ProcessorShare float64 `json:"processor-share,omitempty"`
}

// Searcher is one backend server.
type Searcher struct {
	ID      SearcherID      `json:"id"`
	Service hysservice.Name `json:"service"`
	Address Address         `json:"address"`
	Zone    Zone            `json:"zone"`
	Region  Region          `json:"region"`
	// Leaving searchers get no new work.
	Leaving bool `json:"leaving"`
}

// Instances is a list of instances.
type Instances []Instance

// Searchers is a list of searchers.
type Searchers []Searcher

// List is the content of the platform's instance list.
type List struct {
	Instances Instances `json:"instances"`
	Searchers Searchers `json:"searchers"`
}

// Contains reports whether an instance is in the list.
func (m Instances) Contains(id InstanceID) bool {
	return slices.ContainsFunc(m, func(i Instance) bool { return i.ID == id })
}

// Live returns the instances that are not leaving.
func (m Instances) Live() Instances {
	live := make(Instances, 0, len(m))
	for _, i := range m {
		if !i.Leaving {
			live = append(live, i)
		}
	}
	return live
}
