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
	maxHeadBytes   = 64 << 10
	headTimeout    = 10 * time.Second
	idleTimeout    = 75 * time.Second
	metricsTimeout = 5 * time.Second
)

// Times of a planned stop.
const (
	// acceptTime is how long new connections still come after the daemon is no
	// longer ready: two probes and their interval.
	acceptTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// servers are the daemon's ports.
type servers struct {
	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server
	peers     *http.Server
}

// listen opens the daemon's ports and serves them.
func (f *Front) listen() (*servers, error) {
	quiet := slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)
	s := &servers{
		callers: &http.Server{
			Handler: f.ingress, MaxHeaderBytes: maxHeadBytes, ErrorLog: quiet,
			ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true,
		},
		readiness: &http.Server{Handler: http.HandlerFunc(f.serveReadiness), ErrorLog: quiet, ReadHeaderTimeout: headTimeout},
		metrics:   &http.Server{Handler: f.metrics.Handler(), ErrorLog: quiet, ReadTimeout: metricsTimeout},
		peers:     &http.Server{Handler: hysrelay.NewHandler(f.view), ErrorLog: quiet, ReadTimeout: metricsTimeout},
	}
	metrics := hysmember.Address(net.JoinHostPort(f.settings.Address, strconv.Itoa(MetricsPort)))
	ports := []struct {
		name    string
		server  *http.Server
		address hysmember.Address
	}{
		{"callers", s.callers, f.settings.CallerAddress},
		{"readiness", s.readiness, f.settings.ReadinessAddress},
		{"metrics", s.metrics, metrics},
		{"peers", s.peers, f.settings.PeerAddress},
	}
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", string(p.address))
		if err != nil {
			s.close()
			return nil, fmt.Errorf("listen for %s: %w", p.name, err)
		}
		go func() {
			if err := p.server.Serve(listener); err != http.ErrServerClosed {
				f.log.Error("port lost", "port", p.name, "error", err)
			}
		}()
	}
	return s, nil
}

func (s *servers) close() {
	for _, h := range []*http.Server{s.callers, s.readiness, s.metrics, s.peers} {
		// Nothing is served on it any more.
		_ = h.Close()
	}
}

// drain stops the daemon without cutting a request: first no new callers come,
// then what runs is finished.
func (f *Front) drain(s *servers) {
	f.leaving.Store(true)
	f.mu.Lock()
	grace := f.settings.StopGrace
	f.mu.Unlock()
	f.log.Info("stopping", "stop-grace", grace)
	accept := min(acceptTime, grace/2)
	time.Sleep(accept)
	ctx, cancel := context.WithTimeout(context.Background(), grace-accept-stopMargin)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		f.log.Warn("stopped with requests in flight", "error", err)
	}
	s.close()
}
