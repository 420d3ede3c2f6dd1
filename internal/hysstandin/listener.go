package hysstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections as a searcher does: up to a limit and each with a
// setup delay. It can make connections go silent.
type Listener struct {
	net.Listener
	limit      int
	setupDelay time.Duration

	mu       sync.Mutex
	open     map[*serverConn]bool
	peak     int
	accepted int
	refused  int
}

// ConnectionCounts counts the connections of one searcher. Peak includes refused
// connections.
type ConnectionCounts struct {
	Open     int `json:"open"`
	Peak     int `json:"peak"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
}

// NewListener returns a listener that accepts at most limit open connections
// from l, or any number if limit is 0. Reads of a connection wait until setupDelay
// has passed since it was accepted.
func NewListener(l net.Listener, limit int, setupDelay time.Duration) *Listener {
	return &Listener{Listener: l, limit: limit, setupDelay: setupDelay, open: make(map[*serverConn]bool)}
}

// Accept returns the next connection within the limit. It closes those above it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *Listener) add(raw net.Conn) *serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	// The peak includes refused connections, so that it shows an exceeded limit.
	l.peak = max(l.peak, len(l.open)+1)
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &serverConn{Conn: raw, listener: l, readableAt: time.Now().Add(l.setupDelay)}
	l.open[c] = true
	return c
}

// Counts returns the connection counts so far.
func (l *Listener) Counts() ConnectionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnectionCounts{Open: len(l.open), Peak: l.peak, Accepted: l.accepted, Refused: l.refused}
}

// SilenceHalf makes every second open connection silent for good: the bytes that
// it receives and those written to it are dropped.
func (l *Listener) SilenceHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence := false
	for c := range l.open {
		if silence = !silence; silence {
			c.silent.Store(true)
		}
	}
}

type serverConn struct {
	net.Conn
	listener   *Listener
	readableAt time.Time
	silent     atomic.Bool
}

func (c *serverConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.readableAt))
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *serverConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *serverConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
