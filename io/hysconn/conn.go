// Package hysconn holds what the clients of backend servers share for handling
// their connections: a check whether an idle connection can be reused, and
// limits on what is read from a connection.
//
// # Usage
//
//	if !hysconn.Reusable(conn) { conn.Close() }
//
//	r := hysconn.NewReader(conn, budget)
//	r.Begin(headBytes)
//	defer r.End()
//	body, err := hysconn.ReadBody(response.Body)
package hysconn

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reusable reports whether an idle connection is still open and has received no
// unexpected bytes. The loss of a request sent on a connection that the peer has
// closed would be attributed to the request, and unexpected bytes would be taken
// for its response.
func Reusable(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = peekErr == unix.EAGAIN
	})
	return err == nil && reusable
}
