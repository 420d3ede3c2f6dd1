package hysfront

import (
	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysreach"
	"hyssopshore/core/hysservice"
)

// targets returns the listed searchers as targets of probes.
func targets(byService map[hysservice.Name][]hysdispatch.Replica) hysreach.Targets {
	var all hysreach.Targets
	for _, replicas := range byService {
		for _, r := range replicas {
			all = append(all, hysreach.Target{Searcher: r.Searcher, Incarnation: r.Incarnation, Distance: r.Distance})
		}
	}
	return all
}
