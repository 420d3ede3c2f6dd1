package hyspeer

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/gen/peer"
)

// submitGrace is how long after the budget a sub-request may still reply.
const submitGrace = 2 * time.Millisecond

// DispatchLocal runs a part on this daemon's own dispatcher, without a socket.
func DispatchLocal(ctx context.Context, submit SubmitFunc, part hysgather.Part) []hysdispatch.SubReply {
	m := partToWire(part, 0, time.Until(part.Deadline))
	reply := dispatch(ctx, submit, m)
	replies := make([]hysdispatch.SubReply, 0, len(reply.GetShards()))
	for _, r := range reply.GetShards() {
		replies = append(replies, replyFromWire(r))
	}
	return replies
}

// numbered is the reply to one shard of a part, by its place in the part.
type numbered struct {
	place int
	reply *peer.ShardReply
}

// dispatch runs the sub-requests of a part. It replies with what it has once
// the budget is used up.
func dispatch(ctx context.Context, submit SubmitFunc, m *peer.DispatchRequest) *peer.DispatchReply {
	now := time.Now()
	reply := &peer.DispatchReply{RequestId: m.GetRequestId(), Attempt: m.GetAttempt()}
	replies := make(chan numbered, len(m.GetShards()))
	for i, shard := range m.GetShards() {
		reply.Shards = append(reply.Shards, pending(m, shard))
		go func() {
			replies <- numbered{place: i, reply: replyToWire(submit(ctx, subRequest(m, shard, now)))}
		}()
	}
	late := time.NewTimer(time.Duration(m.GetBudgetUs())*time.Microsecond + submitGrace)
	defer late.Stop()
	for range m.GetShards() {
		select {
		case r := <-replies:
			reply.Shards[r.place] = r.reply
		case <-late.C:
			return reply
		}
	}
	return reply
}

// pending is the reply of a shard that has not replied.
func pending(m *peer.DispatchRequest, shard uint32) *peer.ShardReply {
	return &peer.ShardReply{
		Shard: shard, Status: uint32(hysquery.ShardTimeout), Version: m.GetVersion(), Epoch: m.GetEpoch(),
		Reason: "the dispatcher's queue did not reply in time",
	}
}
