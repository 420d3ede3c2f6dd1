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
			return d.refusalIsCrash(ctx, s)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
	return false
}

// refusalConfirmTime is the time after a refused connection within which this instance
// finds out whether it reaches any searcher.
const refusalConfirmTime = 400 * time.Millisecond

// refusalIsCrash reports whether a refused connection shows that the searcher has
// crashed: not if no searcher of its service is in reach, since then this instance may be
// cut off.
func (d *Daemon) refusalIsCrash(ctx context.Context, s hysmember.Searcher) bool {
	select {
	case <-ctx.Done():
	case <-time.After(refusalConfirmTime):
	}
	return !d.prober.Tracker.Lost(s.Service)
}
