package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Timing of the platform's readiness checks.
const (
	readinessInterval = time.Second
	maxMisses         = 2
)

// VIP is the platform's address for callers of one zone. It picks a daemon for each new
// connection, by the readiness of the daemons.
type VIP struct {
	mu     sync.Mutex
	fronts []*Front
	misses []int
}

// NewVIP returns an address before some daemons and checks them until the case ends.
func NewVIP(fronts []*Front) *VIP {
	v := &VIP{fronts: fronts, misses: make([]int, len(fronts))}
	for n, f := range fronts {
		go func() {
			for ; ; time.Sleep(readinessInterval) {
				ready := f.IsReady()
				v.mu.Lock()
				v.misses[n]++
				if ready {
					v.misses[n] = 0
				}
				v.mu.Unlock()
			}
		}()
	}
	return v
}

// Pick returns a daemon in rotation, or any one if fewer than half are.
func (v *VIP) Pick() *Front {
	v.mu.Lock()
	defer v.mu.Unlock()
	var in []*Front
	for n, f := range v.fronts {
		if v.misses[n] < maxMisses {
			in = append(in, f)
		}
	}
	if 2*len(in) < len(v.fronts) {
		in = v.fronts
	}
	return in[rand.IntN(len(in))]
}
