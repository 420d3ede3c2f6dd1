// Package hyshttp holds what the HTTP interfaces for callers and operators
// share: a server with limits on slow and oversized requests, and JSON in and
// out, also where the library itself refuses a request.
//
// # Usage
//
//	h, err := hyshttp.NewServer("127.0.0.1:7101", hyshttp.WithMaxBody(512<<10))
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
)

// Limits sets bounds to requests and connections.
type Limits struct {
	// Body and Header are the largest of a request, in bytes.
	Body   int
	Header int
	// Connections is how many are open at once.
	Connections int
	// Read bounds the arrival of a whole request, Idle the wait for the next
	// one on a connection, Write one write of a response.
	Read  time.Duration
	Idle  time.Duration
	Write time.Duration
}

// DefaultLimits returns the limits of a server without options.
func DefaultLimits() Limits {
	return Limits{
		Body: 1 << 20, Header: 16 << 10, Connections: 4096,
		Read: 10 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second,
	}
}

// closeInterval is how often a stopping server closes idle connections.
const closeInterval = 10 * time.Millisecond

// maxExitWait lets the context of Stop alone bound a stop.
const maxExitWait = time.Hour

// FailureFunc returns the JSON answer to a request that no handler answered.
type FailureFunc func(status int, reason string) any

// failure is the answer of a server without WithFailure.
type failure struct {
	Reason string `json:"reason"`
}

// Server is an HTTP server that listens but does not serve yet.
type Server struct {
	*server.Hertz
	limits   Limits
	fail     FailureFunc
	listener *listener
	inFlight inFlight
}

// Option changes a Server.
type Option func(*Server)

// WithLimits replaces the limits.
func WithLimits(l Limits) Option {
	return func(s *Server) { s.limits = l }
}

// WithFailure replaces the answer to requests that no handler answered.
func WithFailure(f FailureFunc) Option {
	return func(s *Server) { s.fail = f }
}

// NewServer returns a server that listens on an address.
func NewServer(address hysmember.Address, options ...Option) (*Server, error) {
	s := &Server{
		limits: DefaultLimits(),
		fail:   func(_ int, reason string) any { return failure{Reason: reason} },
	}
	for _, o := range options {
		o(s)
	}
	inner, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("NewServer: %w", err)
	}
	s.listener = newListener(inner, s.limits, s.fail)
	s.Hertz = s.newHertz()
	return s, nil
}

// newHertz uses the library's standard transport: its read timeout bounds a
// whole request, where that of netpoll starts anew with each byte.
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
	)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.recovered)))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		Write(c, http.StatusNotFound, s.fail(http.StatusNotFound, "there is no path "+string(c.Path())))
	})
	h.NoMethod(func(_ context.Context, c *app.RequestContext) {
		allowed := s.allowed(string(c.Path()))
		c.Header("Allow", allowed)
		reason := fmt.Sprintf("the method of %s is %s, not %s", c.Path(), allowed, c.Method())
		Write(c, http.StatusMethodNotAllowed, s.fail(http.StatusMethodNotAllowed, reason))
	})
	return h
}

func (s *Server) allowed(path string) string {
	var methods []string
	for _, r := range s.Routes() {
		if r.Path == path {
			methods = append(methods, r.Method)
		}
	}
	return strings.Join(methods, ", ")
}

func (s *Server) recovered(_ context.Context, c *app.RequestContext, _ any, _ []byte) {
	Write(c, http.StatusInternalServerError, s.fail(http.StatusInternalServerError, "the daemon failed on this request"))
	c.Abort()
}

// Address returns the address that the server listens on.
func (s *Server) Address() hysmember.Address {
	return hysmember.Address(s.listener.Addr().String())
}

// Connections returns how many connections are open.
func (s *Server) Connections() int { return s.listener.count() }

// InFlight returns how many requests are in flight, from the first byte of the
// request to the last byte of the answer.
func (s *Server) InFlight() int64 { return s.inFlight.count.Load() }

// Serve runs a server until it is stopped.
func (s *Server) Serve() error {
	if err := s.Engine.Run(); err != nil {
		return fmt.Errorf("Server.Serve: %w", err)
	}
	return nil
}

// Stop accepts no connections any more, closes idle ones, and waits for those
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

// Close ends a server that was never served.
func (s *Server) Close() { _ = s.listener.Close() }

// Write answers with a value as JSON.
func Write(c *app.RequestContext, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.Data(http.StatusInternalServerError, "text/plain", []byte(err.Error()))
		return
	}
	c.Data(status, "application/json", append(data, '\n'))
}

// SetRetryAfter sets the standard header, in whole seconds rounded up.
func SetRetryAfter(c *app.RequestContext, after hysservice.Milliseconds) {
	if after <= 0 {
		return
	}
	const second = hysservice.Milliseconds(1000)
	c.Header("Retry-After", strconv.FormatInt(int64((after+second-1)/second), 10))
}

// Read decodes a request body; an unknown field is an error.
func Read(c *app.RequestContext, into any) error {
	return Decode(c.Request.Body(), into)
}

// Decode reads one JSON value; an unknown field is an error. Its errors are
// made for the sender of the value.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return explain(data, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &SyntaxError{Message: "there is more than one JSON value"}
	}
	return nil
}
