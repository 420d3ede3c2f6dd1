package hyspeer

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
)

// ErrMismatch means that a reply belongs to another request.
const ErrMismatch = errors.ConstError("the reply belongs to another request")

// Timeouts of calls other than dispatches.
const (
	exchangeTimeout = 500 * time.Millisecond
	// configurationTimeout allows for a full configuration of some megabytes.
	configurationTimeout = 5 * time.Second
)

// Estimate of the round trip time to an instance.
const (
	// defaultRoundTrip is assumed for an instance that has not replied yet.
	defaultRoundTrip = 25 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the moving average.
	roundTripWeight = 0.2
)

// withoutCompression disables compression of replies, which costs more
// processor time than the saved bytes are worth.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	secret   string
	attempts atomic.Uint64

	mu         sync.Mutex
	links      map[hysmember.Address]*link
	roundTrips map[hysmember.Address]time.Duration
}

// NewClient returns a client that authenticates with the given secret. It
// abandons a connection on which the peer stops answering, even while calls
// wait on it.
func NewClient(secret string) *Client {
	return &Client{
		secret: secret,
		links:  make(map[hysmember.Address]*link), roundTrips: make(map[hysmember.Address]time.Duration),
	}
}

func (c *Client) link(address hysmember.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = newLink(address)
		c.links[address] = l
	}
	return l
}

// abandon closes a link and cancels the calls on it. The next call to the
// address opens a new link.
func (c *Client) abandon(l *link) {
	c.mu.Lock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	c.mu.Unlock()
	l.close()
}

// retire removes a link so that the next call opens a new one. Calls that wait
// on the old link may still finish.
func (c *Client) retire(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
		time.AfterFunc(closeDelay, l.transport.CloseIdleConnections)
	}
}

func (c *Client) roundTrip(address hysmember.Address) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.roundTrips[address]; ok {
		return d
	}
	return defaultRoundTrip
}

func (c *Client) observeRoundTrip(address hysmember.Address, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.roundTrips[address]
	if !ok {
		c.roundTrips[address] = d
		return
	}
	c.roundTrips[address] = known + time.Duration(roundTripWeight*float64(d-known))
}

// errLost means that a connection was closed or abandoned during a call. The
// dispatcher may have run the part.
const errLost = errors.ConstError("the connection was lost")

// Dispatch sends a part of a query to another instance's dispatcher. An
// idempotent part is resent on a new connection if the first one is lost. The
// error wraps hysgather.ErrNotSent only if no byte of the part was sent.
func (c *Client) Dispatch(ctx context.Context, to hysmember.Instance, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	if part.Query.NonIdempotent {
		return c.dispatchOnce(ctx, to, part)
	}
	l := c.link(to.Address)
	replies, err := c.dispatch(ctx, l, part)
	if errors.Is(err, errLost) && ctx.Err() == nil {
		// A failed probe of the lost connection must not cancel the resend.
		c.retire(l)
		replies, err = c.dispatch(ctx, c.link(to.Address), part)
		if err != nil {
			// The first send may have run, whatever the outcome of the resend.
			return nil, fmt.Errorf("Client.Dispatch: %s: again: %v: %w", to.ID, err, errLost)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("Client.Dispatch: %s: %w", to.ID, err)
	}
	return replies, nil
}

// dispatchOnce sends a part on a connection that has just answered a probe. It
// waits for the reply without probing: a lost probe would abandon the
// connection and leave the outcome unknown.
func (c *Client) dispatchOnce(ctx context.Context, to hysmember.Instance, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	l := c.link(to.Address)
	if l.probe(c.secret) != nil {
		c.abandon(l)
		l = c.link(to.Address)
	}
	if err := l.probe(c.secret); err != nil {
		c.abandon(l)
		return nil, fmt.Errorf("Client.dispatchOnce: %s: %w: %w", to.ID, err, hysgather.ErrNotSent)
	}
	replies, err := c.dispatch(ctx, l, part)
	if err != nil {
		return nil, fmt.Errorf("Client.dispatchOnce: %s: %w", to.ID, err)
	}
	return replies, nil
}

// dispatch sends a part on one link. The dispatcher has to reply one round
// trip before the part's deadline, but gets at least half of the remaining
// time.
func (c *Client) dispatch(ctx context.Context, l *link, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	remaining := time.Until(part.Deadline)
	m := partToWire(part, c.attempts.Add(1), max(remaining-c.roundTrip(l.address), remaining/2))
	request := connect.NewRequest(m)
	request.Header().Set(headerSecret, c.secret)
	if part.Query.NonIdempotent {
		request.Header().Set(headerOnce, "1")
	}
	var connected atomic.Int64
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(time.Now().UnixNano()) }}
	callCtx := httptrace.WithClientTrace(ctx, &trace)
	if !part.Query.NonIdempotent {
		var stop func()
		callCtx, stop = l.callContext(callCtx, c.secret, c.abandon)
		defer stop()
	}
	response, err := l.peer.Dispatch(callCtx, request)
	if err != nil {
		return nil, dispatchError(callCtx, err, connected.Load() != 0)
	}
	l.recordAnswer()
	c.observeRoundTrip(l.address, time.Since(time.Unix(0, connected.Load()))-elapsed(response.Header()))
	return decodeReply(m, response.Msg)
}

