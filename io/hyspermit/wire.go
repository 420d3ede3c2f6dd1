package hyspermit

import (
	"math"
	"time"

	"hyssopshore/core/hyslimit"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
)

// maxCount bounds the number of permits in a message.
const maxCount = 1 << 20

// EncodeRequest converts a request to its wire form.
func EncodeRequest(r Request) *peer.PermitsRequest {
	m := &peer.PermitsRequest{Region: string(r.Group.Region), Group: uint32(r.Group.Number), Skipped: uint32(r.Skipped)}
	for _, ask := range r.Asks {
		m.Asks = append(m.Asks, &peer.PermitAsk{
			Searcher: string(ask.Searcher), Incarnation: ask.Incarnation,
			Limit: encodeLimit(ask.Limit), Wanted: uint32(min(ask.Wanted, maxCount)), Waiting: uint32(min(ask.Waiting, maxCount)),
		})
	}
	return m
}

// DecodeRequest converts a request from its wire form.
func DecodeRequest(m *peer.PermitsRequest) Request {
	r := Request{
		Group:   hyslimit.Group{Region: hysmember.Region(m.GetRegion()), Number: int(m.GetGroup())},
		Skipped: hyslimit.Skipped(min(m.GetSkipped(), uint32(hyslimit.SkippedSilent))),
	}
	now := time.Now()
	for _, ask := range m.GetAsks() {
		r.Asks = append(r.Asks, hyslimit.Ask{
			Searcher: hysmember.SearcherID(ask.GetSearcher()), Incarnation: ask.GetIncarnation(),
			Limit: decodeLimit(ask.GetLimit(), now), Wanted: int(min(ask.GetWanted(), maxCount)), Waiting: int(min(ask.GetWaiting(), maxCount)),
		})
	}
	return r
}

// EncodeReply converts grants, or the error of Keeper.Serve, to their wire form.
func EncodeReply(grants hyslimit.Grants, err error) *peer.PermitsReply {
	m := &peer.PermitsReply{Declined: err != nil}
	for _, g := range grants {
		m.Grants = append(m.Grants, &peer.PermitGrant{
			Searcher: string(g.Searcher), Incarnation: g.Incarnation, Limit: encodeLimit(g.Limit),
			Permits: uint32(min(g.Permits, maxCount)), Rate: float64(g.Rate), IntervalUs: g.Interval.Microseconds(),
		})
	}
	return m
}

// DecodeReply converts grants from their wire form; askedAt is when they were asked
// for. The error is ErrDeclined if the other instance has declined.
func DecodeReply(m *peer.PermitsReply, askedAt time.Time) (hyslimit.Grants, error) {
	if m.GetDeclined() {
		return nil, ErrDeclined
	}
	var grants hyslimit.Grants
	for _, g := range m.GetGrants() {
		grants = append(grants, hyslimit.Grant{
			Searcher: hysmember.SearcherID(g.GetSearcher()), Incarnation: g.GetIncarnation(),
			Limit: decodeLimit(g.GetLimit(), askedAt), Permits: int(min(g.GetPermits(), maxCount)),
			Rate: hyslimit.NewRate(g.GetRate()), Interval: time.Duration(g.GetIntervalUs()) * time.Microsecond,
		})
	}
	return grants, nil
}

// encodeLimit returns nil if nothing is known of a limit.
func encodeLimit(l hyslimit.Limit) *peer.RateLimit {
	if l.LearnedAt.IsZero() {
		return nil
	}
	return &peer.RateLimit{Limited: l.Limited, Rate: float64(l.Rate), AgeUs: time.Since(l.LearnedAt).Microseconds()}
}

func decodeLimit(m *peer.RateLimit, now time.Time) hyslimit.Limit {
	if m == nil || m.GetAgeUs() < 0 {
		return hyslimit.Limit{}
	}
	age := time.Duration(min(m.GetAgeUs(), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
	return hyslimit.Limit{Limited: m.GetLimited(), Rate: hyslimit.NewRate(m.GetRate()), LearnedAt: now.Add(-age)}
}
