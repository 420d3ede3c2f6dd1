package hysfront

import (
	"net"

	"hyssopshore/core/hysintake"
	"hyssopshore/io/hyslisten"
)

// Shares of the process's memory that a port may take.
const (
	// callerMemoryShare is that of the requests that arrive and run. Their buffers may
	// take twice as much while they grow.
	callerMemoryShare = 0.125
	peerMemoryShare   = 0.0625
	// callerConnectionMemoryShare is that of the connections themselves.
	callerConnectionMemoryShare = 0.25
)

const (
	// connectionMemory is what an open connection takes without a request, in bytes.
	connectionMemory = 24 << 10
	// defaultRequestMemory is used on an instance without a memory limit, in bytes.
	defaultRequestMemory = 64 << 20
)

// probeLimits are the limits of the ports of readiness and metrics, whose requests have no
// body. Only the platform calls them, one request at a time.
var probeLimits = hysintake.Limits{Connections: 16, Bytes: 1 << 20}

// refusal is the answer to a connection that is refused since all others run requests.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// callerLimits returns the limits of the callers' port.
func (s *Settings) callerLimits() hysintake.Limits {
	l := hysintake.Limits{Connections: hyslisten.Sockets(s.MaxDescriptors, hyslisten.CallerShare), Bytes: defaultRequestMemory}
	if s.MemoryBytes > 0 {
		memory := float64(s.MemoryBytes)
		l.Bytes = int64(callerMemoryShare * memory)
		l.Connections = min(l.Connections, int(callerConnectionMemoryShare*memory/connectionMemory))
	}
	return l
}

// peerLimits returns the limits of the port of other daemons.
func (s *Settings) peerLimits() hysintake.Limits {
	l := hysintake.Limits{Connections: hyslisten.Sockets(s.MaxDescriptors, hyslisten.PeerShare), Bytes: defaultRequestMemory}
	if s.MemoryBytes > 0 {
		l.Bytes = int64(peerMemoryShare * float64(s.MemoryBytes))
	}
	return l
}

// limited returns a listener that accepts the connections of one of the daemon's ports
// within limits.
func (f *Front) limited(port string, inner net.Listener, limits hysintake.Limits) net.Listener {
	return hyslisten.New(inner, limits, hyslisten.WithRefusal([]byte(refusal)), hyslisten.WithLog(f.log, port))
}
