package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hyspermit"
)

// newPermits returns the keeper of this daemon's permits.
func (f *Front) newPermits() *hyspermit.Keeper {
	return &hyspermit.Keeper{
		Self: f.settings.Instance, Ranking: hyslimit.NewRanking(listSpreadTime), Allocator: hyslimit.NewAllocator(hyslimit.WithClock(time.Now)),
		Declines: func() bool { return f.draining.Load() || f.unlisted.Load() },
		Asks:     f.dispatcher.LimitAsks, Apply: f.dispatcher.ApplyGrant, Log: f.log,
		Call: func(ctx context.Context, to hysmember.Instance, r hyspermit.Request) (hyslimit.Grants, error) {
			return f.relayClient.Permits(ctx, to, r)
		},
	}
}
