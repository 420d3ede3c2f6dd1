package hyslisten

import "golang.org/x/sys/unix"

// Shares of a process's sockets that a port may take. The rest is left for searchers, the
// store and the calls to other daemons.
const (
	CallerShare   = 0.45
	PeerShare     = 0.15
	OperatorShare = 0.05
)

const (
	// reservedFiles is the number of file descriptors that are kept for files.
	reservedFiles = 200
	// defaultDescriptors is assumed if the system does not tell its limit.
	defaultDescriptors = 1024
	// highestDescriptors stands for no limit.
	highestDescriptors = 1 << 20
)

// Sockets returns how many sockets a share of the process's descriptors is. If their
// number is 0, the system's limit applies.
func Sockets(descriptors int, share float64) int {
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	sockets := max(descriptors-reservedFiles, descriptors/2)
	return max(1, int(share*float64(sockets)))
}

// descriptorLimit returns how many file descriptors the system allows the process.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, highestDescriptors))
}
