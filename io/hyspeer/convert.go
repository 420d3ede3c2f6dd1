package hyspeer

import (
	"encoding/json"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/gen/peer"
)

// infoToWire converts a searcher's info to its protocol message.
func infoToWire(i hysmember.Info) *peer.SearcherInfo {
	m := &peer.SearcherInfo{
		Searcher: string(i.Searcher), Service: string(i.Service),
		Incarnation: i.Incarnation, Draining: i.Draining,
	}
	for _, h := range i.Holdings {
		holding := &peer.Holding{Epoch: uint64(h.Epoch), Shard: uint32(h.Shard), From: h.From, To: h.To}
		for _, v := range h.Versions {
			holding.Versions = append(holding.Versions, uint64(v))
		}
		m.Holdings = append(m.Holdings, holding)
	}
	return m
}

// infoFromWire converts a protocol message to a searcher's info.
func infoFromWire(m *peer.SearcherInfo) hysmember.Info {
	i := hysmember.Info{
		Searcher: hysmember.SearcherID(m.GetSearcher()), Service: hysservice.Name(m.GetService()),
		Incarnation: m.GetIncarnation(), Draining: m.GetDraining(),
	}
	for _, h := range m.GetHoldings() {
		holding := hyssnapshot.Holding{
			Epoch: hyssnapshot.Epoch(h.GetEpoch()),
			Range: hyssnapshot.Range{Shard: hysservice.ShardID(h.GetShard()), From: h.GetFrom(), To: h.GetTo()},
		}
		for _, v := range h.GetVersions() {
			holding.Versions = append(holding.Versions, hyssnapshot.Version(v))
		}
		i.Holdings = append(i.Holdings, holding)
	}
	return i
}

func partToWire(p hysgather.Part, attempt uint64, budget time.Duration) *peer.DispatchRequest {
	m := &peer.DispatchRequest{
		RequestId: string(p.Query.RequestID), Attempt: attempt,
		Group: string(p.Query.Group), Weight: p.Weight,
		Service: string(p.Query.Service), Class: uint32(p.Query.Class),
		Idempotent: !p.Query.NonIdempotent, Version: uint64(p.Version), Epoch: uint64(p.Epoch),
		Body: p.Query.Body, BudgetUs: budget.Microseconds(),
		Fingerprint: string(p.Query.Fingerprint()), Proven: p.Proven,
	}
	for _, s := range p.Shards {
		m.Shards = append(m.Shards, uint32(s))
	}
	return m
}

func subRequest(m *peer.DispatchRequest, shard uint32, now time.Time) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{
		RequestID: hysquery.RequestID(m.GetRequestId()), Group: hysgroup.Name(m.GetGroup()),
		Weight: m.GetWeight(), Service: hysservice.Name(m.GetService()),
		Class: hysquery.Class(m.GetClass()), Idempotent: m.GetIdempotent(),
		Version: hyssnapshot.Version(m.GetVersion()), Epoch: hyssnapshot.Epoch(m.GetEpoch()),
		Shard: hysservice.ShardID(shard), Body: json.RawMessage(m.GetBody()),
		Deadline:    now.Add(time.Duration(m.GetBudgetUs()) * time.Microsecond),
		Fingerprint: hysquery.Fingerprint(m.GetFingerprint()), Proven: m.GetProven(),
	}
}

func replyToWire(r hysdispatch.SubReply) *peer.ShardReply {
	return &peer.ShardReply{
		Shard: uint32(r.Shard), Status: uint32(r.Status), Version: uint64(r.Version),
		Epoch: uint64(r.Epoch), Hits: r.Hits, Reason: r.Reason,
		RetryAfterMs: r.RetryAfter.Milliseconds(), NotSent: r.NotRun, Unreachable: r.Unreachable,
	}
}

func replyFromWire(m *peer.ShardReply) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: hysservice.ShardID(m.GetShard()), Status: hysquery.ShardStatus(m.GetStatus()),
		Version: hyssnapshot.Version(m.GetVersion()), Epoch: hyssnapshot.Epoch(m.GetEpoch()),
		Hits: m.GetHits(), Reason: m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond, NotRun: m.GetNotSent(),
		Unreachable: m.GetUnreachable(),
	}
}
