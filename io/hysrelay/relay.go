// Package hysrelay hands what one frontend daemon has learned from the store to
// others that the store does not serve.
//
// # Usage
//
//	http.Serve(listener, hysrelay.NewHandler(view))
//	c := hysrelay.NewClient()
//	v, err := c.View(ctx, "10.1.0.4:7740", known)
package hysrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
)

// Timeouts of a call.
const (
	dialTimeout = 200 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// View is what a daemon has learned from the store.
type View struct {
	// Revision is that of the store; 0 stands for no view.
	Revision hysmember.Revision
	// Age is how long ago the store last served the daemon.
	Age time.Duration
	// Configuration is as it lies in the store.
	Configuration         []byte
	ConfigurationRevision hysmember.Revision
	Entries               hysmember.Entries
}

// ViewFunc returns the view of this daemon.
type ViewFunc func() View

type server struct {
	view ViewFunc
}

// NewHandler serves the view of this daemon.
func NewHandler(view ViewFunc) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(frontconnect.NewFrontServiceHandler(&server{view: view}))
	return mux
}

// View answers a daemon that the store does not serve.
func (s *server) View(_ context.Context, r *connect.Request[front.ViewRequest]) (*connect.Response[front.ViewReply], error) {
	v := s.view()
	if int64(v.Revision) <= r.Msg.KnownRevision {
		return connect.NewResponse(&front.ViewReply{AgeMs: v.Age.Milliseconds()}), nil
	}
	reply := &front.ViewReply{
		Revision: int64(v.Revision), AgeMs: v.Age.Milliseconds(),
		Configuration: v.Configuration, ConfigurationRevision: int64(v.ConfigurationRevision),
	}
	for _, e := range v.Entries {
		reply.Searchers = append(reply.Searchers, &front.Searcher{
			Id: string(e.Searcher.ID), Service: string(e.Searcher.Service), Address: string(e.Searcher.Address),
			Zone: string(e.Searcher.Zone), Leaving: e.Searcher.Leaving, Slots: int32(e.Slots),
			Born: e.Born, Sequence: e.Sequence, Revision: int64(e.Revision),
		})
	}
	return connect.NewResponse(reply), nil
}

// Client asks other daemons. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, IdleConnTimeout: idleTimeout}}}
}

// View asks a daemon for its view. Its revision is 0 if it is not newer than
// the one that is known.
func (c *Client) View(ctx context.Context, address hysmember.Address, known hysmember.Revision) (View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(address))
	r, err := service.View(ctx, connect.NewRequest(&front.ViewRequest{KnownRevision: int64(known)}))
	if err != nil {
		return View{}, fmt.Errorf("Client.View: %s: %w", address, err)
	}
	return decode(r.Msg), nil
}

func decode(r *front.ViewReply) View {
	v := View{
		Revision: hysmember.Revision(r.Revision), Age: time.Duration(r.AgeMs) * time.Millisecond,
		Configuration: r.Configuration, ConfigurationRevision: hysmember.Revision(r.ConfigurationRevision),
	}
	for _, s := range r.Searchers {
		v.Entries = append(v.Entries, hysmember.Entry{
			Searcher: hysmember.Searcher{
				ID: hysmember.SearcherID(s.Id), Service: hysservice.Name(s.Service), Address: hysmember.Address(s.Address),
				Zone: hysmember.Zone(s.Zone), Leaving: s.Leaving,
			},
			Slots: int(s.Slots), Born: s.Born, Sequence: s.Sequence, Revision: hysmember.Revision(s.Revision),
		})
	}
	return v
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
