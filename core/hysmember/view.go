package hysmember

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// MaxDispatchers is how many instances Dispatchers returns for a shard at most.
const MaxDispatchers = 8

// spareDispatchers of them are of other regions.
const spareDispatchers = 2

// ObserversPerSearcher is how many instances ask each searcher what it holds.
const ObserversPerSearcher = 2

// usableInterval is how long the set of usable instances is kept.
const usableInterval = 50 * time.Millisecond

// View is what this instance knows of all others and of the searchers. What is
// derived from it is kept until a change touches it. It is safe for concurrent
// use. Lock order: View.mu, then what isUsable locks, then Infos.mu.
type View struct {
	mu    sync.Mutex
	now   func() time.Time
	infos *Infos
	// isUsable reports whether a listed instance may get work.
	isUsable func(InstanceID) bool

	list      List
	listed    uint64
	interned  map[InstanceID]*Instance
	regions   map[SearcherID]Region
	searchers map[hysservice.Name]Searchers

	usable   []*Instance
	usableAt time.Time
	ranking  *ranking
	shards   *owners
	observed *owners
	mine     Searchers
	mineAt   observedKey
	services map[hysservice.Name]*serviceView
}

// observedKey tells what the last result of Observed was made from.
type observedKey struct {
	instance InstanceID
	listed   uint64
	ranking  *ranking
}

// serviceView is what is derived from the infos of one service.
type serviceView struct {
	listed   uint64
	changes  Changes
	homes    map[hysservice.ShardID]Region
	shardMap hyssnapshot.Map
	complete bool
}

// ViewOption changes a View.
type ViewOption func(*View)

// WithClock replaces the clock.
func WithClock(now func() time.Time) ViewOption {
	return func(v *View) { v.now = now }
}

// NewView returns a view without members.
func NewView(usable func(InstanceID) bool, options ...ViewOption) *View {
	v := &View{
		now: time.Now, infos: NewInfos(), isUsable: usable,
		interned: make(map[InstanceID]*Instance),
		ranking:  newRanking(nil),
		shards:   newOwners(MaxDispatchers, spareDispatchers),
		observed: newOwners(ObserversPerSearcher, 0),
		services: make(map[hysservice.Name]*serviceView),
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// SetList takes in the platform's instance list.
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

func (v *View) indexSearchers(searchers Searchers) {
	v.listed++
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

// List returns the instance list as last taken in.
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

// Listed reports whether the list names an instance.
func (v *View) Listed(id InstanceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.interned[id]
	return ok
}

// Merge takes in what a listed searcher told about itself. It reports whether
// that was news. What others still tell of a searcher that the list no longer
// names is not taken in, or daemons would remind each other of it for ever.
func (v *View) Merge(i Info) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.regions[i.Searcher]; !ok {
		return false
	}
	return v.infos.Merge(i)
}

// Info returns what a searcher told about itself.
func (v *View) Info(id SearcherID) (Info, bool) { return v.infos.Get(id) }

// Usable returns the instances that may get work.
func (v *View) Usable() Instances {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	return copyInstances(v.usable)
}

// refresh finds the usable instances again after a new list or a while. The
// caller holds mu.
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
	v.shards.apply(c)
	v.observed.apply(c)
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

// Dispatchers returns the first instances for a shard, the dispatcher first.
func (v *View) Dispatchers(service hysservice.Name, shard hysservice.ShardID) Instances {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	home := v.service(service).homes[shard]
	return copyInstances(v.shards.top(v.ranking, ShardKey(service, shard), home))
}

// ShardKey returns the key that a shard's dispatchers are ranked for.
func ShardKey(service hysservice.Name, shard hysservice.ShardID) string {
	return string(service) + "/" + strconv.FormatUint(uint64(shard), 10)
}

// Observed returns the searchers that an instance asks what they hold. The
// caller must not change them.
func (v *View) Observed(id InstanceID) Searchers {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	at := observedKey{instance: id, listed: v.listed, ranking: v.ranking}
	if v.mineAt == at {
		return v.mine
	}
	v.mineAt, v.mine = at, nil
	for _, s := range v.list.Searchers {
		for _, m := range v.observed.top(v.ranking, string(s.ID), s.Region) {
			if m.ID == id {
				v.mine = append(v.mine, s)
			}
		}
	}
	return v.mine
}

// service returns what is derived from the infos of a service, made again if
// they or the list changed. The caller holds mu.
func (v *View) service(name hysservice.Name) *serviceView {
	changes := v.infos.Changes(name)
	known, ok := v.services[name]
	if ok && known.changes == changes && known.listed == v.listed {
		return known
	}
	infos := v.infos.Service(name)
	s := &serviceView{listed: v.listed, changes: changes, homes: v.homes(infos)}
	var holdings []hyssnapshot.Holding
	for _, i := range infos {
		holdings = append(holdings, i.Holdings...)
	}
	s.shardMap, s.complete = hyssnapshot.NewestMap(holdings)
	v.services[name] = s
	return s
}

// homes returns the region of most searchers of each shard.
func (v *View) homes(infos []Info) map[hysservice.ShardID]Region {
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
	homes := make(map[hysservice.ShardID]Region, len(counts))
	for shard, regions := range counts {
		homes[shard] = most(regions)
	}
	return homes
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

// most returns the region with the highest count, the first by name of equals.
func most(counts map[Region]int) Region {
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
