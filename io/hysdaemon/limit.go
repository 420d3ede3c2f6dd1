package hysdaemon

import (
	"time"

	"hyssopshore/core/hyslimit"
	"hyssopshore/io/hyspermit"
)

// listSpreadTime is the time within which all daemons know a change of the list: one may
// miss a read of it.
const listSpreadTime = 2 * listInterval

// newPermits returns the keeper of this daemon's permits.
func (d *Daemon) newPermits() *hyspermit.Keeper {
	return &hyspermit.Keeper{
		Self: d.settings.Instance, Ranking: hyslimit.NewRanking(listSpreadTime), Allocator: hyslimit.NewAllocator(hyslimit.WithClock(time.Now)),
		Declines: d.leaving.Load, Asks: d.dispatcher.LimitAsks, Apply: d.dispatcher.ApplyGrant, Call: d.peers.Permits, Log: d.log,
	}
}
