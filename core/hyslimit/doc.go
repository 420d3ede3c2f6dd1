// Package hyslimit keeps the rate limits that searchers state. A searcher that needs
// relief states in its responses how many requests a second it takes from all
// instances together, for as long as it says so.
//
// The load is uneven: the instances of one availability zone, or a few gatherers, may
// send most of what a searcher gets, so equal parts would leave most of its rate
// unused. Instead one instance, the allocator of the searcher, hands out permits for
// single sends to those that need them. An instance asks for as many as it has lately
// used or missed, and unused ones expire, so neither the messages nor the state grow
// with the number of instances that send nothing.
//
// No part of the limit depends on agreement. The allocator hands out allocatedShare of
// it. If it does not answer, the second in rank hands out deputyShare, which is safe
// even while the first still serves others. An instance that nobody answers uses an
// equal part of ownShare. Together they stay within what a searcher tolerates.
//
// # Usage
//
// On the side of an instance that sends:
//
//	m := hyslimit.NewMeter()
//	change := m.Record(now, sentAt, statement) // for each response
//	if m.Ready(now) { m.Take(now, urgent) }    // for each send
//	if ask, ok := m.Ask(now, waiting); ok {
//		m.Apply(now, askedAt, reply)
//	}
//
// On the side of the allocator:
//
//	a := hyslimit.NewAllocator(hyslimit.WithClock(time.Now))
//	grants := a.Grant(asks, hyslimit.ModeFull)
//
// A Meter is not safe for concurrent use, an Allocator is.
package hyslimit
