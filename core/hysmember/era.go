package hysmember

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// Errors of an era that an answer of the store states.
const (
	// ErrEraMissing means that an answer states no era though earlier ones did.
	ErrEraMissing = errors.ConstError("the answer states no era")
	// ErrEraInvalid means that an answer states no whole number above 0.
	ErrEraInvalid = errors.ConstError("the era is not a whole number above 0")
	// ErrEarlierEra means that an answer is of an earlier era than others.
	ErrEarlierEra = errors.ConstError("the answer is of an earlier era")
)

// Eras follows the era of the store by what its answers and other instances say. The
// last valid one stands until a higher one is stated. A store that has stated none is
// in era 0. It is safe for concurrent use.
type Eras struct {
	// Problem is called with the error of an answer's era, if it is set.
	Problem func(error)

	mu      sync.Mutex
	current Era
	// changed is closed at the next change.
	changed chan struct{}
}

// NewEras returns the eras of a store that has stated none.
func NewEras() *Eras { return &Eras{changed: make(chan struct{})} }

// Current returns the era that is known.
func (e *Eras) Current() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Changed returns the era that is known, and a channel that is closed when there is
// another one.
func (e *Eras) Changed() (Era, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.changed
}

// Raise records that an era has begun, and reports whether that was new.
func (e *Eras) Raise(era Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current {
		return false
	}
	e.current = era
	close(e.changed)
	e.changed = make(chan struct{})
	return true
}

// Observe records the era that an answer states, in decimal, and returns the era of the
// answer. One that states none, or no valid one, passes for one of the known era. The
// error is ErrEarlierEra if the answer was overtaken, and must not be used.
func (e *Eras) Observe(stated string) (Era, error) {
	era, err := e.parse(stated)
	if err == nil && era < e.Current() {
		err = fmt.Errorf("era %d, known is %d: %w", era, e.Current(), ErrEarlierEra)
	}
	if err != nil && e.Problem != nil {
		e.Problem(err)
	}
	if errors.Is(err, ErrEarlierEra) {
		return era, err
	}
	e.Raise(era)
	return era, nil
}

// parse returns the era that an answer states, or the known one and an error.
func (e *Eras) parse(stated string) (Era, error) {
	known := e.Current()
	if stated == "" && known == 0 {
		return 0, nil
	}
	if stated == "" {
		return known, ErrEraMissing
	}
	number, err := strconv.ParseInt(stated, 10, 64)
	if err != nil || number < 1 {
		return known, fmt.Errorf("era %q: %w", stated, ErrEraInvalid)
	}
	return Era(number), nil
}
