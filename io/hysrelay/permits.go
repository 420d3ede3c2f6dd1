package hysrelay

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/front/frontconnect"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/io/hyspermit"
)

// Permits answers another daemon's request for permits.
func (s *server) Permits(_ context.Context, r *connect.Request[peer.PermitsRequest]) (*connect.Response[peer.PermitsReply], error) {
	return connect.NewResponse(hyspermit.EncodeReply(s.permits(hyspermit.DecodeRequest(r.Msg)))), nil
}

// Permits asks a daemon for permits of rate limits. The error wraps
// hyspermit.ErrDeclined if it has declined.
func (c *Client) Permits(ctx context.Context, to hysmember.Instance, r hyspermit.Request) (hyslimit.Grants, error) {
	askedAt := time.Now()
	service := frontconnect.NewFrontServiceClient(c.http, "http://"+string(to.Address))
	reply, err := service.Permits(ctx, connect.NewRequest(hyspermit.EncodeRequest(r)))
	if err != nil {
		return nil, fmt.Errorf("Client.Permits: %w", err)
	}
	grants, err := hyspermit.DecodeReply(reply.Msg, askedAt)
	if err != nil {
		return nil, fmt.Errorf("Client.Permits: %w", err)
	}
	return grants, nil
}
