package hysrelay

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/io/hysingress"
)

// maxParts bounds the sub-requests of one call.
const maxParts = 4096

// probeWithoutGoal is the time between probes of a daemon that runs sub-requests
// without a goal.
const probeWithoutGoal = 200 * time.Millisecond

// RunResult is the reply to one of several sub-requests.
type RunResult struct {
	Index int
	Reply hysdispatch.SubReply
}

// RunFunc runs sub-requests of another daemon, and returns a channel with a result for
// each. It calls accept before anything runs; if it returns an error they are declined.
type RunFunc func(ctx context.Context, subs []hysdispatch.SubRequest, accept func() error) (<-chan RunResult, error)

// Run runs sub-requests of another daemon. Until they are due the results are sent
// together, afterwards each as soon as it is there.
func (s *server) Run(ctx context.Context, r *connect.Request[front.RunRequest], stream *connect.ServerStream[front.RunReply]) error {
	subs := decodeRun(r.Msg)
	confirmed, end := s.confirmations.expect(callNumber(r.Msg.Call))
	defer end()
	for i := range subs {
		subs[i].Confirmed = confirmed
	}
	accept := func() error { return stream.Send(&front.RunReply{Accepted: true}) }
	results, err := s.run(ctx, subs, accept)
	if err != nil {
		declined := &hysingress.DeclinedError{Reason: err.Error()}
		errors.As(err, &declined)
		return stream.Send(&front.RunReply{Reason: encodeReason(err.Error()), RetryAfterUs: declined.RetryAfter.Microseconds()})
	}
	if len(subs) == 0 {
		return nil
	}
	return sendResults(ctx, results, len(subs), subs[0].Due, stream)
}

func sendResults(ctx context.Context, results <-chan RunResult, pending int, dueAt time.Time, stream *connect.ServerStream[front.RunReply]) error {
	due := time.NewTimer(time.Until(dueAt))
	defer due.Stop()
	isDue := false
	reply := &front.RunReply{Accepted: true}
	for pending > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due.C:
			isDue = true
		case r := <-results:
			pending--
			reply.Results = append(reply.Results, encodeResult(r))
		}
		if len(reply.Results) == 0 || !isDue && pending > 0 {
			continue
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
		reply = &front.RunReply{Accepted: true}
	}
	return nil
}

// RunOptions describe the way to the daemon that runs sub-requests.
type RunOptions struct {
	// Patience is how much longer than a near daemon it may take to accept them.
	Patience time.Duration
	// Margin is how much earlier than due the results are to be sent.
	Margin time.Duration
}

// Run lets a daemon run sub-requests of one request, and calls deliver for each reply.
// The daemon cancels them when the context ends. The error is a DeclinedError if it has
// not accepted them, and wraps ErrGathererLost if it has, and gives no more replies, or
// ErrNotUnderstood if they were not sent or not read. After any other error it is not known
// to have done either, and one searcher may run each sub-request there. All sub-requests
// are confirmed at the same time.
func (c *Client) Run(ctx context.Context, address hysmember.Address, subs []hysdispatch.SubRequest, o RunOptions, deliver func(RunResult)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	acceptTimer := time.AfterFunc(c.acceptTimeout+o.Patience, func() { cancel(ErrUnresponsive) })
	defer acceptTimer.Stop()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(address))
	number := numberForParts(subs)
	stream, err := service.Run(ctx, connect.NewRequest(encodeRun(subs, o.Margin, number)))
	if err != nil {
		return gatherError(ctx, err)
	}
	defer stream.Close()
	if !stream.Receive() {
		return gatherError(ctx, stream.Err())
	}
	if first := stream.Msg(); !first.Accepted {
		return &hysingress.DeclinedError{Reason: first.Reason, RetryAfter: time.Duration(first.RetryAfterUs) * time.Microsecond}
	}
	acceptTimer.Stop()
	p := &prober{
		service: service, start: began, goal: subs[0].Goal, acceptTime: time.Since(began), patience: o.Patience, cancel: cancel,
		call: number, heldBack: subs[0].Confirmed,
	}
	if p.goal == 0 {
		p.goal = probeWithoutGoal
	}
	go p.run(ctx)
	for pending := len(subs); pending > 0; {
		if !stream.Receive() {
			return fmt.Errorf("%w: %w", hysingress.ErrGathererLost, gatherError(ctx, stream.Err()))
		}
		for _, result := range stream.Msg().Results {
			r, ok := decodeResult(result, len(subs))
			if !ok {
				return fmt.Errorf("Client.Run: %w: %w", hysingress.ErrGathererLost, ErrMalformed)
			}
			deliver(r)
			pending--
		}
	}
	return nil
}

