package hyslisten

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"hyssopshore/io/hysconn"
)

// framingBytes is how much longer than a message its body may be.
const framingBytes = 16

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

// WholeBody reads the whole body of each request, which may hold a message of maxBytes,
// before it calls a handler. A request whose connection is evicted meanwhile, or whose
// body does not arrive, is answered and does not reach the handler.
func WholeBody(maxBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := hysconn.ReadBody(http.MaxBytesReader(w, r.Body, maxBytes+framingBytes))
		conn := FromContext(r.Context())
		if err != nil || !conn.Begin() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(unreadStatus(conn, err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// unreadStatus returns the status for a request whose body was not read.
func unreadStatus(conn *Conn, err error) int {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case conn.Evicted():
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}
