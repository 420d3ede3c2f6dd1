package hysfront

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"hyssopshore/core/hysintake"
	"hyssopshore/core/hysmember"
	"hyssopshore/io/hyslisten"
	"hyssopshore/io/hysrelay"
)

// MetricsPort and MetricsPath are where the metrics are served.
const (
	MetricsPort = 19_090
	MetricsPath = "/metrics"
)

// Limits of the daemon's connections.
const (
	// maxHeaderBytes bounds the header of a request before the configuration's
	// limit applies.
	maxHeaderBytes = 64 << 10
	// internalTimeout bounds the reading of a request on the ports that callers
	// don't use.
	internalTimeout = 5 * time.Second
	// internalIdleTimeout is longer than other daemons keep an idle connection.
	internalIdleTimeout = 30 * time.Second
)

// port is one of the daemon's ports.
type port struct {
	name    string
	address hysmember.Address
	serve   func(net.Listener) error
	close   func()
}

// ports returns the ports that the daemon serves.
func (f *Front) ports() []port {
	metrics := hysmember.Address(net.JoinHostPort(f.settings.Address, strconv.Itoa(MetricsPort)))
	return []port{
		{name: "callers", address: f.settings.CallerAddress, serve: f.callerServer.Serve, close: f.callerServer.close},
		f.internalPort("readiness", f.settings.ReadinessAddress, http.HandlerFunc(f.serveReadiness), probeLimits),
		f.internalPort("metrics", metrics, f.metrics.Handler(), probeLimits),
		f.internalPort("peers", f.settings.PeerAddress, f.peerHandler(), f.settings.peerLimits()),
	}
}

// peerHandler returns the handler of other daemons' calls.
func (f *Front) peerHandler() http.Handler {
	return hyslisten.WholeBody(hysrelay.MaxRequestBytes, hysrelay.NewHandler(f.serveFollow, f.gather, f.runForAnother, f.permits.Serve))
}

// internalPort returns a port that callers don't use.
func (f *Front) internalPort(name string, address hysmember.Address, handler http.Handler, limits hysintake.Limits) port {
	s := &http.Server{
		Handler: hyslisten.Handler(handler), ConnContext: hyslisten.ConnContext,
		ReadTimeout: internalTimeout, IdleTimeout: internalIdleTimeout, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	return port{
		name: name, address: address,
		serve: func(l net.Listener) error { return s.Serve(f.limited(name, l, limits)) },
		// The server is not used any more when it is closed, so an error does not matter.
		close: func() { _ = s.Close() },
	}
}

// listen opens the daemon's ports and serves them.
func (f *Front) listen() ([]port, error) {
	ports := f.ports()
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", string(p.address))
		if err != nil {
			closePorts(ports)
			return nil, fmt.Errorf("listen for %s: %w", p.name, err)
		}
		go func() {
			if err := p.serve(listener); err != http.ErrServerClosed {
				f.log.Error("listener failed", "port", p.name, "error", err)
			}
		}()
	}
	return ports, nil
}

func closePorts(ports []port) {
	for _, p := range ports {
		p.close()
	}
}
