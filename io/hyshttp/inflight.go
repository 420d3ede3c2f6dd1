package hyshttp

import (
	"context"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// inFlight counts the requests in flight of a server. It implements Hertz's
// tracer interface.
type inFlight struct {
	count atomic.Int64
}

// Start records the start of a request.
func (f *inFlight) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	f.count.Add(1)
	return ctx
}

// Finish records the end of a request.
func (f *inFlight) Finish(context.Context, *app.RequestContext) {
	f.count.Add(-1)
}
