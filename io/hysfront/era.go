package hysfront

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
)

// Timing of what follows when the store has come back from a copy.
const (
	// announceShare is the share of the store's writes that all daemons together use to
	// announce themselves again, announceWrites the writes that one needs.
	announceShare  = 0.25
	announceWrites = 2
	// settleMargin is how long after the last daemon has announced itself the list of
	// the daemons may still be read as it was before.
	settleMargin = renewInterval + 3*time.Second
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
	ctx, cancel := context.WithCancel(ctx)
	current, changed := f.eras.Changed()
	if current != era {
		cancel()
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// logEraProblem logs an answer whose era can't be used. The last valid one stands.
func (f *Front) logEraProblem(err error) {
	f.log.Warn("era of the store not usable", "known", f.eras.Current(), "error", err)
}

// announceSpread returns the time over which all daemons announce themselves again.
func (f *Front) announceSpread() time.Duration {
	rate := announceShare * f.settings.WritesPerSecond
	return time.Duration(float64(announceWrites*f.instanceCount.Load()) / rate * float64(time.Second))
}

// announceDelay returns a random part of announceSpread.
func (f *Front) announceDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(f.announceSpread()))
}

// withUnlisted adds the daemons that were announced before the store came back from a
// copy and may not have announced themselves again yet. A list that lacks them would let
// each daemon take a larger share of what all use together. The caller holds mu.
func (f *Front) withUnlisted(instances hysmember.Instances) hysmember.Instances {
	if !time.Now().Before(f.listSettlesAt) {
		return instances
	}
	all := append(hysmember.Instances{}, instances...)
	for _, i := range f.announced {
		if !instances.Contains(i.ID) {
			all = append(all, i)
		}
	}
	return all
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

// keepEvidence keeps a record that this daemon writes to the store, and drops those
// that have expired.
func (f *Front) keepEvidence(r hysquarantine.Record, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, known := range f.ownEvidence {
		if known.Expires.Before(now) {
			delete(f.ownEvidence, key)
		}
	}
	if _, ok := f.ownEvidence[r.Key]; ok || len(f.ownEvidence) < maxOwnEvidence {
		f.ownEvidence[r.Key] = r
	}
}

// rewriteEvidence queues the records of this daemon to be written again.
func (f *Front) rewriteEvidence(now time.Time) {
	f.mu.Lock()
	var records hysquarantine.Records
	for _, r := range f.ownEvidence {
		if r.Expires.After(now) {
			records = append(records, r)
		}
	}
	f.mu.Unlock()
	for _, r := range records {
		f.enqueueEvidence(r)
	}
	if len(records) > 0 {
		f.log.Info("crash evidence to be written again", "count", len(records))
	}
}
