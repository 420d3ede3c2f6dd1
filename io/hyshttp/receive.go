package hyshttp

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/juju/errors"

	"hyssopshore/io/hysconn"
)

// rejection is the answer to a request that did not arrive whole.
type rejection struct {
	status int
	reason string
}

// receive reads the body of each request before its handler runs. Hertz itself would
// take memory for a whole body when it has read the length, and several times the bytes
// of one in small chunks.
func (s *Server) receive(ctx context.Context, c *app.RequestContext) {
	conn := s.listener.find(c.RemoteAddr())
	streamed := c.Request.IsBodyStream()
	if streamed {
		if r := s.readBody(c, conn); r != nil {
			s.reject(c, conn, *r)
			return
		}
	}
	if conn == nil || !conn.Begin() {
		s.reject(c, conn, rejection{http.StatusServiceUnavailable, reasonNoRoom})
		return
	}
	if streamed {
		defer watchConnection(c)()
	}
	c.Next(ctx)
}

// readBody reads the body, or returns why it can't be read.
func (s *Server) readBody(c *app.RequestContext, conn *conn) *rejection {
	limit := int64(s.limits.Body)
	if int64(c.Request.Header.ContentLength()) > limit {
		return &rejection{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	body, err := hysconn.ReadBody(io.LimitReader(c.RequestBodyStream(), limit+1))
	var timeout net.Error
	switch {
	case err == nil && int64(len(body)) > limit:
		return &rejection{http.StatusRequestEntityTooLarge, "the body is too large"}
	case err == nil:
		c.Request.SetBodyRaw(body)
		return nil
	case conn != nil && conn.Evicted():
		return &rejection{http.StatusServiceUnavailable, reasonNoRoom}
	case errors.Is(err, hertzerrors.ErrTimeout), errors.As(err, &timeout) && timeout.Timeout():
		return &rejection{http.StatusRequestTimeout, "the request did not arrive in time"}
	default:
		return &rejection{http.StatusBadRequest, "the body can't be read"}
	}
}

// reject answers a request that has not run and closes its connection, on which the rest
// of it may be unread.
func (s *Server) reject(c *app.RequestContext, conn *conn, r rejection) {
	// The stream has nothing to close, and is not read on.
	_ = c.Request.CloseBodyStream()
	if conn != nil {
		conn.rejected.Store(true)
	}
	c.SetConnectionClose()
	if r.status == http.StatusServiceUnavailable {
		SetRetryAfter(c, BusyRetryAfter)
	}
	Write(c, r.status, s.failure(r.status, r.reason))
	c.Abort()
}

// watchConnection lets the context of a request end when its client disconnects, which
// Hertz leaves out for a request whose body is streamed. The function that it returns
// ends that.
func watchConnection(c *app.RequestContext) func() {
	watched, ok := c.GetConn().(interface {
		DetectConnectionClose()
		AbortBlockingRead()
	})
	if !ok {
		return func() {}
	}
	watched.DetectConnectionClose()
	return watched.AbortBlockingRead
}
