package hysmember

import (
	"cmp"
	"slices"
	"sync"

	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// Info is what a searcher has reported about itself.
type Info struct {
	Searcher SearcherID
	Service  hysservice.Name
	// Incarnation is higher after each start of the searcher.
	Incarnation uint64
	Draining    bool
	Holdings    []hyssnapshot.Holding
}

// Infos keeps the newest info of each searcher, by service. Infos may arrive in
// any order and more than once. It is safe for concurrent use.
type Infos struct {
	mu       sync.Mutex
	known    map[SearcherID]Info
	services map[hysservice.Name]*serviceInfos
}

// serviceInfos lists the searchers of one service that have an info.
type serviceInfos struct {
	searchers map[SearcherID]bool
	// changes counts the changes, so that derived state can be kept until the
	// next one.
	changes Changes
}

// Changes counts the changes of the infos of a service.
type Changes uint64

// NewInfos returns an Infos without any info.
func NewInfos() *Infos {
	return &Infos{known: make(map[SearcherID]Info), services: make(map[hysservice.Name]*serviceInfos)}
}

// Merge keeps an info if it is newer than the known one, and reports whether it
// is.
func (t *Infos) Merge(i Info) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.known[i.Searcher]
	if ok && compareInfo(i, known) <= 0 {
		return false
	}
	if ok && known.Service != i.Service {
		t.remove(known)
	}
	t.known[i.Searcher] = i
	s := t.service(i.Service)
	s.searchers[i.Searcher] = true
	s.changes++
	return true
}

// Retain removes the searchers for which keep returns false.
func (t *Infos) Retain(keep func(SearcherID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, i := range t.known {
		if !keep(id) {
			delete(t.known, id)
			t.remove(i)
		}
	}
}

// Get returns the info of a searcher, and false if there is none.
func (t *Infos) Get(id SearcherID) (Info, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.known[id]
	return i, ok
}

// Service returns the infos of the searchers of a service, in no particular
// order.
func (t *Infos) Service(name hysservice.Name) []Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	infos := make([]Info, 0, len(s.searchers))
	for id := range s.searchers {
		infos = append(infos, t.known[id])
	}
	return infos
}

// Changes returns how often the infos of a service have changed.
func (t *Infos) Changes(name hysservice.Name) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name).changes
}

func (t *Infos) service(name hysservice.Name) *serviceInfos {
	s, ok := t.services[name]
	if !ok {
		s = &serviceInfos{searchers: make(map[SearcherID]bool)}
		t.services[name] = s
	}
	return s
}

func (t *Infos) remove(i Info) {
	s := t.service(i.Service)
	delete(s.searchers, i.Searcher)
	s.changes++
}

// compareInfo orders the infos of one searcher by age. What a searcher serves
// only advances within one incarnation, so that no clock is needed.
func compareInfo(a, b Info) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		compareBool(a.Draining, b.Draining),
		compareHoldings(a.Holdings, b.Holdings),
		compareContent(a, b),
	)
}

// compareContent orders infos of the same age that are not equal, so that all
// instances keep the same one.
func compareContent(a, b Info) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		slices.CompareFunc(a.Holdings, b.Holdings, func(a, b hyssnapshot.Holding) int {
			return cmp.Or(
				cmp.Compare(a.Epoch, b.Epoch),
				cmp.Compare(a.Shard, b.Shard),
				cmp.Compare(a.From, b.From),
				cmp.Compare(a.To, b.To),
				slices.Compare(a.Versions, b.Versions),
			)
		}),
	)
}

func compareHoldings(a, b []hyssnapshot.Holding) int {
	aEpoch, aNewest, aOldest := extent(a)
	bEpoch, bNewest, bOldest := extent(b)
	return cmp.Or(
		cmp.Compare(aEpoch, bEpoch),
		cmp.Compare(aNewest, bNewest),
		cmp.Compare(aOldest, bOldest),
	)
}

// extent returns the sum of the epochs, and the newest and the oldest version.
func extent(holdings []hyssnapshot.Holding) (epoch, newest, oldest uint64) {
	oldest = ^uint64(0)
	for _, h := range holdings {
		epoch += uint64(h.Epoch)
		for _, v := range h.Versions {
			newest = max(newest, uint64(v))
			oldest = min(oldest, uint64(v))
		}
	}
	return epoch, newest, oldest
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