func encodeRun(subs []hysdispatch.SubRequest, margin time.Duration, number callNumber) *front.RunRequest {
	first := subs[0]
	r := &front.RunRequest{
		RequestId: []byte(first.RequestID), Method: first.Message.Method, Target: []byte(first.Message.Target), Host: []byte(first.Message.Host),
		Header: encodeHeader(first.Message.Header), Body: first.Message.Body,
		Group: string(first.Group), Weight: first.Weight, Class: int32(first.Class),
		Idempotent: first.Idempotent, Returning: first.Returning, RetryNotRun: first.RetryNotRun,
		RemainingUs: time.Until(first.Deadline).Microseconds(), GoalUs: first.Goal.Microseconds(), Call: uint64(number),
	}
	if !first.Due.IsZero() {
		r.DueUs = max(time.Until(first.Due)-margin, time.Microsecond).Microseconds()
	}
	for _, sub := range subs {
		r.Parts = append(r.Parts, &front.RunPart{Service: string(sub.Service), MaxRuns: 1, ConfirmedRuns: int32(sub.MaxRuns)})
	}
	return r
}

func decodeRun(r *front.RunRequest) []hysdispatch.SubRequest {
	message := &hysmessage.Request{
		Method: r.Method, Target: string(r.Target), Host: string(r.Host), Header: decodeHeader(r.Header), Body: r.Body,
	}
	now := time.Now()
	common := hysdispatch.SubRequest{
		RequestID: hysquery.RequestID(r.RequestId), Fingerprint: hysquery.Fingerprint(message.Fingerprint()),
		Group: hysgroup.Name(r.Group), Weight: r.Weight, Class: min(hysquery.Class(max(r.Class, 0)), hysquery.ClassBulk),
		Idempotent: r.Idempotent, Returning: r.Returning, RetryNotRun: r.RetryNotRun, Proven: true,
		Deadline: now.Add(microseconds(r.RemainingUs)), Goal: microseconds(r.GoalUs), Message: message,
	}
	if r.DueUs > 0 {
		common.Due = now.Add(microseconds(r.DueUs))
	}
	subs := make([]hysdispatch.SubRequest, 0, len(r.Parts))
	for _, p := range r.Parts[:min(len(r.Parts), maxParts)] {
		sub := common
		sub.Service, sub.MaxRuns = hysservice.Name(p.Service), 1
		if r.Call != 0 {
			sub.MaxRuns = max(int(p.ConfirmedRuns), 1)
		}
		subs = append(subs, sub)
	}
	return subs
}

// maxDuration bounds the durations that other daemons send.
const maxDuration = time.Hour

func microseconds(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxDuration.Microseconds())) * time.Microsecond
}

func encodeResult(r RunResult) *front.PartResult {
	result := &front.PartResult{
		Index: int32(r.Index), Status: int32(r.Reply.Status), Reason: encodeReason(r.Reply.Reason), RetryAfterUs: r.Reply.RetryAfter.Microseconds(),
		NotRun: r.Reply.NotRun, Unreachable: r.Reply.Unreachable, Searcher: string(r.Reply.Searcher), Sends: int32(r.Reply.Sends),
		PossibleRuns: int32(r.Reply.PossibleRuns),
	}
	if m := r.Reply.Message; m != nil {
		result.MessageStatus, result.Header, result.Body = int32(m.Status), encodeHeader(m.Header), m.Body
	}
	return result
}

// decodeResult returns the result of one of count sub-requests, and false if no daemon
// sends such a result.
func decodeResult(r *front.PartResult, count int) (RunResult, bool) {
	hasMessage := r.MessageStatus != 0
	if r.Index < 0 || int(r.Index) >= count || r.Status < 0 || r.Status > int32(hysquery.ShardFailed) ||
		hasMessage && !hysmessage.IsFinalStatus(int(r.MessageStatus)) {
		return RunResult{}, false
	}
	reply := hysdispatch.SubReply{
		Status: hysquery.ShardStatus(r.Status), Reason: r.Reason, RetryAfter: microseconds(r.RetryAfterUs),
		NotRun: r.NotRun, Unreachable: r.Unreachable, Searcher: hysmember.SearcherID(r.Searcher), Sends: max(int(r.Sends), 0),
		PossibleRuns: max(int(r.PossibleRuns), 0),
	}
	if reply.PossibleRuns == 0 && !reply.NotRun && !reply.Unreachable {
		// A build before states the possible runs of unreachable sub-requests only.
		reply.PossibleRuns = reply.Sends
	}
	if hasMessage {
		reply.Message = &hysmessage.Response{Status: int(r.MessageStatus), Header: decodeHeader(r.Header), Body: r.Body}
	}
	return RunResult{Index: int(r.Index), Reply: reply}, true
}
