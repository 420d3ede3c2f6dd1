// Package hyspartial decides when a query over many shards is answered, and
// from how many of them.
//
// It is made for a load where some shards are paused, slow or gone while the
// others answer in time. A full answer within the goal has its full value, a
// partial answer the square of the share of shards that it covers, and a late
// one hardly any. So the answer waits for all shards until shortly before the
// goal, and is then made of the replies that have arrived if they cover the
// minimum. Below the minimum it waits longer, and is given as soon as the
// minimum is reached. Shards that can no longer answer are not waited for.
//
// # Usage
//
//	p := hyspartial.Policy{Shards: 10, Minimum: 9, Goal: goal}
//	verdict := p.Decide(now, answered, lost)
package hyspartial

import "time"

//go:generate go tool stringer -type=Verdict -linecomment -output=enum_string.go

// Verdict is what to do with the replies that have arrived.
type Verdict uint8

// The verdicts.
const (
	VerdictWait   Verdict = iota // wait
	VerdictAnswer                // answer
	VerdictGiveUp                // give-up
)

// Policy decides when a query is answered.
type Policy struct {
	// Shards is the number of shards, Minimum how many of them an answer must
	// cover.
	Shards  int
	Minimum int
	// Goal is when an answer that covers the minimum is given at the latest.
	Goal time.Time
}

// Decide returns what to do when some shards have answered and others are lost,
// that is, will never answer.
func (p Policy) Decide(now time.Time, answered, lost int) Verdict {
	outstanding := p.Shards - answered - lost
	switch {
	case answered+outstanding < p.Minimum:
		return VerdictGiveUp
	case answered < p.Minimum:
		return VerdictWait
	case outstanding == 0 || !now.Before(p.Goal):
		return VerdictAnswer
	default:
		return VerdictWait
	}
}
