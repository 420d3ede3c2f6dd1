// Package hysrelay lets frontend daemons call each other. A daemon sends the state
// that it has read from the store to others: to those that follow it instead of the
// store, and to those that the store does not serve. It also gathers queries for
// others.
//
// # Usage
//
//	http.Serve(listener, hysrelay.NewHandler(follow, gather, run, permits))
//	c := hysrelay.NewClient()
//	reply, err := c.Follow(ctx, "10.1.0.4:7740", hysrelay.FollowRequest{Since: cursor, Wait: time.Second})
//	cursor = reply.Cursor
package hysrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/front"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/internal/hyswire"
	"hyssopshore/io/hyspermit"
)

// Timeouts of a call.
const (
	dialTimeout = 200 * time.Millisecond
	// CallTimeout is how much longer a call may take than the wait that it requests.
	CallTimeout = 400 * time.Millisecond
	idleTimeout = 10 * time.Second
	// maxIdle bounds the idle connections to one daemon. One that runs what this daemon
	// can't has many calls at the same time.
	maxIdle = 32
	// maxWait bounds how long a daemon waits for updates before it answers.
	maxWait = 2 * time.Second
)

// MaxRequestBytes bounds the size of another daemon's request.
const MaxRequestBytes = 4 << 20

// Cursor is the position up to which the updates of a daemon were received.
type Cursor struct {
	// Incarnation identifies one start of the daemon.
	Incarnation string
	Version     hysmember.Version
}

// FollowReply holds the updates of a daemon since a cursor.
type FollowReply struct {
	Cursor Cursor
	// Revision is the store revision of the daemon's state; zero if it has none.
	Revision hysmember.Revision
	// Age is how long ago the daemon was last up to date with the store. To what the
	// daemon states, Client.Follow adds all the time that the call may have taken on
	// the way: a copy must never count as younger than its original, or two daemons
	// that copy from each other would take themselves for up to date.
	Age time.Duration
	// Configuration is the encoded configuration as the store holds it; empty if it
	// has not changed.
	Configuration         []byte
	ConfigurationRevision hysmember.Revision
	Searchers             hysmember.Delta
	// Instances are all announced instances; empty if they have not changed.
	Instances hysmember.Instances
	// Suspects is the crash evidence of all suspect requests; empty if it has not
	// changed.
	Suspects hysquarantine.Records
}

// FollowRequest asks a daemon for its updates.
type FollowRequest struct {
	Since Cursor
	// Wait is how long the daemon may wait for updates.
	Wait time.Duration
	// Departures are the searchers that have announced to the requesting daemon
	// that they are leaving.
	Departures hysmember.Departures
	// Era is the era of the store that the requesting daemon knows.
	Era hysmember.Era
	// AgeOnly asks for the age and the revision of the state alone, at once. A daemon
	// of the release before sends the whole state.
	AgeOnly bool
}

// FollowFunc waits until there are updates, or until the wait of the request ends,
// and returns the reply.
type FollowFunc func(context.Context, FollowRequest) FollowReply

// PermitsFunc answers a request for permits of rate limits.
type PermitsFunc func(hyspermit.Request) (hyslimit.Grants, error)

type server struct {
	follow  FollowFunc
	gather  GatherFunc
	run     RunFunc
	permits PermitsFunc
	// confirmations are those of the calls that run here.
	confirmations confirmations
}

// NewHandler returns a handler of the calls of other daemons: follow answers
// requests for updates, gather answers delegated queries, run runs sub-requests, permits
// answers requests for permits.
func NewHandler(follow FollowFunc, gather GatherFunc, run RunFunc, permits PermitsFunc) http.Handler {
	mux := http.NewServeMux()
	s := &server{
		follow: follow, gather: gather, run: run, permits: permits,
		confirmations: confirmations{pending: make(map[callNumber]chan struct{})},
	}
	mux.Handle(frontconnect.NewFrontServiceHandler(s, connect.WithReadMaxBytes(MaxRequestBytes)))
	return mux
}

