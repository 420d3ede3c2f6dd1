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
)

// Times that a caller may take while the configuration sets none.
const (
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 75 * time.Second
)

// acceptPause is the time after a connection could not be taken.
const acceptPause = 20 * time.Millisecond

// callers serves the callers' port. The library fixes the times that a caller
// may take when a server starts, so that each change of them in the
// configuration starts another server on the same port; connections stay with
// the server that took them.
type callers struct {
	handler http.Handler
	log     *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	times    callerTimes
	current  *handover
	servers  []*http.Server
}

// callerTimes are those that the configuration sets.
type callerTimes struct {
	head time.Duration
	idle time.Duration
}

// newCallerTimes fills in what the configuration leaves out.
func newCallerTimes(l hysroute.Limits) callerTimes {
	t := callerTimes{head: l.HeaderTimeout, idle: l.IdleTimeout}
	if t.head <= 0 {
		t.head = defaultHeadTimeout
	}
	if t.idle <= 0 {
		t.idle = defaultIdleTimeout
	}
	return t
}

// newCallers returns the callers' port before it is served.
func newCallers(handler http.Handler, log *slog.Logger) *callers {
	return &callers{handler: handler, log: log, times: newCallerTimes(hysroute.Limits{})}
}

// Serve passes connections on until the listener is closed.
func (c *callers) Serve(listener net.Listener) error {
	c.mu.Lock()
	c.listener = listener
	c.restart()
	c.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			// As long as descriptors are short, callers wait to be accepted.
			c.log.Warn("connection not accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		c.serving().hand(conn)
	}
}

func (c *callers) serving() *handover {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// adjust takes the limits of a configuration over for new connections.
func (c *callers) adjust(l hysroute.Limits) {
	times := newCallerTimes(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	if times == c.times {
		return
	}
	c.times = times
	if c.listener != nil {
		c.restart()
	}
}

// restart starts the server of all connections to come. The caller holds mu.
func (c *callers) restart() {
	server := &http.Server{
		Handler: c.handler, ReadHeaderTimeout: c.times.head, IdleTimeout: c.times.idle,
		MaxHeaderBytes: maxHeadBytes, DisableGeneralOptionsHandler: true,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	c.current = newHandover(c.listener.Addr())
	c.servers = append(c.servers, server)
	// It ends with http.ErrServerClosed only, since a handover does not fail.
	go func(h *handover) { _ = server.Serve(h) }(c.current)
}

// shutdown takes no more connections and waits for the requests in flight.
func (c *callers) shutdown(ctx context.Context) error {
	servers := c.stop()
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

// close cuts everything.
func (c *callers) close() {
	for _, s := range c.stop() {
		// Nothing is served on it any more.
		_ = s.Close()
	}
}

func (c *callers) stop() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		// A second close changes nothing.
		_ = c.listener.Close()
	}
	return c.servers
}

// handover is a listener whose connections another one has accepted.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandover(address net.Addr) *handover {
	return &handover{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// hand gives a connection to whoever accepts here.
func (h *handover) hand(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close()
	}
}

// Accept waits for the next connection.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, fmt.Errorf("handover.Accept: %w", net.ErrClosed)
	}
}

// Close ends Accept.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr is that of the listener.
func (h *handover) Addr() net.Addr { return h.address }
