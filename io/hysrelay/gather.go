package hysrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysmessage"
	"hyssopshore/core/hysroute"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/io/hysingress"
)

// Errors of a query that was delegated to a gatherer.
const (
	// ErrUnresponsive means that the gatherer has not accepted the query in time,
	// or has stopped responding.
	ErrUnresponsive = errors.ConstError("the gatherer is silent")
	// ErrMalformed means that the gatherer has sent an answer that no daemon gives.
	ErrMalformed = errors.ConstError("the gatherer's answer is malformed")
	// ErrNotUnderstood means that the request could not be encoded here, or not be decoded
	// by a gatherer of another build. It has not run, and neither is out of order.
	ErrNotUnderstood = errors.ConstError("the gatherer can't read the request")
)

// Timing of delegated queries.
const (
	defaultAcceptTimeout = 20 * time.Millisecond
	// probeGoalShare is the share of a query's goal after which a gatherer that has
	// not answered is probed.
	probeGoalShare = 0.6
	// A probe times out after minProbeTimeout, probeTimeoutShare of the goal,
	// probeAcceptFactor times the duration of the acceptance or probePatienceFactor times
	// the patience with the daemon, whichever is longest: the machine may be busy, or the
	// network slow.
	minProbeTimeout     = 25 * time.Millisecond
	probeTimeoutShare   = 0.1
	probeAcceptFactor   = 2
	probePatienceFactor = 4
)

// GatherFunc answers a query of another daemon. It calls accept before anything
// runs; if it returns without that call, the query is declined.
type GatherFunc func(ctx context.Context, d hysingress.Delegation, accept func() error) (hysingress.DelegationResult, error)

// Gather answers a query of another daemon.
func (s *server) Gather(ctx context.Context, r *connect.Request[front.GatherRequest], stream *connect.ServerStream[front.GatherReply]) error {
	accepted := false
	accept := func() error {
		accepted = true
		return stream.Send(&front.GatherReply{Accepted: true})
	}
	d := decodeDelegation(r.Msg)
	confirmed, end := s.confirmations.expect(callNumber(r.Msg.Call))
	defer end()
	d.Confirmed = confirmed
	answer, err := s.gather(ctx, d, accept)
	var lost *hysingress.SearchersLostError
	switch {
	case err == nil:
		return stream.Send(encodeDelegationResult(answer))
	case errors.As(err, &lost):
		return stream.Send(&front.GatherReply{Accepted: true, SearchersLost: true, PossibleRuns: int32(lost.PossibleRuns)})
	case accepted:
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		declined := &hysingress.DeclinedError{Reason: err.Error()}
		errors.As(err, &declined)
		return stream.Send(&front.GatherReply{Reason: encodeReason(err.Error()), RetryAfterUs: declined.RetryAfter.Microseconds()})
	}
}

// Probe answers at once, which shows that this daemon responds. It may confirm a call.
func (s *server) Probe(_ context.Context, r *connect.Request[front.ProbeRequest]) (*connect.Response[front.ProbeReply], error) {
	s.confirmations.confirm(callNumber(r.Msg.AcceptedCall))
	return connect.NewResponse(&front.ProbeReply{}), nil
}

