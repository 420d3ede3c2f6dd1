package hystest

import (
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Cut is how a Proxy cuts its target off.
type Cut uint8

// The ways of a cut.
const (
	// CutHang drops every byte of the open connections, and new ones are not
	// established.
	CutHang Cut = iota
	// CutRequests does the same, but the target's replies on open connections still
	// come.
	CutRequests
	// CutReplies does the same, but requests on open connections still reach the
	// target.
	CutReplies
	// CutReset resets the open connections and refuses new ones.
	CutReset
	// CutRefuse leaves the open connections alone and refuses new ones.
	CutRefuse
)

// fillTimeout bounds the time to open a connection that fills the queue of a listener.
const fillTimeout = time.Second

// bindTimeout bounds the time until a port can be bound that was just closed.
const bindTimeout = time.Second

// maxFillers bounds the connections that fill the queue of a listener.
const maxFillers = 8

// Cut cuts the target off until Heal.
func (p *Proxy) Cut(c Cut) {
	switch c {
	case CutHang:
		p.hangNew()
		p.Freeze(DirectionRequest, DirectionReply)
	case CutRequests:
		p.hangNew()
		p.Freeze(DirectionRequest)
	case CutReplies:
		p.hangNew()
		p.Freeze(DirectionReply)
	case CutReset:
		p.refuseNew()
		p.resetConnections()
	case CutRefuse:
		p.refuseNew()
	}
}

// Heal ends a cut. Connections that were frozen are closed.
func (p *Proxy) Heal() {
	p.mu.Lock()
	for l := range p.links {
		if l.frozen[DirectionRequest] || l.frozen[DirectionReply] {
			l.close()
		}
	}
	hanging, fillers := p.hanging, p.fillers
	p.hanging, p.fillers = nil, nil
	p.mu.Unlock()
	for _, f := range fillers {
		_ = f.Close()
	}
	if hanging != nil {
		p.setBacklog(unix.SOMAXCONN)
		close(hanging)
		return
	}
	l, err := net.Listen("tcp", string(p.Address()))
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	p.listener = l
	p.release()
	p.mu.Unlock()
	go p.accept(l)
}

// hangNew lets new connections hang: nobody accepts them, and the queue is full, so
// that their first packets are dropped.
func (p *Proxy) hangNew() {
	p.mu.Lock()
	p.hanging, p.parked = make(chan struct{}), make(chan struct{})
	parked := p.parked
	p.mu.Unlock()
	p.setBacklog(0)
	// The first connection is the one that accept still takes.
	p.fill()
	<-parked
	for range maxFillers {
		if p.queueFull() {
			return
		}
		p.fill()
	}
}

// fill opens a connection that is kept until the cut ends.
func (p *Proxy) fill() {
	conn, err := net.DialTimeout("tcp", string(p.Address()), fillTimeout)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fillers = append(p.fillers, conn)
}

// queueFull reports whether the queue of the listener holds more connections than its
// backlog.
func (p *Proxy) queueFull() bool {
	full := false
	p.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		// For a listener these are the length of the queue and its limit.
		full = err == nil && info.Unacked > info.Sacked
		return err
	})
	return full
}

// setBacklog sets how many connections may wait to be accepted.
func (p *Proxy) setBacklog(count int) {
	p.control(func(fd int) error { return unix.Listen(fd, count) })
}

// control calls work with the listener's file descriptor.
func (p *Proxy) control(work func(fd int) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		panic(err)
	}
	var workErr error
	err = raw.Control(func(fd uintptr) { workErr = work(int(fd)) })
	if err != nil || workErr != nil {
		panic(errors.Join(err, workErr))
	}
}

// awaitHealed waits while new connections hang, and reports whether they did.
func (p *Proxy) awaitHealed() bool {
	p.mu.Lock()
	hanging := p.hanging
	if p.parked != nil {
		close(p.parked)
		p.parked = nil
	}
	p.mu.Unlock()
	if hanging == nil {
		return false
	}
	<-hanging
	return true
}

// refuseNew closes the listener, and keeps its port from being given to anybody else.
func (p *Proxy) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.listener.Addr().(*net.TCPAddr)
	_ = p.listener.Close()
	socket, err := bindOnly(address)
	// The listener is closed only after accept has returned.
	for end := time.Now().Add(bindTimeout); err != nil && time.Now().Before(end); socket, err = bindOnly(address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	p.holder = &socket
}

// release closes the socket that holds the port while connections are refused. The caller
// holds mu.
func (p *Proxy) release() {
	if p.holder != nil {
		_ = unix.Close(*p.holder)
		p.holder = nil
	}
}

// bindOnly returns a socket that is bound to an address and does not listen. A listener
// can be bound to the same address beside it.
func bindOnly(address *net.TCPAddr) (int, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, fmt.Errorf("bindOnly: socket: %w", err)
	}
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	}
	if err != nil {
		_ = unix.Close(socket)
		return 0, fmt.Errorf("bindOnly: %s: %w", address, err)
	}
	return socket, nil
}

// resetConnections resets the open connections.
func (p *Proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.client.(*net.TCPConn).SetLinger(0)
		l.close()
	}
}
