package hysfront

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// ErrInvalid means that a setting can't be used; the message names it.
const ErrInvalid = errors.ConstError("invalid setting")

// Defaults of the settings.
const (
	defaultStopGrace  = 6 * time.Second
	defaultRetryShare = 0.1
	defaultRetrySlack = 10
	// defaultRetryWindow is the time window over which retries are bounded.
	defaultRetryWindow = 10 * time.Second
	defaultMinLease    = time.Second
	// defaultWritesPerSecond is less than any deployment is known to accept.
	defaultWritesPerSecond = 100
	// defaultResponseMemory is used on an instance without a memory limit, in
	// bytes.
	defaultResponseMemory = 64 << 20
	// defaultChangeWithin is the shortest time limit that deployments are known to
	// have.
	defaultChangeWithin = 3 * time.Second
)

// Settings are the settings with which a frontend daemon starts.
type Settings struct {
	Instance hysmember.InstanceID
	Zone     hysmember.Zone
	Region   hysmember.Region
	// Regions holds the region of each availability zone.
	Regions map[hysmember.Zone]hysmember.Region
	// Address is the IP address of the instance.
	Address          string
	CallerAddress    hysmember.Address
	ReadinessAddress hysmember.Address
	StoreAddress     hysmember.Address
	// PeerAddress is where other daemons connect to this one; empty if they don't.
	PeerAddress hysmember.Address
	// MemoryBytes is how much memory the process may use; 0 stands for no limit.
	MemoryBytes int64
	// MaxDescriptors is how many file descriptors the process may have; 0 if only the
	// system's own limit applies.
	MaxDescriptors int
	// ProcessorShare is how much processor time the process may use, in cores; 0 if
	// it is not known.
	ProcessorShare float64
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// StopGrace is how long the process may run after SIGTERM.
	StopGrace time.Duration
	// RetryShare and RetrySlack bound the extra sends of all daemons, those beyond
	// the first of each request. In any RetryWindow there may be as many as a share
	// of the requests, RetryShare, plus a fixed count, RetrySlack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// WritesPerSecond is how many writes the store accepts from all instances together.
	WritesPerSecond float64
	// ApplyWithin and DrainWithin are the time limits for applying a configuration,
	// and the leaving of a searcher, after the store has them.
	ApplyWithin time.Duration
	DrainWithin time.Duration
}

// Defaults sets the fields that are zero and have a default.
func (s *Settings) Defaults() {
	if s.StopGrace == 0 {
		s.StopGrace = defaultStopGrace
	}
	if s.RetryShare == 0 {
		s.RetryShare = defaultRetryShare
	}
	if s.RetrySlack == 0 {
		s.RetrySlack = defaultRetrySlack
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = defaultRetryWindow
	}
	if s.MinLease == 0 {
		s.MinLease = defaultMinLease
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ApplyWithin == 0 {
		s.ApplyWithin = defaultChangeWithin
	}
	if s.DrainWithin == 0 {
		s.DrainWithin = defaultChangeWithin
	}
}

// Validate returns an error that wraps ErrInvalid if a setting can't be used.
func (s *Settings) Validate() error {
	if s.Instance == "" {
		return fmt.Errorf("Settings.Validate: no instance: %w", ErrInvalid)
	}
	if s.Zone == "" || s.Region == "" {
		return fmt.Errorf("Settings.Validate: no availability zone or region: %w", ErrInvalid)
	}
	addresses := map[string]hysmember.Address{
		"caller-address": s.CallerAddress, "readiness-address": s.ReadinessAddress, "store-address": s.StoreAddress,
	}
	for name, address := range addresses {
		if _, err := netip.ParseAddrPort(string(address)); err != nil {
			return fmt.Errorf("Settings.Validate: %s: %w: %w", name, ErrInvalid, err)
		}
	}
	if s.MaxDescriptors < 0 || s.MemoryBytes < 0 {
		return fmt.Errorf("Settings.Validate: a limit of the process is negative: %w", ErrInvalid)
	}
	if s.RetryShare < 0 || s.RetrySlack < 0 || s.RetryWindow < 0 || s.StopGrace < 0 || s.changeWithin() < 0 || s.WritesPerSecond < 0 {
		return fmt.Errorf("Settings.Validate: a bound is negative: %w", ErrInvalid)
	}
	return nil
}

// responseMemoryShare is the share of the memory for responses that are being read.
// Their buffers may take twice as much while they grow.
const responseMemoryShare = 0.125

// responseMemory returns the memory for responses that are being read, in bytes.
func (s *Settings) responseMemory() int64 {
	if s.MemoryBytes == 0 {
		return defaultResponseMemory
	}
	return int64(responseMemoryShare * float64(s.MemoryBytes))
}

// changeWithin returns the time limit for applying any change in the store.
func (s *Settings) changeWithin() time.Duration { return min(s.ApplyWithin, s.DrainWithin) }
