// Package hysdispatch runs sub-requests on the searchers of the shards that this
// instance dispatches.
//
// Each shard has a weighted fair queue in front of the slots of its replicas. The
// best replica with a free slot gets the next sub-request. An idempotent sub-request
// that takes longer than most is hedged on another replica, and one that failed is
// retried, both within a budget.
//
// # Usage
//
//	d := hysdispatch.New(send)
//	d.SetReplicas(service, replicas, slots)
//	reply := d.Submit(ctx, sub)
//
// Lock order: Dispatcher.mu, then table.mu. Neither is held while sending.
package hysdispatch

import (
	"context"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

//go:generate go tool stringer -type=Fault -linecomment -output=enum_string.go

// SubRequest is the part of a query that one shard runs.
type SubRequest struct {
	RequestID  hysquery.RequestID
	Group      hysgroup.Name
	Weight     uint32
	Service    hysservice.Name
	Class      hysquery.Class
	Idempotent bool
	Version    hyssnapshot.Version
	Epoch      hyssnapshot.Epoch
	Shard      hysservice.ShardID
	Body       []byte
	Deadline   time.Time
	// Goal is the time within which the reply is most useful; 0 if it is not known.
	Goal time.Duration
	// Due is the time until which the reply is most useful; zero if it is not known.
	Due         time.Time
	Fingerprint hysquery.Fingerprint
	// Proven is true once the request has succeeded on a searcher.
	Proven bool
	// Message is a request that is forwarded unchanged, in place of Body.
	Message *hysmessage.Request
	// MaxRuns is how many searchers may run the sub-request; 0 stands for the
	// default.
	MaxRuns int
	// Confirmed is that of the instance for which this one runs the sub-request; nil if
	// nothing has to be confirmed. Before it that instance may have taken this one for
	// silent and run the sub-request elsewhere, so that one searcher may run it here.
	Confirmed Confirmation
	// Repeated marks a sub-request that may have been sent to a searcher before, by this
	// instance or another one. It counts as an extra send and allows no others.
	Repeated bool
	// Returning marks a sub-request whose caller was refused before. It is refused
	// again only for a longer queue.
	Returning bool
	// Admitted marks a sub-request that Admit has accepted. It is not refused for a
	// long queue.
	Admitted bool
	// RetryNotRun allows another send of a non-idempotent sub-request whenever a
	// searcher has said that it did not run it.
	RetryNotRun bool
}

// SubReply is the final reply to a sub-request.
type SubReply struct {
	Shard      hysservice.ShardID
	Status     hysquery.ShardStatus
	Version    hyssnapshot.Version
	Epoch      hyssnapshot.Epoch
	Hits       [][]byte
	Reason     string
	RetryAfter time.Duration
	// NotRun is true when no searcher has run the sub-request and none ever will.
	NotRun bool
	// Message is the response of a searcher to a Message.
	Message *hysmessage.Response
	// Searcher is the one whose result decided the reply.
	Searcher hysmember.SearcherID
	// Sends is how many sends were made.
	Sends int
	// Unreachable is set if this instance reaches no searcher of the service. Another
	// instance may.
	Unreachable bool
	// PossibleRuns is how many searchers may have run the sub-request.
	PossibleRuns int
	// RelayedTo is the instance that ran the sub-request, if it was another one.
	RelayedTo hysmember.InstanceID
	// Queue is what a refusal was derived from; empty if the sub-request was not
	// refused.
	Queue QueueState
}

// Fault is how one send to a searcher ended.
type Fault uint8

// The ways a send ends.
const (
	FaultNone        Fault = iota // none
	FaultRefused                  // refused
	FaultShed                     // shed
	FaultDraining                 // draining
	FaultLost                     // lost
	FaultCancelled                // cancelled
	FaultVersionGone              // version-gone
	FaultEpochGone                // epoch-gone
	FaultRejected                 // rejected
	FaultQuarantined              // quarantined
	// FaultSilent means that the connection made no progress although the searcher
	// answers on others, or that a reused connection ended before the reply.
	FaultSilent // silent
	// FaultMisdirected means that another searcher than the intended one replied.
	FaultMisdirected // misdirected
	// FaultFailed means that the searcher itself failed after it ran the sub-request.
	FaultFailed // failed
	// FaultStalled means that the send was cancelled because it was still running
	// long after another one had answered.
	FaultStalled // stalled
)

// isSearcherFault reports whether the searcher is at fault.
func (f Fault) isSearcherFault() bool {
	switch f {
	case FaultRefused, FaultShed, FaultLost, FaultSilent, FaultFailed, FaultStalled, FaultMisdirected:
		return true
	default:
		return false
	}
}

// Result is the result of one send to a searcher.
type Result struct {
	Fault      Fault
	Hits       [][]byte
	Reason     string
	RetryAfter time.Duration
	// NotRun is true when the searcher has not run the sub-request and never will.
	NotRun bool
	// Message is the searcher's response to a Message.
	Message *hysmessage.Response
	// Draining is true if the searcher announced that it is leaving.
	Draining bool
	// Limit is what the response states about the searcher's rate limit.
	Limit hyslimit.Statement
}

// Sender sends a sub-request to a searcher and waits for its reply or for the end of
// the context.
type Sender func(context.Context, hysmember.Searcher, SubRequest) Result
