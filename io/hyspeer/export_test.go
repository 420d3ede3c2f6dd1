package hyspeer

import (
	"context"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
)

// DispatchWithoutProbe sends a part without probing the connection first.
func DispatchWithoutProbe(c *Client, to hysmember.Address, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	ctx, cancel := context.WithDeadline(context.Background(), part.Deadline)
	defer cancel()
	return c.dispatch(ctx, c.link(to), part)
}
