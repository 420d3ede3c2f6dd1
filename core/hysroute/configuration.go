package hysroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// Version is the version of a configuration; it only increases.
type Version int64

// Service holds the operators' settings of a service.
type Service struct {
	Name hysservice.Name
	// MaxConnections is how many connections one searcher accepts from all
	// callers together; 0 means no limit.
	MaxConnections int
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes; 0 means no limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a caller may take to send the header of a
	// request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Configuration is one version of the routes, services and limits. It is safe
// for concurrent use.
type Configuration struct {
	Version  Version
	Routes   Routes
	Services map[hysservice.Name]Service
	Limits   Limits

	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string]Routes
}

// Skipped is an invalid route that a configuration leaves out, with the error.
type Skipped struct {
	Route Name
	Err   error
}

// NewConfiguration returns a configuration of the valid routes, with their
// defaults set, and the invalid routes.
func NewConfiguration(version Version, routes Routes, services []Service, limits Limits) (*Configuration, []Skipped) {
	c := &Configuration{
		Version: version, Limits: limits,
		Services: make(map[hysservice.Name]Service, len(services)),
		byHost:   make(map[string]Routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	var skipped []Skipped
	for _, r := range routes {
		r.Defaults()
		if err := r.Validate(); err != nil {
			skipped = append(skipped, Skipped{Route: r.Name, Err: err})
			continue
		}
		c.Routes = append(c.Routes, r)
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	c.classify()
	return c, skipped
}

// classify sets the class of each route. For each service, it takes the lower
// median of the distinct priorities of the routes that use the service. A route is
// bulk if it ranks below the median at any of its services, and urgent otherwise.
func (c *Configuration) classify() {
	priorities := make(map[hysservice.Name][]Priority)
	for _, r := range c.Routes {
		for _, s := range r.Services() {
			priorities[s] = append(priorities[s], r.Priority)
		}
	}
	median := make(map[hysservice.Name]Priority, len(priorities))
	for s, all := range priorities {
		slices.Sort(all)
		all = slices.Compact(all)
		median[s] = all[(len(all)-1)/2]
	}
	for _, r := range c.Routes {
		r.Class = hysquery.ClassUrgent
		for _, s := range r.Services() {
			if r.Priority > median[s] {
				r.Class = hysquery.ClassBulk
			}
		}
	}
}

// Match returns the route of a host and a path: the one with the longest prefix
// that matches the path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// ShardServices returns the services that are shards of a query route.
func (c *Configuration) ShardServices() map[hysservice.Name]bool {
	shards := make(map[hysservice.Name]bool)
	for _, r := range c.Routes {
		for _, s := range r.Shards {
			shards[s] = true
		}
	}
	return shards
}
