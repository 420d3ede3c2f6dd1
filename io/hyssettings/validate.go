package hyssettings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
)

// readSecrets reads the secrets that are kept in files and validates all secrets.
// No message contains a secret.
func (s *Settings) readSecrets(p *problems) {
	p.readSecret("peer-secret", s.PeerSecretFile, &s.PeerSecret)
	p.readSecret("operator-secret", s.OperatorSecretFile, &s.OperatorSecret)
}

func (p *problems) readSecret(name, path string, secret *string) {
	file := name + "-file"
	switch {
	case p.given(name) && p.given(file):
		p.add(file, "must not be given together with %s", name)
		return
	case !p.given(name) && !p.given(file):
		p.add(name, "must be given, or %s", file)
		return
	case !p.given(file) || p.invalid[file]:
		p.checkSecret(name, *secret)
		return
	}
	data, err := readLimited(path)
	if err != nil {
		var cause *os.PathError
		errors.As(err, &cause)
		p.add(file, "can't be read: %v", cause.Err)
		return
	}
	if len(data) > MaxSecretFileBytes {
		p.add(file, "the file has more than %d bytes", MaxSecretFileBytes)
		return
	}
	*secret = strings.TrimSpace(string(data))
	p.checkSecret(file, *secret)
}

// readLimited reads at most one byte more than a secret file may have, which is
// enough to detect that the file is too large.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxSecretFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return data, nil
}

func (p *problems) checkSecret(name, secret string) {
	if p.invalid[name] {
		return
	}
	if len(secret) < MinSecretBytes {
		p.add(name, "the secret must have at least %d bytes, it has %d", MinSecretBytes, len(secret))
	}
	if strings.ContainsFunc(secret, func(r rune) bool { return r < '!' || r > '~' }) {
		p.add(name, "the secret must have printable ASCII characters only, without spaces")
	}
}

// validate adds a problem for every missing field and every invalid value.
func (s *Settings) validate(p *problems) {
	p.checkName("instance", string(s.Instance))
	p.checkName("zone", string(s.Zone))
	p.checkName("region", string(s.Region))
	s.validateAddresses(p)
	s.readSecrets(p)
	p.checkRange("concurrent-requests", int64(s.ConcurrentRequests), 1, MaxConcurrentRequests)
	p.checkRange("connections", int64(s.Connections), 1, MaxConnections)
	p.checkRange("request-memory-bytes", int64(s.RequestMemory), MinRequestMemory, MaxRequestMemory)
	p.checkRange("connection-cap", int64(s.ConnectionCap), 1, hysservice.MaxSearcherConnections)
	p.checkRange("max-header-bytes", int64(s.MaxHeaderBytes), MinMaxHeaderBytes, MaxMaxHeaderBytes)
	p.checkRange("read-timeout-ms", int64(s.ReadTimeout), 1, int64(MaxTimeout))
	p.checkRange("idle-timeout-ms", int64(s.IdleTimeout), 1, int64(MaxTimeout))
	p.checkRange("write-timeout-ms", int64(s.WriteTimeout), 1, int64(MaxTimeout))
	p.checkRange("drain-ms", int64(s.Drain), 1, int64(MaxDrain))
}

func (p *problems) checkName(name, value string) {
	switch {
	case !p.given(name):
		p.add(name, "must be given: kebab case of at most 63 bytes")
	case !hysservice.ValidName(value):
		p.add(name, "%q is not kebab case of at most 63 bytes, such as accra-1", value)
	}
}

func (p *problems) checkRange(name string, value, low, high int64) {
	if p.given(name) && (value < low || value > high) {
		p.add(name, "%d is not in %d..%d", value, low, high)
	}
}

func (s *Settings) validateAddresses(p *problems) {
	seen := make(map[netip.AddrPort]string)
	addresses := []struct {
		name  string
		value hysmember.Address
	}{
		{"caller-address", s.CallerAddress},
		{"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress},
		{"store-address", s.StoreAddress},
	}
	for _, a := range addresses {
		if !p.given(a.name) {
			p.add(a.name, "must be given: an IP number and a port, such as 127.0.0.1:7101")
			continue
		}
		parsed, err := netip.ParseAddrPort(string(a.value))
		if err != nil || parsed.Port() == 0 {
			p.add(a.name, "%q is not an IP number and a port, such as 127.0.0.1:7101", a.value)
			continue
		}
		if other, ok := seen[parsed]; ok {
			p.add(a.name, "is the same as %s; each needs its own port", other)
			continue
		}
		seen[parsed] = a.name
	}
}
