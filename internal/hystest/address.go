package hystest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"hyssopshore/core/hysmember"
)

// loopback is the IP address that the daemons of a Cluster listen on.
const loopback = "127.0.0.1"

// The daemons' ports are below the ephemeral range, since an outgoing connection
// could otherwise take a port before the daemon listens, and above the fixed
// metrics port. A process hands out each port once.
const (
	firstPort = 20_000
	portCount = 12_000
	// portStride spaces the first ports of concurrent test processes.
	portStride = 997
)

var nextPort atomic.Uint32

// FreeAddress returns an address with the given loopback IP and a port that
// nothing listens on. It panics if there is none. No two calls return the same
// address until all ports were tried.
func FreeAddress(ip string) hysmember.Address {
	for range portCount {
		offset := (uint32(os.Getpid())*portStride + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("%s:%d", ip, firstPort+offset)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return hysmember.Address(address)
	}
	panic("no free port")
}
