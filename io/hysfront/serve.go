package hysfront

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysrelay"
)

// MetricsPort and MetricsPath are where the metrics are served.
const (
	MetricsPort = 19_090
	MetricsPath = "/metrics"
)

// Limits of the callers' connections.
const (
	// maxHeadBytes bounds a head before the configuration's limit is looked up.
	maxHeadBytes = 64 << 10
	// ownTimeout bounds a request to the ports that callers don't use.
	ownTimeout = 5 * time.Second
	// ownIdleTimeout is longer than other daemons keep a connection.
	ownIdleTimeout = 30 * time.Second
)

// Times of a planned stop.
const (
	// acceptTime is how long new connections still come after the daemon is no
	// longer ready: two probes and their interval.
	acceptTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// port is one of the daemon's ports.
type port struct {
	name    string
	address hysmember.Address
	serve   func(net.Listener) error
	close   func()
}

// ports are those that the daemon serves.
func (f *Front) ports() []port {
	metrics := hysmember.Address(net.JoinHostPort(f.settings.Address, strconv.Itoa(MetricsPort)))
	return []port{
		{name: "callers", address: f.settings.CallerAddress, serve: f.callers.Serve, close: f.callers.close},
		f.ownPort("readiness", f.settings.ReadinessAddress, http.HandlerFunc(f.serveReadiness)),
		f.ownPort("metrics", metrics, f.metrics.Handler()),
		f.ownPort("peers", f.settings.PeerAddress, hysrelay.NewHandler(f.tell, f.gather)),
	}
}

// ownPort is a port that callers don't use.
func (f *Front) ownPort(name string, address hysmember.Address, handler http.Handler) port {
	s := &http.Server{
		Handler: handler, ReadTimeout: ownTimeout, IdleTimeout: ownIdleTimeout, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	// Nothing is served on it any more when it is closed.
	return port{name: name, address: address, serve: s.Serve, close: func() { _ = s.Close() }}
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
				f.log.Error("port lost", "port", p.name, "error", err)
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

// drain stops the daemon without cutting a request: first no new callers come,
// then what runs is finished.
func (f *Front) drain(ports []port) {
	f.leaving.Store(true)
	f.mu.Lock()
	grace := f.settings.StopGrace
	f.mu.Unlock()
	f.log.Info("stopping", "stop-grace", grace)
	accept := min(acceptTime, grace/2)
	time.Sleep(accept)
	ctx, cancel := context.WithTimeout(context.Background(), grace-accept-stopMargin)
	defer cancel()
	if err := f.callers.shutdown(ctx); err != nil {
		f.log.Warn("stopped with requests in flight", "error", err)
	}
	f.finishGathering(ctx)
	closePorts(ports)
}
