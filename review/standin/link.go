package standin

import (
	"io"
	"net"
	"sync"
)

// Link is the way of one machine to one searcher. It can be cut.
type Link struct {
	c      *Case
	target string

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	// cut is set while the way is cut.
	cut bool
}

// NewLink returns a way to an address.
func (c *Case) NewLink(target string) *Link {
	l := &Link{c: c, target: target, conns: make(map[net.Conn]bool)}
	l.listener = c.Listen(c.Address())
	l.address = l.listener.Addr().String()
	go l.serve(l.listener)
	return l
}

// Address returns the address at which the machine reaches the searcher.
func (l *Link) Address() string { return l.address }

// Cut resets all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	_ = l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		l.c.Fail(err)
	}
	l.cut, l.listener = false, listener
	go l.serve(listener)
}

func (l *Link) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn)
	}
}

// add tracks a connection, and reports whether the way is open.
func (l *Link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.conns[conn] = true
	}
	return !l.cut
}

func (l *Link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// pass passes the bytes of a connection on in both directions.
func (l *Link) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.add(near) || !l.add(far) {
		return
	}
	defer l.remove(near)
	defer l.remove(far)
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(far, near); done <- struct{}{} }()
	go func() { _, _ = io.Copy(near, far); done <- struct{}{} }()
	<-done
}
