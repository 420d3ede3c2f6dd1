package hyspeer

import (
	"context"
	"fmt"
	"sync"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
)

// pull fetches and merges the configuration of a peer if it may be newer, and
// calls OnConfigurationMerged once everything the peer knows is merged. Of two
// instances the one whose newest ticket is older pulls first; the other one
// then pulls what it lacks. Only one pull runs at a time.
func (e *Exchanger) pull(ctx context.Context, to hysmember.Instance, ticket uint64, digest string) {
	state := e.State()
	if digest != string(state.Digest()) {
		if ticket < uint64(state.HighestNumber()) || !e.pulling.TryLock() {
			return
		}
		defer e.pulling.Unlock()
		received, err := e.Configuration(ctx, to)
		if err != nil {
			return
		}
		e.MergeState(received)
	}
	if e.OnConfigurationMerged != nil {
		e.OnConfigurationMerged(to.ID)
	}
}

// stateEncoding caches the encoded form of the last requested state, because
// many peers request the same one.
type stateEncoding struct {
	mu     sync.Mutex
	digest hysticket.Digest
	data   []byte
}

func (e *stateEncoding) encode(state hysticket.State) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && e.digest == state.Digest() {
		return e.data, nil
	}
	data, err := state.MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	e.digest, e.data = state.Digest(), data
	return data, nil
}