// Gather delegates a query to a daemon, which cancels it when the context ends. patience
// is how much longer than a near daemon it may take to accept the query. The error wraps
// ErrGathererLost if the daemon has accepted the query, and is a DeclinedError if it has
// declined it, or a SearchersLostError if it has given it up. After any other error the
// daemon is not known to have done either, and one searcher of each shard may run the
// query there.
func (c *Client) Gather(ctx context.Context, address hysmember.Address, d hysingress.Delegation, patience time.Duration) (hysingress.DelegationResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	acceptTimer := time.AfterFunc(c.acceptTimeout+patience, func() { cancel(ErrUnresponsive) })
	defer acceptTimer.Stop()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(address))
	number := numberForAttempts(d.MaxAttempts - d.UsedAttempts)
	stream, err := service.Gather(ctx, connect.NewRequest(encodeDelegation(d, number)))
	if err != nil {
		return hysingress.DelegationResult{}, gatherError(ctx, err)
	}
	defer stream.Close()
	if !stream.Receive() {
		return hysingress.DelegationResult{}, gatherError(ctx, stream.Err())
	}
	if first := stream.Msg(); !first.Accepted {
		return hysingress.DelegationResult{}, &hysingress.DeclinedError{
			Reason: first.Reason, RetryAfter: time.Duration(first.RetryAfterUs) * time.Microsecond,
		}
	}
	acceptTimer.Stop()
	p := &prober{
		service: service, start: d.Start, goal: d.Goal, acceptTime: time.Since(began), patience: patience, cancel: cancel,
		call: number,
	}
	go p.run(ctx)
	if !stream.Receive() {
		return hysingress.DelegationResult{}, fmt.Errorf("%w: %w", hysingress.ErrGathererLost, gatherError(ctx, stream.Err()))
	}
	if last := stream.Msg(); last.SearchersLost {
		return hysingress.DelegationResult{}, &hysingress.SearchersLostError{PossibleRuns: max(int(last.PossibleRuns), 0)}
	}
	answer := decodeDelegationResult(stream.Msg())
	if !valid(answer) {
		return hysingress.DelegationResult{}, fmt.Errorf("Client.Gather: status %d, outcome %d: %w: %w",
			answer.Response.Status, answer.Record.Outcome, hysingress.ErrGathererLost, ErrMalformed)
	}
	return answer, nil
}

// prober finds out whether a daemon that has accepted work still responds: a machine
// that has lost its power sends nothing more.
type prober struct {
	service frontconnect.FrontServiceClient
	// start and goal are those of the request; the daemon is probed after each share of
	// the goal.
	start time.Time
	goal  time.Duration
	// acceptTime is how long the acceptance took, and patience how much longer than for
	// a near daemon it might have taken.
	acceptTime time.Duration
	patience   time.Duration
	// cancel cancels the call with ErrUnresponsive if a probe is not answered.
	cancel context.CancelCauseFunc
	// call is what the probes confirm; 0 if there is nothing to confirm. A call that is
	// itself part of another one is confirmed after that, which heldBack tells; nil if it
	// is part of none.
	call     callNumber
	heldBack hysdispatch.Confirmation
	confirms bool
}

// mayConfirm returns a channel that is closed once the call may be confirmed.
func (p *prober) mayConfirm() <-chan struct{} {
	switch {
	case p.call == 0:
		return nil
	case p.heldBack != nil:
		return p.heldBack
	}
	now := make(chan struct{})
	close(now)
	return now
}

// run confirms the call and probes the daemon until the context ends.
func (p *prober) run(ctx context.Context) {
	interval := max(time.Duration(probeGoalShare*float64(p.goal)), minProbeTimeout)
	timeout := max(minProbeTimeout, time.Duration(probeTimeoutShare*float64(p.goal)), probeAcceptFactor*p.acceptTime, probePatienceFactor*p.patience)
	timer := time.NewTimer(max(interval-time.Since(p.start), minProbeTimeout))
	defer timer.Stop()
	mayConfirm := p.mayConfirm()
	for {
		select {
		case <-ctx.Done():
			return
		case <-mayConfirm:
			mayConfirm = nil
			p.confirms = true
			// One that is lost is repeated by the next probe, which decides whether the
			// daemon responds.
			_ = p.probe(ctx, timeout)
			continue
		case <-timer.C:
		}
		if err := p.probe(ctx, timeout); err != nil {
			p.cancel(ErrUnresponsive)
			return
		}
		timer.Reset(interval)
	}
}

// probe asks the daemon whether it responds.
func (p *prober) probe(ctx context.Context, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	request := &front.ProbeRequest{}
	if p.confirms {
		request.AcceptedCall = uint64(p.call)
	}
	if _, err := p.service.Probe(ctx, connect.NewRequest(request)); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return nil
}

