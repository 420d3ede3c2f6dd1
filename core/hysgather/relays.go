package hysgather

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// maxPicks bounds the random picks in a tier before all of its instances are looked at.
const maxPicks = 8

// Relays selects the instances that run sub-requests for one that can't reach their
// searchers. It is made for a load that moves all at once, when an instance loses its
// searchers: near instances are preferred, those with a larger processor share get
// more, and no order is common to all, so that they don't all choose the same one. An
// instance that declines, or is silent, gets nothing for a while; one that can't reach
// a service either gets nothing of that service. It is safe for concurrent use.
type Relays struct {
	now func() time.Time

	mu sync.Mutex
	// tiers are the other instances, the nearest first.
	tiers    []relayTier
	backoffs map[relayKey]relayBackoff
	// lastResortAt is when an instance was last picked in spite of its backoff.
	lastResortAt time.Time
	// unlisted are the instances that are gone from the list, the latest last. One may
	// live: its announcement was lost, or the list is not up to date.
	unlisted hysmember.Instances
}

// maxUnlisted bounds the instances that are remembered though the list lacks them.
const maxUnlisted = 64

// relayBackoff is the backoff of an instance, and how long it is.
type relayBackoff struct {
	until time.Time
	span  time.Duration
}

// Backoff of an instance that did not run something. It doubles with each further time,
// until the instance has answered or has not been asked for a while.
const (
	minRelayBackoff = 250 * time.Millisecond
	maxRelayBackoff = 3 * time.Second
)

// relayKey identifies what an instance does not run: the sub-requests of a service, or
// all without one.
type relayKey struct {
	instance hysmember.InstanceID
	service  hysservice.Name
}

// relayTier holds the instances at the same distance.
type relayTier struct {
	instances hysmember.Instances
	// shares holds the sum of the processor shares up to each instance.
	shares []float64
}

// NewRelays returns a Relays without instances.
func NewRelays(now func() time.Time) *Relays {
	return &Relays{now: now, backoffs: make(map[relayKey]relayBackoff)}
}

// defaultProcessorShare stands for a processor share that is not known.
const defaultProcessorShare = 1.0

