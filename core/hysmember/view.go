package hysmember

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// MaxDispatchers is the most instances that Dispatchers returns for a shard.
const MaxDispatchers = 8

// spareDispatchers is how many of the MaxDispatchers are of other regions.
const spareDispatchers = 2

// ObserversPerSearcher is how many instances ask each searcher what it holds.
const ObserversPerSearcher = 2

// usableInterval is how long the set of usable instances is cached.
const usableInterval = 50 * time.Millisecond

// View is what this instance knows of all other instances and of the searchers.
// State derived from it is kept until a change affects it. It is safe for
// concurrent use. Lock order: View.mu, then what isUsable locks, then Infos.mu.
type View struct {
	mu    sync.Mutex
	now   func() time.Time
	infos *Infos
	// isUsable reports whether a listed instance may get work.
	isUsable func(InstanceID) bool

	list        List
	listVersion uint64
	interned    map[InstanceID]*Instance
	regions     map[SearcherID]Region
	searchers   map[hysservice.Name]Searchers

	usable          []*Instance
	usableAt        time.Time
	ranking         *ranking
	dispatcherCache *topCache
	observerCache   *topCache
	observed        Searchers
	observedFor     observedKey
	services        map[hysservice.Name]*serviceView
}

// observedKey is the input from which the last result of Observed was derived.
type observedKey struct {
	instance    InstanceID
	listVersion uint64
	ranking     *ranking
}

// serviceView is the state derived from the infos of one service.
type serviceView struct {
	listVersion  uint64
	changes      Changes
	shardRegions map[hysservice.ShardID]Region
	shardMap     hyssnapshot.Map
	complete     bool
}

// ViewOption configures a View.
type ViewOption func(*View)

// WithClock replaces the clock.
func WithClock(now func() time.Time) ViewOption {
	return func(v *View) { v.now = now }
}

