// Package hysgroup defines the groups: the customers that share the backend
// servers, each with a weight and the services that it may search.
//
// # Usage
//
//	g := hysgroup.Group{Name: "accra-ringers", Services: []hysservice.Name{"captains-desk"}}
//	g.Defaults()
//	if err := g.Validate(); err != nil { ... }
package hysgroup

import (
	"fmt"
	"slices"

	"github.com/juju/errors"

	"hyssopshore/core/hysservice"
)

// ErrInvalid is returned by Validate; the error text names the field.
const ErrInvalid = errors.ConstError("invalid group")

// Name identifies a group. It is kebab case of at most 63 bytes.
type Name string

// Limits and defaults of a group.
const (
	MaxWeight     = 10_000
	MaxServices   = 1_000
	DefaultWeight = 1
)

// Group is one customer.
type Group struct {
	Name Name `json:"name"`
	// Weight is the group's share of a contended service, relative to the
	// weights of the other groups that use it.
	Weight uint32 `json:"weight"`
	// Services lists the services that the group may search.
	Services []hysservice.Name `json:"services"`
}

// Groups is a list of groups.
type Groups []Group

// Defaults sets the omitted fields to their defaults.
func (g *Group) Defaults() {
	if g.Weight == 0 {
		g.Weight = DefaultWeight
	}
}

// Validate returns an ErrInvalid that names the first invalid field.
func (g *Group) Validate() error {
	if !hysservice.ValidName(string(g.Name)) {
		return fmt.Errorf("Group.Validate: name %q is not kebab case of at most 63 bytes: %w", g.Name, ErrInvalid)
	}
	if g.Weight < 1 || g.Weight > MaxWeight {
		return fmt.Errorf("Group.Validate: weight %d is not in 1..%d: %w", g.Weight, MaxWeight, ErrInvalid)
	}
	if len(g.Services) > MaxServices {
		return fmt.Errorf("Group.Validate: %d services, at most %d: %w", len(g.Services), MaxServices, ErrInvalid)
	}
	for _, s := range g.Services {
		if !hysservice.ValidName(string(s)) {
			return fmt.Errorf("Group.Validate: service %q is not kebab case of at most 63 bytes: %w", s, ErrInvalid)
		}
	}
	return nil
}

// MaySearch reports whether the group may search a service.
func (g *Group) MaySearch(service hysservice.Name) bool {
	return slices.Contains(g.Services, service)
}
