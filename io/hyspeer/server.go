// Package hyspeer connects the instances: it implements the server and the
// client of the peer protocol, which dispatches parts of queries and
// distributes member updates and the configuration by gossip.
//
// Every request carries the shared peer secret. Neither the secret nor the
// traffic is encrypted: the network between the instances must be trusted.
//
// # Usage
//
//	s := hyspeer.NewServer(secret, submit, exchange, state)
//	http.Serve(listener, s.Handler())
//	c := hyspeer.NewClient(secret)
//	replies, err := c.Dispatch(ctx, instance, part)
package hyspeer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/internal/gen/peer/peerconnect"
	"hyssopshore/io/hyslisten"
	"hyssopshore/io/hyspermit"
)

// headerSecret carries the shared peer secret.
const headerSecret = "X-Hyssopshore-Secret"

// headerElapsed is the time that a dispatcher took, in microseconds.
const headerElapsed = "X-Hyssopshore-Elapsed-Us"

// Callbacks of a Server.
type (
	// SubmitFunc runs a sub-request.
	SubmitFunc func(context.Context, hysdispatch.SubRequest) hysdispatch.SubReply
	// ExchangeFunc merges a peer's gossip message and returns the reply.
	ExchangeFunc func(*peer.ExchangeRequest) *peer.ExchangeReply
	// StateFunc returns the configuration in force.
	StateFunc func() hysticket.State
	// PermitsFunc answers a request for permits of rate limits.
	PermitsFunc func(hyspermit.Request) (hyslimit.Grants, error)
)

// Server serves the peer protocol.
type Server struct {
	secret       string
	submit       SubmitFunc
	exchange     ExchangeFunc
	state        StateFunc
	permits      PermitsFunc
	deduplicator *deduplicator
	running      atomic.Int64

	encodedState stateEncoding
}

// Option configures a Server.
type Option func(*Server)

// WithPermits sets what answers requests for permits. Without it they are declined.
func WithPermits(permits PermitsFunc) Option {
	return func(s *Server) { s.permits = permits }
}

// NewServer returns a server.
func NewServer(secret string, submit SubmitFunc, exchange ExchangeFunc, state StateFunc, options ...Option) *Server {
	s := &Server{
		secret: secret, submit: submit, exchange: exchange, state: state, deduplicator: newDeduplicator(time.Now),
		permits: func(hyspermit.Request) (hyslimit.Grants, error) { return nil, hyspermit.ErrDeclined },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Running returns the number of parts that are running.
func (s *Server) Running() int64 { return s.running.Load() }

// Handler returns the handler of the peer protocol. It rejects requests
// without the secret. A connection of a peer that has given it is never evicted.
func (s *Server) Handler() http.Handler {
	path, handler := peerconnect.NewPeerServiceHandler(s)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.HandleFunc(pathPing, func(http.ResponseWriter, *http.Request) {})
	return s.authenticate(mux)
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := r.Header.Get(headerSecret)
		if subtle.ConstantTimeCompare([]byte(given), []byte(s.secret)) != 1 {
			// The rest of the body is not read.
			w.Header().Set("Connection", "close")
			http.Error(w, "wrong secret", http.StatusUnauthorized)
			return
		}
		if !hyslisten.FromContext(r.Context()).Begin() {
			w.Header().Set("Connection", "close")
			http.Error(w, "too many connections", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Dispatch runs a request on the shards that it names and replies once all of
// them have answered or the budget is used up. A non-idempotent request that
// arrives a second time is rejected.
func (s *Server) Dispatch(ctx context.Context, r *connect.Request[peer.DispatchRequest]) (*connect.Response[peer.DispatchReply], error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	started := time.Now()
	m := r.Msg
	if !m.GetIdempotent() && !s.deduplicator.add(sendKeyOf(m)) {
		return nil, connect.NewError(connect.CodeAlreadyExists, fmt.Errorf("request %s has arrived before", m.GetRequestId()))
	}
	response := connect.NewResponse(dispatch(ctx, s.submit, m))
	response.Header().Set(headerElapsed, strconv.FormatInt(time.Since(started).Microseconds(), 10))
	return response, nil
}

// elapsed returns the time that the dispatcher took, by its own clock.
func elapsed(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(headerElapsed), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Exchange merges a peer's gossip message and returns the reply.
func (s *Server) Exchange(_ context.Context, r *connect.Request[peer.ExchangeRequest]) (*connect.Response[peer.ExchangeReply], error) {
	return connect.NewResponse(s.exchange(r.Msg)), nil
}

// Configuration returns the configuration in force.
func (s *Server) Configuration(context.Context, *connect.Request[peer.ConfigurationRequest]) (*connect.Response[peer.ConfigurationReply], error) {
	data, err := s.encodedState.encode(s.state())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peer.ConfigurationReply{State: data}), nil
}