// NewView returns a view without members. The usable callback reports whether a
// listed instance may get work.
func NewView(usable func(InstanceID) bool, options ...ViewOption) *View {
	v := &View{
		now: time.Now, infos: NewInfos(), isUsable: usable,
		interned:        make(map[InstanceID]*Instance),
		ranking:         newRanking(nil),
		dispatcherCache: newTopCache(MaxDispatchers, spareDispatchers),
		observerCache:   newTopCache(ObserversPerSearcher, 0),
		services:        make(map[hysservice.Name]*serviceView),
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// SetList applies the platform's instance list.
func (v *View) SetList(l List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Equal(v.list.Searchers, l.Searchers) {
		v.indexSearchers(l.Searchers)
	}
	if !slices.Equal(v.list.Instances, l.Instances) {
		v.intern(l.Instances)
		v.usableAt = time.Time{}
	}
	v.list = l
}

// indexSearchers indexes the listed searchers, and removes the infos of all
// others.
func (v *View) indexSearchers(searchers Searchers) {
	v.listVersion++
	v.regions = make(map[SearcherID]Region, len(searchers))
	v.searchers = make(map[hysservice.Name]Searchers)
	for _, s := range searchers {
		v.regions[s.ID] = s.Region
		v.searchers[s.Service] = append(v.searchers[s.Service], s)
	}
	v.infos.Retain(func(id SearcherID) bool {
		_, ok := v.regions[id]
		return ok
	})
}

// intern keeps one copy of each instance, so that equal ones are the same
// pointer.
func (v *View) intern(instances Instances) {
	kept := make(map[InstanceID]*Instance, len(instances))
	for _, i := range instances {
		known, ok := v.interned[i.ID]
		if !ok || *known != i {
			known = &i
		}
		kept[i.ID] = known
	}
	v.interned = kept
}

// List returns the instance list as last set.
func (v *View) List() List {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

// Searchers returns the listed searchers of a service.
func (v *View) Searchers(service hysservice.Name) Searchers {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.searchers[service]
}

// Listed reports whether an instance is in the list.
func (v *View) Listed(id InstanceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.interned[id]
	return ok
}

// Merge applies what a listed searcher has reported about itself, and reports
// whether that was new. What others still report of a searcher that is no
// longer listed is ignored, or the instances would send it to each other
// forever.
func (v *View) Merge(i Info) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.regions[i.Searcher]; !ok {
		return false
	}
	return v.infos.Merge(i)
}

// Info returns what a searcher has reported about itself.
func (v *View) Info(id SearcherID) (Info, bool) { return v.infos.Get(id) }

// Usable returns the instances that may get work.
func (v *View) Usable() Instances {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	return copyInstances(v.usable)
}

// refresh recomputes the usable instances after a new list or after
// usableInterval. The caller holds mu.
func (v *View) refresh() {
	now := v.now()
	if !v.usableAt.IsZero() && now.Sub(v.usableAt) < usableInterval {
		return
	}
	v.usableAt = now
	usable := make([]*Instance, 0, len(v.list.Instances))
	for _, i := range v.list.Instances {
		m := v.interned[i.ID]
		if !m.Leaving && v.isUsable(m.ID) {
			usable = append(usable, m)
		}
	}
	if slices.Equal(usable, v.usable) {
		return
	}
	c := difference(v.usable, usable)
	v.dispatcherCache.invalidate(c)
	v.observerCache.invalidate(c)
	v.usable, v.ranking = usable, newRanking(usable)
}

// Snapshot returns the newest complete shard map of a service. The caller must
// not change it.
func (v *View) Snapshot(service hysservice.Name) (hyssnapshot.Map, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	return s.shardMap, s.complete
}

// Dispatchers returns the highest ranked instances for a shard, its dispatcher
// first.
func (v *View) Dispatchers(service hysservice.Name, shard hysservice.ShardID) Instances {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	preferred := v.service(service).shardRegions[shard]
	return copyInstances(v.dispatcherCache.top(v.ranking, ShardKey(service, shard), preferred))
}

// ShardKey returns the key for which a shard's dispatchers are ranked.
func ShardKey(service hysservice.Name, shard hysservice.ShardID) string {
	return string(service) + "/" + strconv.FormatUint(uint64(shard), 10)
}

// Observed returns the searchers that an instance asks what they hold. The
// caller must not change them.
func (v *View) Observed(id InstanceID) Searchers {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	at := observedKey{instance: id, listVersion: v.listVersion, ranking: v.ranking}
	if v.observedFor == at {
		return v.observed
	}
	v.observedFor, v.observed = at, nil
	for _, s := range v.list.Searchers {
		for _, m := range v.observerCache.top(v.ranking, string(s.ID), s.Region) {
			if m.ID == id {
				v.observed = append(v.observed, s)
			}
		}
	}
	return v.observed
}

// service returns the state derived from the infos of a service, computed again
// if they or the list have changed. The caller holds mu.
func (v *View) service(name hysservice.Name) *serviceView {
	changes := v.infos.Changes(name)
	known, ok := v.services[name]
	if ok && known.changes == changes && known.listVersion == v.listVersion {
		return known
	}
	infos := v.infos.Service(name)
	s := &serviceView{listVersion: v.listVersion, changes: changes, shardRegions: v.shardRegions(infos)}
	var holdings []hyssnapshot.Holding
	for _, i := range infos {
		holdings = append(holdings, i.Holdings...)
	}
	s.shardMap, s.complete = hyssnapshot.NewestMap(holdings)
	v.services[name] = s
	return s
}

// shardRegions returns, for each shard, the region with the most of its
// searchers.
func (v *View) shardRegions(infos []Info) map[hysservice.ShardID]Region {
	counts := make(map[hysservice.ShardID]map[Region]int)
	for _, i := range infos {
		region, ok := v.regions[i.Searcher]
		if !ok {
			continue
		}
		for _, shard := range shardsOf(i) {
			if counts[shard] == nil {
				counts[shard] = make(map[Region]int)
			}
			counts[shard][region]++
		}
	}
	byShard := make(map[hysservice.ShardID]Region, len(counts))
	for shard, regions := range counts {
		byShard[shard] = mostFrequent(regions)
	}
	return byShard
}

// shardsOf returns the shards that a searcher holds in any epoch, each once.
func shardsOf(i Info) []hysservice.ShardID {
	shards := make([]hysservice.ShardID, 0, len(i.Holdings))
	for _, h := range i.Holdings {
		shards = append(shards, h.Shard)
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// mostFrequent returns the region with the highest count, the first by name
// among equals.
func mostFrequent(counts map[Region]int) Region {
	var best Region
	for region, n := range counts {
		if n > counts[best] || (n == counts[best] && region < best) {
			best = region
		}
	}
	return best
}

func copyInstances(members []*Instance) Instances {
	copied := make(Instances, 0, len(members))
	for _, m := range members {
		copied = append(copied, *m)
	}
	return copied
}
