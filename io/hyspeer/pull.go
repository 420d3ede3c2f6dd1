package hyspeer

import (
	"context"
	"fmt"
	"sync"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
)

// pull merges the configuration of a peer if it may know more, and calls
// Learned once all that it knows is merged. Of two daemons the one whose newest
// ticket is older pulls first; afterwards the other one sees what it lacks.
// One pull runs at a time.
func (e *Exchanger) pull(ctx context.Context, to hysmember.Instance, ticket uint64, digest string) {
	state := e.State()
	if digest != string(state.Digest()) {
		if ticket < uint64(state.HighestNumber()) || !e.pulling.TryLock() {
			return
		}
		defer e.pulling.Unlock()
		theirs, err := e.Configuration(ctx, to)
		if err != nil {
			return
		}
		e.MergeState(theirs)
	}
	if e.OnConfigurationMerged != nil {
		e.OnConfigurationMerged(to.ID)
	}
}

// encodings keeps the encoded form of the last state that was asked for: many
// peers ask for the same one.
type encodings struct {
	mu     sync.Mutex
	digest hysticket.Digest
	data   []byte
}

func (e *encodings) encode(state hysticket.State) ([]byte, error) {
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
