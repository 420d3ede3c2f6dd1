package hyspeer

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/gen/peer"
)

// replyGrace is how long after the end of the budget a sub-request may still
// reply.
const replyGrace = 2 * time.Millisecond

// DispatchLocal runs a part on this instance's own dispatcher, without a socket.
func DispatchLocal(ctx context.Context, submit SubmitFunc, part hysgather.Part) []hysdispatch.SubReply {
	m := partToWire(part, 0, time.Until(part.Deadline))
	reply := dispatch(ctx, submit, m)
	replies := make([]hysdispatch.SubReply, 0, len(reply.GetShards()))
	for _, r := range reply.GetShards() {
		replies = append(replies, replyFromWire(r))
	}
	return replies
}

// indexedReply is the reply of one shard with its index in the part.
type indexedReply struct {
	index int
	reply *peer.ShardReply
}

// dispatch runs the sub-requests of a part. When the budget is used up, it
// replies with the shards that have finished.
func dispatch(ctx context.Context, submit SubmitFunc, m *peer.DispatchRequest) *peer.DispatchReply {
	now := time.Now()
	reply := &peer.DispatchReply{RequestId: m.GetRequestId(), Attempt: m.GetAttempt()}
	replies := make(chan indexedReply, len(m.GetShards()))
	for i, shard := range m.GetShards() {
		reply.Shards = append(reply.Shards, timeoutReply(m, shard))
		go func() {
			replies <- indexedReply{index: i, reply: replyToWire(submit(ctx, subRequest(m, shard, now)))}
		}()
	}
	timeout := time.NewTimer(time.Duration(m.GetBudgetUs())*time.Microsecond + replyGrace)
	defer timeout.Stop()
	for range m.GetShards() {
		select {
		case r := <-replies:
			reply.Shards[r.index] = r.reply
		case <-timeout.C:
			return reply
		}
	}
	return reply
}

// timeoutReply returns the reply for a shard that has not replied in time.
func timeoutReply(m *peer.DispatchRequest, shard uint32) *peer.ShardReply {
	return &peer.ShardReply{
		Shard: shard, Status: uint32(hysquery.ShardTimeout), Version: m.GetVersion(), Epoch: m.GetEpoch(),
		Reason: "the dispatcher's queue did not reply in time",
	}
}
