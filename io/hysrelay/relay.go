// Package hysrelay lets frontend daemons call each other. One hands what it has
// learned from the store to others: to those that follow it instead of the store,
// and to those that the store does not serve. And one gathers queries for others.
//
// # Usage
//
//	http.Serve(listener, hysrelay.NewHandler(tell))
//	c := hysrelay.NewClient()
//	n, err := c.Follow(ctx, "10.1.0.4:7740", hysrelay.Question{Since: cursor, Wait: time.Second})
//	cursor = n.Cursor
package hysrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/internal/hyswire"
)

// Timeouts of a call.
const (
	dialTimeout = 200 * time.Millisecond
	// callTimeout is how much longer than its wait a call may take.
	callTimeout = 400 * time.Millisecond
	idleTimeout = 10 * time.Second
	// maxWait bounds how long a daemon waits for news.
	maxWait = 2 * time.Second
)

// maxQuestion bounds what another daemon may ask, in bytes.
const maxQuestion = 4 << 20

// Cursor tells up to where the news of a daemon have been taken over.
type Cursor struct {
	// Incarnation tells the starts of the daemon apart.
	Incarnation string
	Version     hysmember.Version
}

// FollowReply is what a daemon has learned from the store since a cursor.
type FollowReply struct {
	Cursor Cursor
	// Revision is that of the store; 0 stands for a daemon that knows nothing.
	Revision hysmember.Revision
	// Age is how long ago the store last served the daemon.
	Age time.Duration
	// Configuration is as it lies in the store; empty if it has not changed.
	Configuration         []byte
	ConfigurationRevision hysmember.Revision
	Searchers             hysmember.Delta
	// Instances are all daemons; empty if they have not changed.
	Instances hysmember.Instances
	// Suspects are the records of requests that crash searchers; empty if they
	// have not changed.
	Suspects hysquarantine.Records
}

// FollowRequest is what a daemon asks another one.
type FollowRequest struct {
	Since Cursor
	// Wait is how long to wait for news.
	Wait time.Duration
	// Departures are the searchers that have told the asking daemon that they are
	// leaving.
	Departures hysmember.Departures
}

// FollowFunc waits for news, and returns what there is in the end.
type FollowFunc func(context.Context, FollowRequest) FollowReply

type server struct {
	tell   FollowFunc
	gather GatherFunc
}

// NewHandler serves what this daemon has learned, and gathers queries for others.
func NewHandler(tell FollowFunc, gather GatherFunc) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(frontconnect.NewFrontServiceHandler(&server{tell: tell, gather: gather}, connect.WithReadMaxBytes(maxQuestion)))
	return mux
}

// Follow answers another daemon.
func (s *server) Follow(ctx context.Context, r *connect.Request[front.FollowRequest]) (*connect.Response[front.FollowReply], error) {
	q := FollowRequest{
		Since:      Cursor{Incarnation: r.Msg.Source, Version: hysmember.Version(r.Msg.Version)},
		Wait:       min(time.Duration(r.Msg.WaitMs)*time.Millisecond, maxWait),
		Departures: decodeLeavers(r.Msg.Leavers),
	}
	return connect.NewResponse(encode(s.tell(ctx, q))), nil
}

// Client asks other daemons. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// acceptTimeout is how long a gatherer may take to say that it takes a query.
	acceptTimeout time.Duration
}

// Option changes a Client.
type Option func(*Client)