// SetInstances replaces the instances, from which self is left out. Those that the list
// lacks from now on are remembered until they refuse a connection.
func (r *Relays) SetInstances(self hysmember.Instance, all hysmember.Instances) {
	tiers := make([]relayTier, 3)
	for _, i := range all {
		if i.ID == self.ID || i.Address == "" || i.Leaving {
			continue
		}
		t := &tiers[2]
		switch {
		case i.Zone == self.Zone:
			t = &tiers[0]
		case i.Region == self.Region:
			t = &tiers[1]
		}
		t.add(i)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(all)
	r.tiers = tiers
}

// remember keeps the instances that a new list lacks. The caller holds mu.
func (r *Relays) remember(listed hysmember.Instances) {
	known := make(map[hysmember.InstanceID]bool, len(listed))
	for _, i := range listed {
		known[i.ID] = true
	}
	for _, t := range r.tiers {
		r.unlisted = append(r.unlisted, t.instances...)
	}
	r.unlisted = slices.DeleteFunc(r.unlisted, func(i hysmember.Instance) bool { return known[i.ID] })
	r.unlisted = r.unlisted[max(len(r.unlisted)-maxUnlisted, 0):]
}

func (t *relayTier) add(i hysmember.Instance) {
	share := i.ProcessorShare
	if share <= 0 {
		share = defaultProcessorShare
	}
	if len(t.shares) > 0 {
		share += t.shares[len(t.shares)-1]
	}
	t.instances, t.shares = append(t.instances, i), append(t.shares, share)
}

// Pick returns the instance to which sub-requests of a service go, or whole queries
// without one. Those in excluded were asked already. If all others back off, one of them
// is picked now and then: it may have been restarted, or have its searchers again. Pick
// returns false if there is none.
func (r *Relays) Pick(service hysservice.Name, excluded hysmember.Instances) (hysmember.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tiers {
		if i, ok := r.pickFrom(t, service, excluded); ok {
			return i, true
		}
	}
	if i, ok := r.pickUnlisted(service, excluded); ok {
		return i, true
	}
	return r.lastResort(excluded)
}

// pickUnlisted returns an instance that is gone from the list.
func (r *Relays) pickUnlisted(service hysservice.Name, excluded hysmember.Instances) (hysmember.Instance, bool) {
	for _, n := range rand.Perm(len(r.unlisted)) {
		if i := r.unlisted[n]; r.available(i, service, excluded) {
			return i, true
		}
	}
	return hysmember.Instance{}, false
}

// lastResort returns any instance that was not asked, at most one each minRelayBackoff.
func (r *Relays) lastResort(excluded hysmember.Instances) (hysmember.Instance, bool) {
	now := r.now()
	if now.Sub(r.lastResortAt) < minRelayBackoff {
		return hysmember.Instance{}, false
	}
	var all hysmember.Instances
	for _, t := range r.tiers {
		all = append(all, t.instances...)
	}
	for _, n := range rand.Perm(len(all)) {
		if !excluded.Contains(all[n].ID) {
			r.lastResortAt = now
			return all[n], true
		}
	}
	return hysmember.Instance{}, false
}

func (r *Relays) pickFrom(t relayTier, service hysservice.Name, excluded hysmember.Instances) (hysmember.Instance, bool) {
	if len(t.instances) == 0 {
		return hysmember.Instance{}, false
	}
	total := t.shares[len(t.shares)-1]
	for range min(maxPicks, 2*len(t.instances)) {
		if i := t.at(rand.Float64() * total); r.available(i, service, excluded) {
			return i, true
		}
	}
	start := rand.IntN(len(t.instances))
	for n := range t.instances {
		if i := t.instances[(start+n)%len(t.instances)]; r.available(i, service, excluded) {
			return i, true
		}
	}
	return hysmember.Instance{}, false
}

// at returns the instance at a place in the sum of the shares.
func (t *relayTier) at(place float64) hysmember.Instance {
	low, high := 0, len(t.shares)-1
	for low < high {
		middle := (low + high) / 2
		if t.shares[middle] > place {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return t.instances[low]
}

func (r *Relays) available(i hysmember.Instance, service hysservice.Name, excluded hysmember.Instances) bool {
	return !excluded.Contains(i.ID) && !r.backingOff(relayKey{instance: i.ID}) && !r.backingOff(relayKey{instance: i.ID, service: service})
}

func (r *Relays) backingOff(key relayKey) bool {
	b, ok := r.backoffs[key]
	return ok && r.now().Before(b.until)
}

// expire removes the backoffs that were over for a while.
func (r *Relays) expire() {
	oldest := r.now().Add(-maxRelayBackoff)
	maps.DeleteFunc(r.backoffs, func(_ relayKey, b relayBackoff) bool { return b.until.Before(oldest) })
}

// Record records how the request to run a sub-request of a service, or anything without
// one, has ended at an instance. retryAfter is for how long one that declined says that
// it accepts nothing.
func (r *Relays) Record(id hysmember.InstanceID, service hysservice.Name, e DelegationEnd, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := relayKey{instance: id, service: service}
	if e == DelegationNotUnderstood {
		return
	}
	if e == DelegationRefused {
		r.unlisted = slices.DeleteFunc(r.unlisted, func(i hysmember.Instance) bool { return i.ID == id })
	}
	if e == DelegationAnswered {
		delete(r.backoffs, key)
		return
	}
	if r.backingOff(key) {
		// Several were in flight.
		return
	}
	span := min(max(2*r.backoffs[key].span, minRelayBackoff, retryAfter), maxRelayBackoff)
	r.expire()
	r.backoffs[key] = relayBackoff{until: r.now().Add(span), span: span}
}
