package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysmember"
)

// observeEra acts on the era that the store's answers or another daemon have shown, if
// it is a new one. It must be called before anything of that era is applied.
func (f *Front) observeEra(era hysmember.Era) {
	f.eras.Raise(era)
	f.mu.Lock()
	current, before := f.eras.Current(), f.era
	f.era = current
	if current == before || before == 0 {
		f.mu.Unlock()
		return
	}
	f.eraBegan = time.Now()
	f.listSettlesAt = f.eraBegan.Add(f.announceSpread() + settleMargin)
	// Nobody may apply a listing of the era before that.
	f.directory.BeginEra(f.eraBegan)
	f.mu.Unlock()
	f.log.Warn("store came back from a copy", "before", before, "era", current,
		"revision", f.storeView.appliedRevision(), "instances", f.instanceCount.Load(), "announces-within", f.announceSpread())
	select {
	case f.announceAgain <- struct{}{}:
	default:
	}
	f.rewriteEvidence(time.Now())
}

// followEras acts on eras that calls show which apply nothing.
func (f *Front) followEras(ctx context.Context) {
	era, changed := f.eras.Changed()
	for ctx.Err() == nil {
		f.observeEra(era)
		select {
		case <-ctx.Done():
		case <-changed:
		}
		era, changed = f.eras.Changed()
	}
}

// untilEraEnds returns a context that ends when the store has begun another era.
func (f *Front) untilEraEnds(ctx context.Context, era hysmember.Era) (context.Context, context.CancelFunc) {
	current, changed := f.eras.Changed()
	ctx, cancel := untilClosed(ctx, changed)
	if current != era {
		cancel()
	}
	return ctx, cancel
}

// logEraProblem logs an answer whose era can't be used. The last valid one stands.
func (f *Front) logEraProblem(err error) {
	f.log.Warn("era of the store not usable", "known", f.eras.Current(), "error", err)
}

// earlierEra reports whether another daemon's state must not be applied, because it is
// of an earlier era than this daemon knows. A daemon of an older release states none. Its
// entries can be used, but not the removals, so that it can't be followed.
func (f *Front) earlierEra(r hysmember.Revision, follows bool) bool {
	return r.Era < f.eras.Current() && (r.Era != 0 || follows)
}

// catchingUp reports whether the store has begun an era so lately that a reader may not
// have read it yet.
func (f *Front) catchingUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.eraBegan) < f.maxReaderAge()
}
