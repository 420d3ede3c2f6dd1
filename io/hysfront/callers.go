package hysfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hyssopshore/core/hysroute"
	"hyssopshore/io/hyslisten"
)

// Timeouts of callers' connections that the configuration does not set.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
)

// answerTimeout bounds how long a caller may take to read an answer.
const answerTimeout = 30 * time.Second

// callerServer serves the callers' port. An http.Server fixes its timeouts when it
// starts, so each change of them in the configuration starts another server on the
// same port. Connections stay with the server that got them.
type callerServer struct {
	handler http.Handler
	log     *slog.Logger
	// limit returns a listener that bounds the connections of another one.
	limit func(net.Listener) net.Listener
	// requests is the context of all requests, endRequests cancels it with a cause.
	requests    context.Context
	endRequests context.CancelCauseFunc

	mu       sync.Mutex
	listener net.Listener
	timeouts callerTimeouts
	current  *handoffListener
	servers  []*http.Server
}

// callerTimeouts are the timeouts that the configuration sets.
type callerTimeouts struct {
	header time.Duration
	idle   time.Duration
}

// newCallerTimeouts returns the timeouts of a configuration, with defaults for
// those that it does not set.
func newCallerTimeouts(l hysroute.Limits) callerTimeouts {
	t := callerTimeouts{header: l.HeaderTimeout, idle: l.IdleTimeout}
	if t.header <= 0 {
		t.header = defaultHeaderTimeout
	}
	if t.idle <= 0 {
		t.idle = defaultIdleTimeout
	}
	return t
}

// newCallerServer returns a server that is not yet started.
func newCallerServer(handler http.Handler, log *slog.Logger, limit func(net.Listener) net.Listener) *callerServer {
	c := &callerServer{handler: hyslisten.Handler(handler), log: log, limit: limit, timeouts: newCallerTimeouts(hysroute.Limits{})}
	c.requests, c.endRequests = context.WithCancelCause(context.Background())
	return c
}

// Serve passes connections to the current http.Server until the listener is closed.
// It returns http.ErrServerClosed.
func (c *callerServer) Serve(inner net.Listener) error {
	listener := c.limit(inner)
	c.mu.Lock()
	c.listener = listener
	c.startServer()
	c.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return http.ErrServerClosed
		}
		c.currentListener().deliver(conn)
	}
}

// currentListener returns the listener of the current http.Server.
func (c *callerServer) currentListener() *handoffListener {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// setLimits applies the limits of a configuration to new connections.
func (c *callerServer) setLimits(l hysroute.Limits) {
	timeouts := newCallerTimeouts(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeouts == c.timeouts {
		return
	}
	c.timeouts = timeouts
	if c.listener != nil {
		c.startServer()
	}
}

// startServer starts the http.Server for all new connections. The caller holds mu.
func (c *callerServer) startServer() {
	server := &http.Server{
		Handler: c.handler, ReadHeaderTimeout: c.timeouts.header, IdleTimeout: c.timeouts.idle,
		MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true,
		ErrorLog:    slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
		BaseContext: func(net.Listener) context.Context { return c.requests }, ConnContext: hyslisten.ConnContext,
	}
	c.current = newHandoffListener(c.listener.Addr())
	c.servers = append(c.servers, server)
	// Serve returns http.ErrServerClosed only, since a handoffListener does not
	// fail.
	go func(h *handoffListener) { _ = server.Serve(h) }(c.current)
}

// shutdown accepts no more connections and waits for the requests in flight.
func (c *callerServer) shutdown(ctx context.Context) error {
	servers := c.closeListener()
	results := make([]error, len(servers))
	var wait sync.WaitGroup
	for i, s := range servers {
		wait.Go(func() { results[i] = s.Shutdown(ctx) })
	}
	wait.Wait()
	if err := errors.Join(results...); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// close closes the port and all connections.
func (c *callerServer) close() {
	for _, s := range c.closeListener() {
		// The server is not used any more, so an error does not matter.
		_ = s.Close()
	}
}

// closeListener closes the port and returns every http.Server that was started.
func (c *callerServer) closeListener() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		// The listener may be closed already.
		_ = c.listener.Close()
	}
	return c.servers
}

// handoffListener is a net.Listener whose connections another listener has
// accepted.
type handoffListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. After Close it closes the connection.
func (h *handoffListener) deliver(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close()
	}
}

// Accept waits for the next connection.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, fmt.Errorf("handoffListener.Accept: %w", net.ErrClosed)
	}
}

// Close ends Accept with net.ErrClosed.
func (h *handoffListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (h *handoffListener) Addr() net.Addr { return h.address }
