package hysstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections as a searcher does: up to a limit, each at a
// cost, and some of them may go silent.
type Listener struct {
	net.Listener
	limit int
	cost  time.Duration

	mu       sync.Mutex
	open     map[*serverConn]bool
	peak     int
	accepted int
	refused  int
}

// ConnectionCounts are the connections of one searcher.
type ConnectionCounts struct {
	Open     int `json:"open"`
	Peak     int `json:"peak"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
}

// NewListener limits a listener; a limit of 0 is none. The first read of a
// connection takes at least cost.
func NewListener(l net.Listener, limit int, cost time.Duration) *Listener {
	return &Listener{Listener: l, limit: limit, cost: cost, open: make(map[*serverConn]bool)}
}

// Accept returns the next connection within the limit and closes the others.
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
	// The peak counts refused connections too, so that a breach is seen.
	l.peak = max(l.peak, len(l.open)+1)
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &serverConn{Conn: raw, listener: l, ready: time.Now().Add(l.cost)}
	l.open[c] = true
	return c
}

// Counts returns the connections so far.
func (l *Listener) Counts() ConnectionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnectionCounts{Open: len(l.open), Peak: l.peak, Accepted: l.accepted, Refused: l.refused}
}

// SilenceHalf makes every second open connection silent for good: what it gets is
// lost and what is written to it never arrives.
func (l *Listener) SilenceHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	other := false
	for c := range l.open {
		if other = !other; other {
			c.silent.Store(true)
		}
	}
}

type serverConn struct {
	net.Conn
	listener *Listener
	ready    time.Time
	silent   atomic.Bool
}

func (c *serverConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.ready))
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
