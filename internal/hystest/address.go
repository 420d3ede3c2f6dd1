package hystest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"hyssopshore/core/hysmember"
)

// loopback is where the daemons of a Cluster listen.
const loopback = "127.0.0.1"

// The ports of daemons lie below those that the system gives to outgoing
// connections, which could otherwise take a port before the daemon listens, and
// above the fixed port of the metrics. Each is given out once in a process.
const (
	firstPort = 20_000
	portCount = 12_000
	// portStride keeps test processes that run at the same time apart.
	portStride = 997
)

var nextPort atomic.Uint32

// FreeAddress returns an address that nothing listens on, of an IP number on
// loopback. No two calls return the same.
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
