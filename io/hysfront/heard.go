package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
)

// heardDelay is how long a daemon that has heard of a newer configuration waits for it to
// come by the usual way.
const heardDelay = 100 * time.Millisecond

// heardOf is called when another daemon has answered for this one by a configuration. If
// that is newer and does not come by the usual way, it is requested from there: callers
// would otherwise be served by the newer and by the older one in turn.
func (f *Front) heardOf(version hysroute.Version, from hysmember.Instance) {
	if !f.isNewer(version) || !f.heardScheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(heardDelay, func() {
		defer f.heardScheduled.Store(false)
		if !f.isNewer(version) {
			return
		}
		_, err := f.pullFrom(context.Background(), from, pull{maxAge: maxUpdateAge})
		f.log.Info("newer configuration heard of", "version", version, "from", from.ID, "error", err)
	})
}

// isNewer reports whether a configuration is newer than the one in force.
func (f *Front) isNewer(version hysroute.Version) bool {
	current := f.configuration()
	return current == nil || version > current.Version
}
