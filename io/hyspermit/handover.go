package hyspermit

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
)

// askPredecessors asks those that may still hand out permits of a group whether they do,
// in the background, since this instance has become the first in rank.
func (k *Keeper) askPredecessors(group hyslimit.Group) {
	now := time.Now()
	k.mu.Lock()
	due := now.Sub(k.predecessorsAskedAt[group]) >= retryInterval
	if due {
		k.predecessorsAskedAt[group] = now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	for _, predecessor := range k.Ranking.Predecessors(k.Self, group) {
		go k.askPredecessor(predecessor, group)
	}
}

// askPredecessor asks one of them for nothing. One that declines knows that it is not the
// allocator any more, and where no process listens there is none.
func (k *Keeper) askPredecessor(predecessor hysmember.Instance, group hyslimit.Group) {
	_, err := k.call(context.Background(), predecessor, Request{Group: group})
	if !errors.Is(err, ErrDeclined) && !errors.Is(err, unix.ECONNREFUSED) {
		return
	}
	k.Ranking.Silence(predecessor.ID, group)
	k.Log.Info("allocator of rate limits has handed over", "region", group.Region, "group", group.Number,
		"allocator", predecessor.ID, "error", err)
}
