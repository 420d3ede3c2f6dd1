package hysfront

import (
	"net"

	"golang.org/x/sys/unix"

	"hyssopshore/core/hysintake"
	"hyssopshore/io/hyslisten"
)

// Shares of what the process may use, that a port may take.
const (
	// peerSocketShare and peerMemoryShare are those of the port of other daemons.
	peerSocketShare = 0.15
	peerMemoryShare = 0.0625
	// callerSocketShare leaves the rest for searchers, the store and other daemons.
	callerSocketShare = 0.45
	// callerMemoryShare is that of the requests that arrive and run. Their buffers may
	// take twice as much while they grow.
	callerMemoryShare = 0.125
	// callerConnectionMemoryShare is that of the connections themselves.
	callerConnectionMemoryShare = 0.25
)

const (
	// reservedFiles is the number of file descriptors that are kept for files.
	reservedFiles = 200
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

// sockets returns how many sockets the process may have.
func (s *Settings) sockets() int {
	limit := s.MaxDescriptors
	if limit == 0 {
		limit = descriptorLimit()
	}
	return max(limit-reservedFiles, limit/2)
}

// defaultDescriptors is assumed if the system does not tell its limit.
const defaultDescriptors = 1024

// descriptorLimit returns how many file descriptors the system allows the process.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	const highest = 1 << 20
	return int(min(limit.Cur, highest))
}

// callerLimits returns the limits of the callers' port.
func (s *Settings) callerLimits() hysintake.Limits {
	l := hysintake.Limits{Connections: int(callerSocketShare * float64(s.sockets())), Bytes: defaultRequestMemory}
	if s.MemoryBytes > 0 {
		memory := float64(s.MemoryBytes)
		l.Bytes = int64(callerMemoryShare * memory)
		l.Connections = min(l.Connections, int(callerConnectionMemoryShare*memory/connectionMemory))
	}
	return l
}

// peerLimits returns the limits of the port of other daemons.
func (s *Settings) peerLimits() hysintake.Limits {
	l := hysintake.Limits{Connections: int(peerSocketShare * float64(s.sockets())), Bytes: defaultRequestMemory}
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
