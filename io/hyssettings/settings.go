// Package hyssettings reads the settings file of a daemon: JSON with comments.
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

// ErrInvalid is returned for a file with problems.
const ErrInvalid = errors.ConstError("invalid settings")

// Limits and defaults of the settings.
const (
	DefaultConcurrentRequests = 1024
	MaxConcurrentRequests     = 100_000
	DefaultConnectionCap      = 8
	DefaultConnections        = 4096
	MaxConnections            = 1_000_000
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

// Settings of one daemon.
type Settings struct {
	Instance hysmember.InstanceID `json:"instance"`
	Zone     hysmember.Zone       `json:"zone"`
	Region   hysmember.Region     `json:"region"`
	// CallerAddress serves callers, PeerAddress other daemons and
	// OperatorAddress operators and metrics.
	CallerAddress   hysmember.Address `json:"caller-address"`
	PeerAddress     hysmember.Address `json:"peer-address"`
	OperatorAddress hysmember.Address `json:"operator-address"`
	StoreAddress    hysmember.Address `json:"store-address"`
	// A secret is given itself or by the file that holds it.
	PeerSecret         string `json:"peer-secret"`
	PeerSecretFile     string `json:"peer-secret-file"`
	OperatorSecret     string `json:"operator-secret"`
	OperatorSecretFile string `json:"operator-secret-file"`
	// ConcurrentRequests is how many callers' requests run at once.
	ConcurrentRequests int `json:"concurrent-requests"`
	// Connections is how many connections each HTTP port keeps open.
	Connections int `json:"connections"`
	// ConnectionCap is how many connections this daemon opens to a searcher.
	ConnectionCap int `json:"connection-cap"`
	// MaxHeaderBytes is the largest header of an HTTP request, in bytes.
	MaxHeaderBytes int `json:"max-header-bytes"`
	// ReadTimeout bounds the arrival of a whole request, IdleTimeout the wait
	// for the next one, WriteTimeout a write of a response.
	ReadTimeout  hysservice.Milliseconds `json:"read-timeout-ms"`
	IdleTimeout  hysservice.Milliseconds `json:"idle-timeout-ms"`
	WriteTimeout hysservice.Milliseconds `json:"write-timeout-ms"`
	// Drain is how long a stopping daemon still takes requests, while the
	// balancer and the peers learn that it leaves.
	Drain hysservice.Milliseconds `json:"drain-ms"`
	// Baseline switches parts of the policy off, for measurements.
	Baseline Baseline `json:"baseline"`
}

// Baseline switches parts of the policy off, for measurements.
type Baseline struct {
	DirectFanOut    bool `json:"direct-fan-out"`
	NoHedging       bool `json:"no-hedging"`
	NoAdmission     bool `json:"no-admission"`
	FirstInFirstOut bool `json:"first-in-first-out"`
}

// Load reads a file. With ErrInvalid it returns every problem found.
func Load(path string) (Settings, []Problem, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("Load: %w", err)
	}
	return Parse(data)
}

// Parse reads the text of a settings file, and the files of its secrets.
func Parse(data []byte) (Settings, []Problem, error) {
	s, problems := read(data)
	if len(problems) > 0 {
		return s, problems, fmt.Errorf("Parse: %w", ErrInvalid)
	}
	return s, nil, nil
}

// Defaults fills the fields that were left out.
func (s *Settings) Defaults() {
	setDefault(&s.ConcurrentRequests, DefaultConcurrentRequests)
	setDefault(&s.Connections, DefaultConnections)
	setDefault(&s.ConnectionCap, DefaultConnectionCap)
	setDefault(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefaultTime(&s.ReadTimeout, DefaultReadTimeout)
	setDefaultTime(&s.IdleTimeout, DefaultIdleTimeout)
	setDefaultTime(&s.WriteTimeout, DefaultWriteTimeout)
	setDefaultTime(&s.Drain, DefaultDrain)
}

func setDefault(value *int, standard int) {
	if *value == 0 {
		*value = standard
	}
}

func setDefaultTime(value *hysservice.Milliseconds, standard hysservice.Milliseconds) {
	if *value == 0 {
		*value = standard
	}
}

// Limits returns the limits of an HTTP port whose requests have at most a
// number of bytes.
func (s *Settings) Limits(maxBody int) hyshttp.Limits {
	return hyshttp.Limits{
		Body: maxBody, Header: s.MaxHeaderBytes, Connections: s.Connections,
		Read: s.ReadTimeout.Duration(), Idle: s.IdleTimeout.Duration(), Write: s.WriteTimeout.Duration(),
	}
}
