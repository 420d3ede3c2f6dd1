package hyslisten

import (
	"context"
	"net"
	"net/http"
)

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// ConnContext is the ConnContext of an http.Server that serves a Listener.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it is none of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Handler marks each request as answered once a handler has returned.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer FromContext(r.Context()).End()
		next.ServeHTTP(w, r)
	})
}
