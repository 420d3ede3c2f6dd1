// Package hyssettings reads and validates the settings file of a daemon, which is
// JSON with comments.
// docs/SETTINGS.md describes each field.
//
// # Usage
//
//	s, problems, err := hyssettings.Load("entry-1.hujson")
package hyssettings

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hyshttp"
)

// ErrInvalid is returned for a settings file with problems.
const ErrInvalid = errors.ConstError("invalid settings")

// Limits and defaults of the settings. The names with a Secret are limits of a
// secret and of the file that holds it.
const (
	DefaultConcurrentRequests = 1024
	MaxConcurrentRequests     = 100_000
	DefaultConnectionCap      = 8
	DefaultConnections        = 4096
	MaxConnections            = 1_000_000
	DefaultRequestMemory      = 16 << 20
	MinRequestMemory          = 1 << 20
	MaxRequestMemory          = 1 << 40
	DefaultMaxHeaderBytes     = 16 << 10
	MinMaxHeaderBytes         = 1 << 10
	MaxMaxHeaderBytes         = 1 << 20
	DefaultReadTimeout        = hysservice.Milliseconds(10_000)
	DefaultIdleTimeout        = hysservice.Milliseconds(60_000)
	DefaultWriteTimeout       = hysservice.Milliseconds(10_000)
	MaxTimeout                = hysservice.Milliseconds(600_000)
	DefaultDrain              = hysservice.Milliseconds(1_000)
	MaxDrain                  = hysservice.Milliseconds(60_000)
	MinSecretBytes            = 16
	MaxSecretFileBytes        = 4 << 10
)

// Settings are the settings of one daemon.
type Settings struct {
	Instance hysmember.InstanceID `json:"instance"`
	Zone     hysmember.Zone       `json:"zone"`
	Region   hysmember.Region     `json:"region"`
	// CallerAddress is the listen address for callers, PeerAddress that for
	// other daemons, OperatorAddress that for operators and metrics.
	// StoreAddress is where the store is reached.
	CallerAddress   hysmember.Address `json:"caller-address"`
	PeerAddress     hysmember.Address `json:"peer-address"`
	OperatorAddress hysmember.Address `json:"operator-address"`
	StoreAddress    hysmember.Address `json:"store-address"`
	// Each secret is set either directly or by the path of a file that holds it.
	PeerSecret         string `json:"peer-secret"`
	PeerSecretFile     string `json:"peer-secret-file"`
	OperatorSecret     string `json:"operator-secret"`
	OperatorSecretFile string `json:"operator-secret-file"`
	// ConcurrentRequests is the maximum number of callers' requests that run at
	// the same time.
	ConcurrentRequests int `json:"concurrent-requests"`
	// Connections is the maximum number of open connections of each port.
	Connections int `json:"connections"`
	// RequestMemory is what the requests that arrive and run may hold together, in bytes, at
	// each port.
	RequestMemory int `json:"request-memory-bytes"`
	// ConnectionCap is the maximum number of connections from this daemon to a
	// searcher.
	ConnectionCap int `json:"connection-cap"`
	// MaxHeaderBytes is the maximum size of the header of an HTTP request.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// ReadTimeout limits the time to receive a whole request, IdleTimeout the
	// wait for the next request on a connection, WriteTimeout each write of a
	// response.
	ReadTimeout  hysservice.Milliseconds `json:"read-timeout-ms"`
	IdleTimeout  hysservice.Milliseconds `json:"idle-timeout-ms"`
	WriteTimeout hysservice.Milliseconds `json:"write-timeout-ms"`
	// Drain is how long a stopping daemon goes on accepting requests, so that the
	// load balancer and its peers notice that it is leaving.
	Drain hysservice.Milliseconds `json:"drain-ms"`
	// Baseline disables parts of the scheduling policy.
	Baseline Baseline `json:"baseline"`
}

// Baseline disables parts of the scheduling policy, to measure what they
// contribute.
type Baseline struct {
	DirectFanOut    bool `json:"direct-fan-out"`
	NoHedging       bool `json:"no-hedging"`
	NoAdmission     bool `json:"no-admission"`
	FirstInFirstOut bool `json:"first-in-first-out"`
}

// Load reads a settings file. With ErrInvalid it returns every problem found.
func Load(path string) (Settings, []Problem, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("Load: %w", err)
	}
	return Parse(data)
}

// Parse parses the text of a settings file and reads the secret files that it
// names. With ErrInvalid it returns every problem found.
func Parse(data []byte) (Settings, []Problem, error) {
	s, problems := read(data)
	if len(problems) > 0 {
		return s, problems, fmt.Errorf("Parse: %w", ErrInvalid)
	}
	return s, nil, nil
}

// Defaults sets the fields that are zero to their defaults.
func (s *Settings) Defaults() {
	setDefault(&s.ConcurrentRequests, DefaultConcurrentRequests)
	setDefault(&s.Connections, DefaultConnections)
	setDefault(&s.RequestMemory, DefaultRequestMemory)
	setDefault(&s.ConnectionCap, DefaultConnectionCap)
	setDefault(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefaultMilliseconds(&s.ReadTimeout, DefaultReadTimeout)
	setDefaultMilliseconds(&s.IdleTimeout, DefaultIdleTimeout)
	setDefaultMilliseconds(&s.WriteTimeout, DefaultWriteTimeout)
	setDefaultMilliseconds(&s.Drain, DefaultDrain)
}

func setDefault(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

func setDefaultMilliseconds(value *hysservice.Milliseconds, defaultValue hysservice.Milliseconds) {
	if *value == 0 {
		*value = defaultValue
	}
}

// stateMemory is about what a daemon takes beside the requests, in bytes.
const stateMemory = 64 << 20

// requestMemoryFactor is how many times their bytes requests may take: at the callers' and
// the operators' port, and twice while a body is put together.
const requestMemoryFactor = 4

// CollectorLimit returns the memory at which the runtime collects garbage more often, in
// bytes.
func (s *Settings) CollectorLimit() int64 {
	return stateMemory + requestMemoryFactor*int64(s.RequestMemory)
}

// Limits returns the limits of an HTTP port whose request bodies have at most
// maxBody bytes.
func (s *Settings) Limits(maxBody int) hyshttp.Limits {
	return hyshttp.Limits{
		Body: maxBody, Header: s.MaxHeaderBytes, Connections: s.Connections, Memory: int64(s.RequestMemory),
		Read: s.ReadTimeout.Duration(), Idle: s.IdleTimeout.Duration(), Write: s.WriteTimeout.Duration(),
	}
}
