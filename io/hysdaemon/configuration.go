package hysdaemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
)

// watchersPerZone is the number of daemons of an availability zone that watch
// the store. The others get changes from their peers.
const watchersPerZone = 2

// minPeerConfigurations is the number of peers whose configuration a daemon
// merges before it accepts requests, or of all usable peers if they are fewer.
const minPeerConfigurations = 3

// Timeout and interval of a ticket's wait for the configurations of the peers. A
// ticket is applied after the timeout even if some are missing.
const (
	peersTimeout      = 3 * time.Second
	peersPollInterval = 20 * time.Millisecond
)

// historyTimeout bounds a read of the audit trail.
const historyTimeout = 5 * time.Second

// mergedPeers is the set of peers whose configuration has been merged. It is
// safe for concurrent use.
type mergedPeers struct {
	mu     sync.Mutex
	merged map[hysmember.InstanceID]bool
}

func (p *mergedPeers) add(id hysmember.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.merged == nil {
		p.merged = make(map[hysmember.InstanceID]bool)
	}
	p.merged[id] = true
}

func (p *mergedPeers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.merged)
}

// isWatcher reports whether this instance is one of the watchers of its zone. It
// is derived from the list of usable instances; no agreement is needed.
// Instances with different lists cause some additional calls to the store, but
// no other harm.
func (d *Daemon) isWatcher() bool {
	var zone hysmember.Instances
	for _, i := range d.view.Usable() {
		if i.Zone == d.settings.Zone {
			zone = append(zone, i)
		}
	}
	ranked := hysmember.Rank(zone, "configuration", "")
	for _, i := range ranked[:min(watchersPerZone, len(ranked))] {
		if i.ID == d.settings.Instance {
			return true
		}
	}
	return len(ranked) == 0
}

// configured reports whether the configuration is complete enough to accept
// requests. Reading the store isn't sufficient, since it may have been restored
// from a backup. If the store hasn't been read, the configuration of at least
// one peer must have been merged.
func (d *Daemon) configured() bool {
	heard := d.mergedPeers.count()
	if heard < min(minPeerConfigurations, d.usableOthers()) {
		return false
	}
	return heard > 0 || !d.keeper.Synced().IsZero()
}

func (d *Daemon) usableOthers() int {
	others := 0
	for _, i := range d.view.Usable() {
		if i.ID != d.settings.Instance {
			others++
		}
	}
	return others
}

// apply applies a ticket after the configurations of enough peers have been
// merged, since peers may have tickets that a restored store has lost.
func (d *Daemon) apply(ctx context.Context, t hysticket.Ticket) (hysticket.Result, error) {
	wait, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	for d.mergedPeers.count() < min(minPeerConfigurations, d.usableOthers()) && wait.Err() == nil {
		time.Sleep(peersPollInterval)
	}
	result, err := d.keeper.Apply(ctx, t)
	if err != nil {
		return result, fmt.Errorf("Daemon.apply: %w", err)
	}
	return result, nil
}

// history returns the audit trail, or only its newest part if the store can't be
// read.
func (d *Daemon) history() hysticket.Log {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	// After an error the trail is the part that is held in memory.
	trail, _ := d.keeper.History(ctx)
	return trail
}
