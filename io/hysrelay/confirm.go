package hysrelay

import (
	"math/rand/v2"
	"sync"

	"hyssopshore/core/hysdispatch"
)

// callNumber identifies a call of a daemon, so that it can confirm later that it knows the
// call to be accepted. 0 stands for a call that is not confirmed.
type callNumber uint64

// newCallNumber returns a number that no other daemon is expected to use either.
func newCallNumber() callNumber { return callNumber(rand.Uint64() | 1) }

// numberForAttempts returns the number of a call that may use some attempts: none for a
// single one, which needs no confirmation.
func numberForAttempts(attempts int) callNumber {
	if attempts <= 1 {
		return 0
	}
	return newCallNumber()
}

// numberForParts returns the number of a call with some sub-requests.
func numberForParts(subs []hysdispatch.SubRequest) callNumber {
	attempts := 0
	for _, sub := range subs {
		attempts = max(attempts, sub.MaxRuns)
	}
	return numberForAttempts(attempts)
}

// confirmations holds the calls of other daemons that are not confirmed yet. It is safe for
// concurrent use.
type confirmations struct {
	mu      sync.Mutex
	pending map[callNumber]chan struct{}
}

// expect returns the confirmation of a call, nil without a number, and a function that must
// be called at the end of the call.
func (c *confirmations) expect(number callNumber) (confirmed hysdispatch.Confirmation, end func()) {
	if number == 0 {
		return nil, func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	signal := make(chan struct{})
	c.pending[number] = signal
	return signal, func() { c.remove(number, signal) }
}

func (c *confirmations) remove(number callNumber, signal chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[number] == signal {
		delete(c.pending, number)
	}
}

// confirm records that the sender of a call knows it to be accepted.
func (c *confirmations) confirm(number callNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if signal, ok := c.pending[number]; ok {
		delete(c.pending, number)
		close(signal)
	}
}