// Follow answers another daemon's request for updates.
func (s *server) Follow(ctx context.Context, r *connect.Request[front.FollowRequest]) (*connect.Response[front.FollowReply], error) {
	request := FollowRequest{
		Since:      Cursor{Incarnation: r.Msg.Source, Version: hysmember.Version(r.Msg.Version)},
		Wait:       min(time.Duration(r.Msg.WaitMs)*time.Millisecond, maxWait),
		Departures: decodeDepartures(r.Msg.Leavers),
		Era:        hysmember.Era(r.Msg.Era),
		AgeOnly:    r.Msg.AgeOnly,
	}
	began := time.Now()
	reply := encodeFollowReply(s.follow(ctx, request))
	reply.HeldUs = time.Since(began).Microseconds()
	return connect.NewResponse(reply), nil
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// acceptTimeout is how long a gatherer may take to accept a query.
	acceptTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithAcceptTimeout replaces the time within which a gatherer must accept a query.
func WithAcceptTimeout(span time.Duration) Option {
	return func(c *Client) { c.acceptTimeout = span }
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: d.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdle}
	c := &Client{http: &http.Client{Transport: transport}, acceptTimeout: defaultAcceptTimeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// Follow requests the updates of a daemon since a cursor. The daemon answers once it
// has updates, or when the wait of the request ends.
func (c *Client) Follow(ctx context.Context, address hysmember.Address, request FollowRequest) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+CallTimeout)
	defer cancel()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(address))
	began := time.Now()
	r, err := service.Follow(ctx, connect.NewRequest(&front.FollowRequest{
		Source: request.Since.Incarnation, Version: uint64(request.Since.Version), WaitMs: request.Wait.Milliseconds(),
		Leavers: encodeDepartures(request.Departures), Era: int64(request.Era), AgeOnly: request.AgeOnly,
	}))
	if err != nil {
		return FollowReply{}, fmt.Errorf("Client.Follow: %s: %w", address, err)
	}
	reply := decodeFollowReply(r.Msg)
	held := time.Duration(r.Msg.HeldUs) * time.Microsecond
	reply.Age += max(0, time.Since(began)-held)
	return reply, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func encodeFollowReply(reply FollowReply) *front.FollowReply {
	r := &front.FollowReply{
		Source: reply.Cursor.Incarnation, Version: uint64(reply.Cursor.Version),
		Revision: reply.Revision.Number, Era: int64(reply.Revision.Era), AgeMs: ceilMilliseconds(reply.Age),
		Configuration: reply.Configuration, ConfigurationRevision: reply.ConfigurationRevision.Number,
		ConfigurationEra: int64(reply.ConfigurationRevision.Era),
		Whole:            reply.Searchers.Full, Digest: uint64(reply.Searchers.Digest),
	}
	for _, e := range reply.Searchers.Entries {
		r.Searchers = append(r.Searchers, &front.Searcher{
			Id: string(e.Searcher.ID), Service: string(e.Searcher.Service), Address: string(e.Searcher.Address),
			Zone: string(e.Searcher.Zone), Leaving: e.Searcher.Leaving, Slots: int32(e.Slots),
			Born: e.StartTime, Sequence: e.Sequence, Revision: e.Revision.Number, Era: int64(e.Revision.Era),
		})
	}
	for _, g := range reply.Searchers.Removals {
		r.Gone = append(r.Gone, &front.Gone{
			Id: string(g.ID), Revision: g.Revision.Number, Era: int64(g.Revision.Era), Born: g.StartTime, Sequence: g.Sequence,
		})
	}
	for _, i := range reply.Instances {
		r.Instances = append(r.Instances, &front.Instance{
			Id: string(i.ID), Address: string(i.Address), Zone: string(i.Zone), Region: string(i.Region),
			ProcessorShare: i.ProcessorShare,
		})
	}
	r.Leavers = encodeDepartures(reply.Searchers.Departures)
	r.Suspects = hyswire.EncodeSuspects(reply.Suspects)
	return r
}

// ceilMilliseconds rounds up, so that no age gets lower on its way.
func ceilMilliseconds(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

func encodeDepartures(departures hysmember.Departures) []*front.Leaver {
	messages := make([]*front.Leaver, 0, len(departures))
	for _, d := range departures {
		messages = append(messages, &front.Leaver{Id: string(d.ID), Born: d.StartTime})
	}
	return messages
}

func decodeDepartures(messages []*front.Leaver) hysmember.Departures {
	departures := make(hysmember.Departures, 0, len(messages))
	for _, m := range messages {
		departures = append(departures, hysmember.Departure{ID: hysmember.SearcherID(m.Id), StartTime: m.Born})
	}
	return departures
}

func decodeRevision(era, number int64) hysmember.Revision {
	return hysmember.Revision{Era: hysmember.Era(era), Number: number}
}

func decodeFollowReply(r *front.FollowReply) FollowReply {
	version := hysmember.Version(r.Version)
	reply := FollowReply{
		Cursor:   Cursor{Incarnation: r.Source, Version: version},
		Revision: decodeRevision(r.Era, r.Revision), Age: time.Duration(r.AgeMs) * time.Millisecond,
		Configuration: r.Configuration, ConfigurationRevision: decodeRevision(r.ConfigurationEra, r.ConfigurationRevision),
		Searchers: hysmember.Delta{Version: version, Full: r.Whole, Digest: hysmember.Digest(r.Digest)},
	}
	for _, s := range r.Searchers {
		reply.Searchers.Entries = append(reply.Searchers.Entries, hysmember.Entry{
			Searcher: hysmember.Searcher{
				ID: hysmember.SearcherID(s.Id), Service: hysservice.Name(s.Service), Address: hysmember.Address(s.Address),
				Zone: hysmember.Zone(s.Zone), Leaving: s.Leaving,
			},
			Slots: int(s.Slots), StartTime: s.Born, Sequence: s.Sequence, Revision: decodeRevision(s.Era, s.Revision),
		})
	}
	for _, g := range r.Gone {
		reply.Searchers.Removals = append(reply.Searchers.Removals, hysmember.Removal{
			ID: hysmember.SearcherID(g.Id), Revision: decodeRevision(g.Era, g.Revision), StartTime: g.Born, Sequence: g.Sequence,
		})
	}
	for _, i := range r.Instances {
		reply.Instances = append(reply.Instances, hysmember.Instance{
			ID: hysmember.InstanceID(i.Id), Address: hysmember.Address(i.Address),
			Zone: hysmember.Zone(i.Zone), Region: hysmember.Region(i.Region), ProcessorShare: i.ProcessorShare,
		})
	}
	reply.Searchers.Departures = decodeDepartures(r.Leavers)
	reply.Suspects = hyswire.DecodeSuspects(r.Suspects)
	return reply
}