// dispatchError wraps the error of a call: in ErrNotSent if the call never got
// a connection, in errLost if no reply arrived, and in neither if the
// dispatcher rejected it.
func dispatchError(ctx context.Context, err error, connected bool) error {
	switch {
	case !connected && ctx.Err() == nil:
		return fmt.Errorf("dispatch: %w: %w", err, hysgather.ErrNotSent)
	case !connect.IsWireError(err):
		return fmt.Errorf("dispatch: %w: %w", err, errLost)
	default:
		return fmt.Errorf("dispatch: %w", err)
	}
}

func decodeReply(m *peer.DispatchRequest, reply *peer.DispatchReply) ([]hysdispatch.SubReply, error) {
	if reply.GetRequestId() != m.GetRequestId() || reply.GetAttempt() != m.GetAttempt() || len(reply.GetShards()) != len(m.GetShards()) {
		return nil, fmt.Errorf("readDispatch: %w", ErrMismatch)
	}
	replies := make([]hysdispatch.SubReply, 0, len(reply.GetShards()))
	for i, r := range reply.GetShards() {
		if r.GetShard() != m.GetShards()[i] {
			return nil, fmt.Errorf("readDispatch: shard %d for %d: %w", r.GetShard(), m.GetShards()[i], ErrMismatch)
		}
		replies = append(replies, replyFromWire(r))
	}
	return replies, nil
}

// Exchange sends a gossip message to an instance and returns its reply.
func (c *Client) Exchange(ctx context.Context, to hysmember.Instance, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := connect.NewRequest(m)
	request.Header().Set(headerSecret, c.secret)
	l := c.link(to.Address)
	ctx, stop := l.callContext(ctx, c.secret, c.abandon)
	defer stop()
	response, err := l.peer.Exchange(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("Client.Exchange: %s: %w", to.ID, err)
	}
	l.recordAnswer()
	return response.Msg, nil
}

// Configuration returns the configuration in force at another instance.
func (c *Client) Configuration(ctx context.Context, to hysmember.Instance) (hysticket.State, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.ConfigurationRequest{})
	request.Header().Set(headerSecret, c.secret)
	l := c.link(to.Address)
	ctx, stop := l.callContext(ctx, c.secret, c.abandon)
	defer stop()
	response, err := l.peer.Configuration(ctx, request)
	if err != nil {
		return hysticket.State{}, fmt.Errorf("Client.Configuration: %s: %w", to.ID, err)
	}
	var state hysticket.State
	if err := state.UnmarshalJSON(response.Msg.GetState()); err != nil {
		return state, fmt.Errorf("Client.Configuration: decode: %w", err)
	}
	return state, nil
}
