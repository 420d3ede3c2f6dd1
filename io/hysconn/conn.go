// Package hysconn holds what all clients of backend servers need of their
// connections: whether one that lies idle can still be used, and bounds on what
// is read from it.
//
// # Usage
//
//	if !hysconn.Quiet(conn) { conn.Close() }
//
//	r := hysconn.NewReader(conn, memory)
//	r.Begin(headBytes)
//	defer r.End()
//	body, err := hysconn.ReadBody(response.Body)
package hysconn

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reusable reports whether the other end has kept an idle connection open and sent
// nothing on it. A request sent on a closed one would be blamed for its end, and
// bytes that came unasked would be taken for its reply.
func Reusable(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
	})
	return err == nil && quiet
}
