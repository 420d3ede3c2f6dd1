package hyslimit

import (
	"math/rand/v2"
	"time"
)

// ownSlotSpan is how long an own send may be made once it is due. Sends that were
// saved up by many idle instances would exceed the limit if all were made at the same
// time.
const ownSlotSpan = time.Second

// ownPart is the part of a limit that an instance may use while no allocator answers
// it: one send within each interval, at times that differ between the instances.
type ownPart struct {
	interval time.Duration
	// next is when the next send is due, if interval is not 0.
	next time.Time
}

// setRate changes the rate. The next send is due at a random time within the first
// interval of a lower rate. A higher rate only brings it forward.
func (o *ownPart) setRate(now time.Time, r Rate) {
	interval := r.interval()
	if interval == o.interval {
		return
	}
	due := now.Add(time.Duration(rand.Float64() * float64(interval)))
	if interval > o.interval || due.Before(o.next) {
		o.next = due
	}
	o.interval = interval
}

// nextAt returns the time of the next send, in the past if it may be made now.
func (o *ownPart) nextAt(now time.Time) time.Time {
	if o.interval == 0 {
		return now.Add(maxInterval)
	}
	if missed := now.Sub(o.next) - ownSlotSpan; missed >= 0 {
		o.next = o.next.Add(o.interval * (missed/o.interval + 1))
	}
	return o.next
}

// take uses the send that is due.
func (o *ownPart) take(now time.Time) {
	o.next = later(now, o.next).Add(o.interval)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
