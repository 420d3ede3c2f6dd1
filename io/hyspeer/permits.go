package hyspeer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/io/hyspermit"
)

// Permits answers another instance's request for permits of rate limits.
func (s *Server) Permits(_ context.Context, r *connect.Request[peer.PermitsRequest]) (*connect.Response[peer.PermitsReply], error) {
	return connect.NewResponse(hyspermit.EncodeReply(s.permits(hyspermit.DecodeRequest(r.Msg)))), nil
}

// Permits asks an instance for permits of rate limits. The error wraps
// hyspermit.ErrDeclined if it has declined.
func (c *Client) Permits(ctx context.Context, to hysmember.Instance, r hyspermit.Request) (hyslimit.Grants, error) {
	request := connect.NewRequest(hyspermit.EncodeRequest(r))
	request.Header().Set(headerSecret, c.secret)
	l := c.link(to.Address)
	ctx, stop := l.callContext(ctx, c.secret, c.abandon)
	defer stop()
	askedAt := time.Now()
	response, err := l.peer.Permits(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("Client.Permits: %s: %w", to.ID, err)
	}
	l.recordAnswer()
	grants, err := hyspermit.DecodeReply(response.Msg, askedAt)
	if err != nil {
		return nil, fmt.Errorf("Client.Permits: %s: %w", to.ID, err)
	}
	return grants, nil
}
