package hysdaemon

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
)

// probePause is the pause between two probes of a searcher.
const probePause = 20 * time.Millisecond

// incarnation returns the last known incarnation of a searcher, or 0.
func (d *Daemon) incarnation(id hysmember.SearcherID) uint64 {
	info, _ := d.view.Info(id)
	return info.Incarnation
}

// lift lifts the quarantine of a request; peers and the store get the change from
// the registry.
func (d *Daemon) lift(key hysquarantine.Key, crashes ...hysquarantine.Crash) bool {
	lifted := d.registry.Lift(key, crashes...)
	if lifted {
		d.log.Info("quarantine lifted", "service", key.Service, "fingerprint", key.Fingerprint)
	}
	return lifted
}

// crashed reports whether an incarnation of a searcher has crashed: a later one
// runs, or the connection is refused. It probes until the context ends; a
// searcher that hasn't responded by then doesn't count as crashed.
func (d *Daemon) crashed(ctx context.Context, s hysmember.Searcher, incarnation uint64) bool {
	for ctx.Err() == nil {
		info, err := d.searchers.Info(ctx, s)
		if err == nil {
			return info.Incarnation > incarnation
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
	return false
}
