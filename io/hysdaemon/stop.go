package hysdaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"hyssopshore/core/hysservice"
	"hyssopshore/io/hyshttp"
)

// Timeout and interval of a graceful stop.
const (
	// stopTimeout bounds the stop. It is longer than any request can run.
	stopTimeout = time.Duration(hysservice.MaxDeadlineLimit)*time.Millisecond + 5*time.Second
	// idlePollInterval is the interval at which a stopping daemon checks whether
	// work is running.
	idlePollInterval = 10 * time.Millisecond
)

// closeWhenLeaving closes the connection of each answered request once this
// instance is leaving, so that callers connect to another instance.
func (d *Daemon) closeWhenLeaving(ctx context.Context, c *app.RequestContext) {
	c.Next(ctx)
	if d.leaving.Load() {
		c.SetConnectionClose()
	}
}

// drain reports to the load balancer and the peers that this instance is
// leaving. It still accepts requests during the drain time, until they have
// noticed.
func (d *Daemon) drain(ctx context.Context) {
	d.leaving.Store(true)
	d.log.Info("draining", "reason", "asked to stop", "drain-ms", d.settings.Drain)
	d.exchanger.Announce(ctx)
	time.Sleep(d.settings.Drain.Duration())
}

// shutdown closes the servers after all work has finished: the requests of
// callers, up to the recording of the answer and the last byte of the response,
// and the parts dispatched by peers.
func (d *Daemon) shutdown(callers, operators *hyshttp.Server, peers *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.awaitIdle(ctx, callers)
	_ = callers.Stop(ctx)
	_ = peers.Shutdown(ctx)
	_ = operators.Stop(ctx)
}

func (d *Daemon) awaitIdle(ctx context.Context, callers *hyshttp.Server) {
	for callers.InFlight()+d.server.Running() > 0 && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
}
