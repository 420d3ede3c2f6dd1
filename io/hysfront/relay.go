package hysfront

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysrelay"
)

// Reasons why other daemons told nothing.
const (
	errNoNewer = errors.ConstError("no other instance has a newer view")
	errNobody  = errors.ConstError("no other instance is known")
)

// Rhythm and bounds of asking other daemons.
const (
	relayInterval = 400 * time.Millisecond
	// firstRelayInterval is that of a daemon without any configuration.
	firstRelayInterval = 100 * time.Millisecond
	// maxViewAge is how old the view of another daemon may be. An older one is
	// of a daemon that the store does not serve either.
	maxViewAge = 3 * time.Second
	// askedInstances is how many daemons are asked in one round.
	askedInstances = 3
)

// view is what this daemon has learned, for others.
func (f *Front) view() hysrelay.View {
	c := f.newest.Load()
	if c == nil {
		return hysrelay.View{}
	}
	return hysrelay.View{
		Revision: hysmember.Revision(f.revision.Load()), Age: f.store.age(),
		Configuration: c.Raw, ConfigurationRevision: c.Revision, Entries: f.directory.Entries(),
	}
}

// relay asks other daemons for what the store does not tell this one.
func (f *Front) relay(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, f.relayPause()) {
		if !f.store.isLost() && f.state.Load() != nil {
			continue
		}
		err := f.askOthers(ctx)
		switch {
		case err == nil || errors.Is(err, errNoNewer):
			if away, ok := f.others.regain(); ok {
				f.log.Info("other instances reached", "away", away)
			}
		case f.others.lose():
			f.log.Warn("no other instance reached", "error", err)
		}
	}
}

// relayPause is the time until others are asked again.
func (f *Front) relayPause() time.Duration {
	if f.state.Load() == nil {
		return firstRelayInterval
	}
	return relayInterval
}

// askOthers takes the newest view over that some other daemons have.
func (f *Front) askOthers(ctx context.Context) error {
	peers := f.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	last := fmt.Errorf("askOthers: %w", errNobody)
	for _, address := range peers[:min(len(peers), askedInstances)] {
		v, err := f.relayed.View(ctx, address, hysmember.Revision(f.revision.Load()))
		if err != nil {
			last = fmt.Errorf("askOthers: %w", err)
			continue
		}
		if v.Revision > 0 && v.Age <= maxViewAge {
			return f.adopt(address, v)
		}
		last = fmt.Errorf("askOthers: %w", errNoNewer)
	}
	return last
}

// peers are the other daemons that the store has named.
func (f *Front) peers() []hysmember.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.announced), func(a hysmember.Address) bool { return a == f.settings.PeerAddress })
}

// adopt takes the view of another daemon over.
func (f *Front) adopt(from hysmember.Address, v hysrelay.View) error {
	c, err := f.source.Decode(v.Configuration)
	if err != nil {
		return fmt.Errorf("adopt the view of %s: %w", from, err)
	}
	c.Revision = v.ConfigurationRevision
	f.log.Info("view taken from another instance", "address", from, "revision", v.Revision, "age-ms", v.Age.Milliseconds())
	changes := f.directory.Adopt(v.Entries, v.Revision)
	f.listed.Store(true)
	f.noteChanges(changes)
	f.configure(c)
	f.revision.Store(int64(v.Revision))
	return nil
}
