package hysfront

import (
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// knowledge is up to which revision of the store this daemon knows everything,
// and as of when that was all. A store that answers tells nothing of the latter:
// it may have more to tell than it tells at once. It is safe for concurrent use.
type knowledge struct {
	mu       sync.Mutex
	revision hysmember.Revision
	asOf     time.Time
}

// raise notes that everything up to a revision is known.
func (k *knowledge) raise(revision hysmember.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, revision)
}

// complete notes that there was no more to know at a time.
func (k *knowledge) complete(asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if asOf.After(k.asOf) {
		k.asOf = asOf
	}
}

func (k *knowledge) upTo() hysmember.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// age is how long ago there was no more to know.
func (k *knowledge) age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.asOf)
}
