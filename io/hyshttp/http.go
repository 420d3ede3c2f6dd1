// Package hyshttp holds what the HTTP interfaces for callers and operators
// share: a server with limits on slow and oversized requests, and JSON encoding
// and decoding, also for requests that the HTTP library itself rejects.
//
// # Usage
//
//	limits := hyshttp.DefaultLimits()
//	limits.Body = 512 << 10
//	h, err := hyshttp.NewServer("127.0.0.1:7101", hyshttp.WithLimits(limits))
//	h.POST("/v1/query", handler)
//	go h.Serve()
//	defer h.Stop(ctx)
package hyshttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hyslisten"
)

// Limits holds the limits on requests and connections.
type Limits struct {
	// Body and Header are the maximum sizes of a request's parts, in bytes.
	Body   int
	Header int
	// Connections is the maximum number of open connections.
	Connections int
	// Memory is what the requests that arrive and run may hold together, in bytes.
	Memory int64
	// Read is the timeout for a whole request to arrive, Idle for the next
	// request on a connection, and Write for each write of a response.
	Read  time.Duration
	Idle  time.Duration
	Write time.Duration
}

// DefaultLimits returns the limits of a server without options.
func DefaultLimits() Limits {
	return Limits{
		Body: 1 << 20, Header: 16 << 10, Connections: 4096, Memory: 16 << 20,
		Read: 10 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second,
	}
}

// BusyRetryAfter is when a client may come back that was refused for want of room.
const BusyRetryAfter = hysservice.Milliseconds(50)

// closeInterval is how often Stop closes idle connections.
const closeInterval = 10 * time.Millisecond

// maxExitWait is Hertz's own limit on a shutdown. It is so long that only the
// context of Stop limits it.
const maxExitWait = time.Hour

// FailureFunc returns the JSON body of a response that no handler has written.
type FailureFunc func(status int, reason string) any

// defaultFailure is the response body of a server without WithFailure.
type defaultFailure struct {
	Reason string `json:"reason"`
}

// Server is an HTTP server. It listens as soon as it is created and accepts
// connections once Serve is called.
type Server struct {
	*server.Hertz
	limits   Limits
	failure  FailureFunc
	listen   []hyslisten.Option
	listener *listener
	inFlight inFlight
}

// Option configures a Server.
type Option func(*Server)

// WithLimits replaces the limits.
func WithLimits(l Limits) Option {
	return func(s *Server) { s.limits = l }
}

// WithFailure replaces the response body for requests that no handler answers.
func WithFailure(f FailureFunc) Option {
	return func(s *Server) { s.failure = f }
}

// WithListen adds options of the listener.
func WithListen(options ...hyslisten.Option) Option {
	return func(s *Server) { s.listen = append(s.listen, options...) }
}

// NewServer returns a server that listens on an address.
func NewServer(address hysmember.Address, options ...Option) (*Server, error) {
	s := &Server{
		limits:  DefaultLimits(),
		failure: func(_ int, reason string) any { return defaultFailure{Reason: reason} },
	}
	for _, o := range options {
		o(s)
	}
	inner, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("NewServer: %w", err)
	}
	s.listener = newListener(inner, s.limits, s.failure, s.listen)
	s.inFlight.ended = func(client net.Addr) { s.listener.find(client).end() }
	s.Hertz = s.newHertz()
	return s, nil
}

// newHertz returns a Hertz server with the limits of s. It uses Hertz's standard
// transport, whose read timeout bounds a whole request; the one of its netpoll
// transport restarts with each byte.
func (s *Server) newHertz() *server.Hertz {
	hlog.SetOutput(io.Discard)
	h := server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(s.limits.Body),
		server.WithMaxHeaderBytes(s.limits.Header),
		server.WithReadTimeout(s.limits.Read),
		server.WithIdleTimeout(s.limits.Idle),
		server.WithSenseClientDisconnection(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(maxExitWait),
		server.WithTracer(&s.inFlight),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
	)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.handlePanic)))
	h.Use(s.receive)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		Write(c, http.StatusNotFound, s.failure(http.StatusNotFound, "there is no path "+string(c.Path())))
	})
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		allowed := s.allowedMethods(string(c.Path()))
		c.Header("Allow", allowed)
		reason := fmt.Sprintf("the method of %s is %s, not %s", c.Path(), allowed, c.Method())
		Write(c, http.StatusMethodNotAllowed, s.failure(http.StatusMethodNotAllowed, reason))
	})
	return h
}

func (s *Server) allowedMethods(path string) string {
	var methods []string
	for _, r := range s.Routes() {
		if r.Path == path {
			methods = append(methods, r.Method)
		}
	}
	return strings.Join(methods, ", ")
}

func (s *Server) handlePanic(_ context.Context, c *app.RequestContext, _ any, _ []byte) {
	Write(c, http.StatusInternalServerError, s.failure(http.StatusInternalServerError, "the daemon failed on this request"))
	c.Abort()
}

// Address returns the address that the server listens on.
func (s *Server) Address() hysmember.Address {
	return hysmember.Address(s.listener.Addr().String())
}

// Connections returns how many connections are open.
func (s *Server) Connections() int { return s.listener.Connections() }

// Held returns what the requests that arrive and run hold, in bytes.
func (s *Server) Held() int64 { return s.listener.Bytes() }

// InFlight returns the number of requests in flight, from the first byte of the
// request to the last byte of the response.
func (s *Server) InFlight() int64 { return s.inFlight.count.Load() }

// Serve accepts connections until the server is stopped.
func (s *Server) Serve() error {
	if err := s.Engine.Run(); err != nil {
		return fmt.Errorf("Server.Serve: %w", err)
	}
	return nil
}

// Stop accepts no further connections, closes idle ones, and waits for those
// with a request in flight until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		s.listener.closeIdle()
		select {
		case err := <-done:
			s.listener.closeAll()
			if err != nil {
				return fmt.Errorf("Server.Stop: %w", err)
			}
			return nil
		case <-ticker.C:
		}
	}
}

// Close closes the listener of a server whose Serve was never called.
func (s *Server) Close() { _ = s.listener.Close() }

// Write writes a value as a JSON response.
func Write(c *app.RequestContext, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.Data(http.StatusInternalServerError, "text/plain", []byte(err.Error()))
		return
	}
	c.Data(status, "application/json", append(data, '\n'))
}

// SetRetryAfter sets the Retry-After field, in whole seconds rounded up. It does
// nothing if after is not positive.
func SetRetryAfter(c *app.RequestContext, after hysservice.Milliseconds) {
	if after <= 0 {
		return
	}
	c.Header("Retry-After", strconv.FormatInt(retryAfterSeconds(after), 10))
}

// retryAfterSeconds returns whole seconds, rounded up.
func retryAfterSeconds(after hysservice.Milliseconds) int64 {
	const second = hysservice.Milliseconds(1000)
	return int64((after + second - 1) / second)
}

// Read decodes the request body like Decode.
func Read(c *app.RequestContext, into any) error {
	return Decode(c.Request.Body(), into)
}

// Decode decodes a single JSON value; an unknown field is an error. Its errors
// are written for the sender of the value.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return describe(data, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &SyntaxError{Message: "there is more than one JSON value"}
	}
	return nil
}
