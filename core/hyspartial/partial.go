// Package hyspartial decides when the answer to a query over many shards is
// given, and with which of them.
//
// It answers this load: some shards are paused, slow or gone while the others
// answer in time. A whole answer within the goal has its full value, an answer
// in part the square of the share that it covers, and a late one hardly any.
// So the answer waits for all shards until shortly before the goal, then takes
// what has arrived if that covers the minimum. Below the minimum it waits on,
// and is given as soon as the minimum is reached. Shards that can't answer any
// more are not waited for.
//
// # Usage
//
//	p := hyspartial.Policy{Shards: 10, Minimum: 9, Goal: goal}
//	verdict := p.Decide(now, answered, lost)
package hyspartial

import "time"

//go:generate go tool stringer -type=Verdict -linecomment -output=enum_string.go

// Verdict tells what to do with the parts that have arrived.
type Verdict uint8

// The verdicts.
const (
	VerdictWait   Verdict = iota // wait
	VerdictAnswer                // answer
	VerdictGiveUp                // give-up
)

// Policy is what a query is answered by.
type Policy struct {
	// Shards is how many there are, Minimum how many an answer must cover.
	Shards  int
	Minimum int
	// Goal is when an answer that covers the minimum is given.
	Goal time.Time
}

// Decide returns what to do when some shards have answered and some are lost,
// so that they never will.
func (p Policy) Decide(now time.Time, answered, lost int) Verdict {
	open := p.Shards - answered - lost
	switch {
	case answered+open < p.Minimum:
		return VerdictGiveUp
	case answered < p.Minimum:
		return VerdictWait
	case open == 0 || !now.Before(p.Goal):
		return VerdictAnswer
	default:
		return VerdictWait
	}
}