// gatherError returns why a gatherer has not answered.
func gatherError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), ErrUnresponsive):
		return fmt.Errorf("Client.Gather: %w", ErrUnresponsive)
	case isNotUnderstood(err):
		return fmt.Errorf("Client.Gather: %w: %w", ErrNotUnderstood, err)
	default:
		return fmt.Errorf("Client.Gather: %w", err)
	}
}

// isNotUnderstood reports whether a request was not encoded here, or not decoded there.
func isNotUnderstood(err error) bool {
	if connect.IsWireError(err) {
		return connect.CodeOf(err) == connect.CodeInvalidArgument
	}
	return connect.CodeOf(err) == connect.CodeInternal && errors.Is(err, proto.Error)
}

func encodeDelegation(d hysingress.Delegation, number callNumber) *front.GatherRequest {
	return &front.GatherRequest{
		Method: d.Message.Method, Target: []byte(d.Message.Target), Host: []byte(d.Message.Host),
		Header: encodeHeader(d.Message.Header), Body: d.Message.Body,
		ElapsedUs: time.Since(d.Start).Microseconds(), Configuration: int64(d.Configuration),
		UsedAttempts: int32(max(d.UsedAttempts, d.MaxAttempts-1)), Call: uint64(number), Attempts: int32(d.MaxAttempts - d.UsedAttempts),
	}
}

func decodeDelegation(r *front.GatherRequest) hysingress.Delegation {
	usedAttempts, attempts := max(int(r.UsedAttempts), 0), 1
	if r.Call != 0 {
		usedAttempts, attempts = 0, max(int(r.Attempts), 1)
	}
	return hysingress.Delegation{
		Message: &hysmessage.Request{
			Method: r.Method, Target: string(r.Target), Host: string(r.Host), Header: decodeHeader(r.Header), Body: r.Body,
		},
		Start:         time.Now().Add(-time.Duration(max(r.ElapsedUs, 0)) * time.Microsecond),
		Configuration: hysroute.Version(r.Configuration),
		UsedAttempts:  usedAttempts,
		Attempts:      attempts,
	}
}

func encodeDelegationResult(d hysingress.DelegationResult) *front.GatherReply {
	return &front.GatherReply{
		Status: int32(d.Response.Status), Header: encodeHeader(d.Response.Header), Body: d.Response.Body,
		Outcome: int32(d.Record.Outcome), Reason: encodeReason(d.Record.Reason), Configuration: int64(d.Record.Configuration),
		Shards: int32(d.Record.Shards), Answered: int32(d.Record.Answered), Sends: int32(d.Record.Sends),
		RetryAfterUs: d.Record.RetryAfter.Microseconds(),
	}
}

func decodeDelegationResult(r *front.GatherReply) hysingress.DelegationResult {
	return hysingress.DelegationResult{
		Response: hysmessage.Response{Status: int(r.Status), Header: decodeHeader(r.Header), Body: r.Body},
		Record: hysingress.Record{
			Outcome: hysingress.Outcome(r.Outcome), Reason: r.Reason, Configuration: hysroute.Version(r.Configuration),
			Shards: int(r.Shards), Answered: int(r.Answered), Sends: int(r.Sends),
			RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond,
		},
	}
}

func encodeHeader(h http.Header) []*front.Field {
	fields := make([]*front.Field, 0, len(h))
	for name, values := range h {
		field := &front.Field{Name: name}
		for _, v := range values {
			field.Values = append(field.Values, []byte(v))
		}
		fields = append(fields, field)
	}
	return fields
}

func decodeHeader(fields []*front.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		var values []string
		for _, v := range f.Values {
			values = append(values, string(v))
		}
		h[f.Name] = values
	}
	return h
}

// encodeReason returns a reason without bytes that a message can't hold. It may quote what
// callers or searchers sent.
func encodeReason(reason string) string { return strings.ToValidUTF8(reason, "\uFFFD") }

// valid reports whether an answer has a status and an outcome that a daemon sends.
func valid(d hysingress.DelegationResult) bool {
	return hysmessage.IsFinalStatus(d.Response.Status) && d.Record.Outcome < hysingress.OutcomeAbandoned
}
