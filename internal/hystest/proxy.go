package hystest

import (
	"io"
	"net"
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// Direction is a direction of traffic through a Proxy.
type Direction uint8

// Directions of traffic. Requests go from the side that opened the connection to
// the target, and replies go back.
const (
	DirectionRequest Direction = iota
	DirectionReply
)

// Proxy forwards TCP connections to a target and can inject network faults. It
// is safe for concurrent use.
type Proxy struct {
	target  hysmember.Address
	address hysmember.Address

	mu sync.Mutex
	// listener is replaced when a cut ends that refused connections.
	listener net.Listener
	links    map[*link]bool
	delay    time.Duration
	accepted int
	// muted is set while all replies are held back, and closed when they no longer are.
	// closeDelay is how much later than one end closes a connection the other end learns
	// of it.
	muted      chan struct{}
	closeDelay time.Duration
	// hanging is set while new connections hang, and closed when they no longer do.
	// parked is closed once none is accepted any more. fillers are the connections that
	// fill the queue of the listener.
	hanging chan struct{}
	parked  chan struct{}
	fillers []net.Conn
	// holder is a socket that holds the port while connections are refused.
	holder *int
}

// link is one connection through the proxy.
type link struct {
	client net.Conn
	server net.Conn
	// closed is closed together with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// frozen is set for each direction in which every byte is dropped.
	frozen [2]bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target hysmember.Address) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &Proxy{
		listener: l, target: target, links: make(map[*link]bool),
		address: hysmember.Address(l.Addr().String()),
	}
	go p.accept(l)
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() hysmember.Address { return p.address }

// Accepted returns how many connections were forwarded so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// SetDelay sets the delay of the bytes in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetMuted sets whether all replies are held back, on open and new connections, as if
// their packets were lost: TCP sends them again, and passes none over. Requests arrive,
// and so does the end of a connection that the side of the requests closes.
func (p *Proxy) SetMuted(muted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case muted && p.muted == nil:
		p.muted = make(chan struct{})
	case !muted && p.muted != nil:
		close(p.muted)
		p.muted = nil
	}
}

// SetCloseDelay sets how much later than one end closes a connection the other end learns
// of it, as if the packets that say so were lost and sent again.
func (p *Proxy) SetCloseDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeDelay = d
}

// Freeze makes the open connections drop every byte in the given directions from
// now on, without closing them. New connections are not affected.
func (p *Proxy) Freeze(directions ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, d := range directions {
			l.frozen[d] = true
		}
	}
}

// CloseConnections closes the open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

// Close closes the open connections and stops accepting new ones.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.release()
	hanging, fillers := p.hanging, p.fillers
	p.hanging, p.fillers = nil, nil
	p.mu.Unlock()
	for _, f := range fillers {
		_ = f.Close()
	}
	if hanging != nil {
		close(hanging)
	}
	p.CloseConnections()
}

func (l *link) close() {
	l.closeOnce.Do(func() { close(l.closed) })
	_ = l.client.Close()
	_ = l.server.Close()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.awaitHealed() {
			// It was opened during a cut.
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", string(p.target))
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server, closed: make(chan struct{})}
		p.mu.Lock()
		p.accepted++
		p.links[l] = true
		p.mu.Unlock()
		go p.forward(l, DirectionRequest, client, server)
		go p.forward(l, DirectionReply, server, client)
	}
}

// forward copies one direction until either end closes. It then closes both ends,
// unless the direction is frozen.
func (p *Proxy) forward(l *link, d Direction, from io.Reader, to io.Writer) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay, closeDelay := p.delay, p.closeDelay
		frozen, muted := l.frozen[d], p.muted
		p.mu.Unlock()
		if err != nil && !frozen {
			time.Sleep(closeDelay)
			p.remove(l)
		}
		if err != nil {
			return
		}
		if frozen {
			continue
		}
		if muted != nil && d == DirectionReply {
			select {
			case <-muted:
			case <-l.closed:
			}
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			p.remove(l)
			return
		}
	}
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.close()
	delete(p.links, l)
}
