package hyslisten

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysintake"
)

// past is a read deadline that ends every read.
var past = time.Unix(1, 0)

// Conn is a connection of a Listener. The methods that mark its request do nothing on a
// nil Conn, so that a handler also works behind another listener.
type Conn struct {
	net.Conn
	listener *Listener
	id       hysintake.ConnectionID
	// received counts the bytes since the last answer.
	received atomic.Int64

	// deadlineMu guards evicted together with the read deadline.
	deadlineMu sync.Mutex
	evicted    bool
}

// Read reads, and counts the buffer that it is given as memory of the request that
// arrives. On an evicted connection it returns a timeout error.
func (c *Conn) Read(p []byte) (int, error) {
	if held := c.received.Load() + int64(len(p)); held > hysintake.UncountedBytes {
		c.listener.hold(c, held)
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// SetReadDeadline sets the read deadline, unless the connection was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// evict ends all reads.
func (c *Conn) evict() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.evicted = true
	// It fails on a closed connection only, which reads nothing either.
	_ = c.Conn.SetReadDeadline(past)
}

// Evicted reports whether the connection was evicted, so that a request whose body could
// not be read has not run.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.evicted
}

// Begin marks the request as arrived. It returns false if the connection was evicted; the
// request must not run then.
func (c *Conn) Begin() bool { return c == nil || c.listener.begin(c) }

// End marks the request as answered.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.received.Store(0)
	c.listener.end(c)
}

// CloseWrite closes the side of the connection on which answers are sent.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.CloseWrite(); err != nil {
		return fmt.Errorf("Conn.CloseWrite: %w", err)
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
