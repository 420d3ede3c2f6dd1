package hyshttp

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// inFlight counts the requests in flight of a server. It implements Hertz's
// tracer interface.
type inFlight struct {
	count atomic.Int64
	// ended receives the client of each request that has been answered.
	ended func(client net.Addr)
}

// Start records the start of a request.
func (f *inFlight) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	f.count.Add(1)
	return ctx
}

// Finish records the end of a request.
func (f *inFlight) Finish(_ context.Context, c *app.RequestContext) {
	f.count.Add(-1)
	f.ended(c.RemoteAddr())
}