// WithAcceptTimeout replaces how long a gatherer may take to say that it takes a
// query.
func WithAcceptTimeout(span time.Duration) Option {
	return func(c *Client) { c.acceptTimeout = span }
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: d.DialContext, IdleConnTimeout: idleTimeout}
	c := &Client{http: &http.Client{Transport: transport}, acceptTimeout: defaultAcceptTimeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// Follow asks a daemon for its news since a cursor, and waits for some.
func (c *Client) Follow(ctx context.Context, address hysmember.Address, q FollowRequest) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+callTimeout)
	defer cancel()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(address))
	r, err := service.Follow(ctx, connect.NewRequest(&front.FollowRequest{
		Source: q.Since.Incarnation, Version: uint64(q.Since.Version), WaitMs: q.Wait.Milliseconds(),
		Leavers: encodeLeavers(q.Departures),
	}))
	if err != nil {
		return FollowReply{}, fmt.Errorf("Client.Follow: %s: %w", address, err)
	}
	return decode(r.Msg), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func encode(n FollowReply) *front.FollowReply {
	r := &front.FollowReply{
		Source: n.Cursor.Incarnation, Version: uint64(n.Cursor.Version),
		Revision: int64(n.Revision), AgeMs: n.Age.Milliseconds(),
		Configuration: n.Configuration, ConfigurationRevision: int64(n.ConfigurationRevision),
		Whole: n.Searchers.Full, Digest: uint64(n.Searchers.Digest),
	}
	for _, e := range n.Searchers.Entries {
		r.Searchers = append(r.Searchers, &front.Searcher{
			Id: string(e.Searcher.ID), Service: string(e.Searcher.Service), Address: string(e.Searcher.Address),
			Zone: string(e.Searcher.Zone), Leaving: e.Searcher.Leaving, Slots: int32(e.Slots),
			Born: e.StartTime, Sequence: e.Sequence, Revision: int64(e.Revision),
		})
	}
	for _, g := range n.Searchers.Removals {
		r.Gone = append(r.Gone, &front.Gone{Id: string(g.ID), Revision: int64(g.Revision)})
	}
	for _, i := range n.Instances {
		r.Instances = append(r.Instances, &front.Instance{
			Id: string(i.ID), Address: string(i.Address), Zone: string(i.Zone), Region: string(i.Region),
			ProcessorShare: i.ProcessorShare,
		})
	}
	r.Leavers = encodeLeavers(n.Searchers.Departures)
	r.Suspects = hyswire.EncodeSuspects(n.Suspects)
	return r
}

func encodeLeavers(leavers hysmember.Departures) []*front.Leaver {
	messages := make([]*front.Leaver, 0, len(leavers))
	for _, l := range leavers {
		messages = append(messages, &front.Leaver{Id: string(l.ID), Born: l.StartTime})
	}
	return messages
}

func decodeLeavers(messages []*front.Leaver) hysmember.Departures {
	leavers := make(hysmember.Departures, 0, len(messages))
	for _, m := range messages {
		leavers = append(leavers, hysmember.Departure{ID: hysmember.SearcherID(m.Id), StartTime: m.Born})
	}
	return leavers
}

func decode(r *front.FollowReply) FollowReply {
	version := hysmember.Version(r.Version)
	n := FollowReply{
		Cursor:   Cursor{Incarnation: r.Source, Version: version},
		Revision: hysmember.Revision(r.Revision), Age: time.Duration(r.AgeMs) * time.Millisecond,
		Configuration: r.Configuration, ConfigurationRevision: hysmember.Revision(r.ConfigurationRevision),
		Searchers: hysmember.Delta{Version: version, Full: r.Whole, Digest: hysmember.Digest(r.Digest)},
	}
	for _, s := range r.Searchers {
		n.Searchers.Entries = append(n.Searchers.Entries, hysmember.Entry{
			Searcher: hysmember.Searcher{
				ID: hysmember.SearcherID(s.Id), Service: hysservice.Name(s.Service), Address: hysmember.Address(s.Address),
				Zone: hysmember.Zone(s.Zone), Leaving: s.Leaving,
			},
			Slots: int(s.Slots), StartTime: s.Born, Sequence: s.Sequence, Revision: hysmember.Revision(s.Revision),
		})
	}
	for _, g := range r.Gone {
		n.Searchers.Removals = append(n.Searchers.Removals, hysmember.Removal{ID: hysmember.SearcherID(g.Id), Revision: hysmember.Revision(g.Revision)})
	}
	for _, i := range r.Instances {
		n.Instances = append(n.Instances, hysmember.Instance{
			ID: hysmember.InstanceID(i.Id), Address: hysmember.Address(i.Address),
			Zone: hysmember.Zone(i.Zone), Region: hysmember.Region(i.Region), ProcessorShare: i.ProcessorShare,
		})
	}
	n.Searchers.Departures = decodeLeavers(r.Leavers)
	n.Suspects = hyswire.DecodeSuspects(r.Suspects)
	return n
}
