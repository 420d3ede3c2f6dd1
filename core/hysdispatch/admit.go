package hysdispatch

import (
	"slices"
	"time"

	"hyssopshore/core/hysquery"
)

// forecast is what a sub-request can expect at its shard.
type forecast struct {
	// wait is the expected wait for a slot, backoff how long no searcher of the shard
	// may be sent to, and meanTime the average duration of a send.
	wait     time.Duration
	backoff  time.Duration
	meanTime time.Duration
}

type forecasts []forecast

// nthLowest returns the n-th lowest value of a field, with n = count counted from 1.
func (o forecasts) nthLowest(count int, field func(forecast) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(o))
	for _, one := range o {
		values = append(values, field(one))
	}
	slices.Sort(values)
	return values[count-1]
}

// best returns the forecast of a query whose answer needs so many shards. Each field
// is taken over the shards that are best in that field.
func (o forecasts) best(count int) forecast {
	return forecast{
		wait:     o.nthLowest(count, func(o forecast) time.Duration { return o.wait }),
		backoff:  o.nthLowest(count, func(o forecast) time.Duration { return o.backoff }),
		meanTime: o.nthLowest(count, func(o forecast) time.Duration { return o.meanTime }),
	}
}

// Admit decides whether a query may be run whose answer needs a minimum of its
// shards, before any sub-request is sent. In a burst the queues of all shards grow,
// every query waits in each of them, and soon all queries are late. Admit refuses a
// part of the queries immediately instead, each as a whole, depending on the expected
// wait at the shards that the answer needs. It returns true if the query is admitted,
// and marks its sub-requests as such; else the reply says when to retry.
func (d *Dispatcher) Admit(subs []SubRequest, minimum int) (SubReply, bool) {
	usable := make(forecasts, 0, len(subs))
	for i := range subs {
		if o, ok := d.forecast(&subs[i]); ok {
			usable = append(usable, o)
		}
	}
	first := &subs[0]
	if len(usable) < minimum {
		return notRunReply(*first, hysquery.ShardUnavailable, "too few shards have searchers", unavailableRetryAfter), false
	}
	now, expected := d.now(), usable.best(minimum)
	if expected.backoff > first.usefulTime(now) {
		return notRunReply(*first, hysquery.ShardOverloaded, "too few shards have a searcher that may be sent to now", expected.backoff), false
	}
	fraction := first.admittedFraction(now, expected.wait, expected.meanTime)
	if first.admissionRank() > fraction {
		return notRunReply(*first, hysquery.ShardOverloaded, "the shards' queues are too long", first.retryAfter(now, expected.wait, fraction)), false
	}
	for i := range subs {
		subs[i].Admitted = true
	}
	return SubReply{}, true
}

// forecast returns what a sub-request can expect, and whether its shard has a
// searcher that is not leaving.
func (d *Dispatcher) forecast(sub *SubRequest) (forecast, bool) {
	t := d.table(sub.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &call{dispatcher: d, table: t, sub: *sub}
	s, ok := t.shards[c.key()]
	if !ok || !s.hasReplica() {
		return forecast{}, false
	}
	now := t.now()
	wait := s.smoothedWaits.update(sub.waitKey(), now, s.expectedWait(now, c.item(s, nil)))
	return forecast{wait: wait, backoff: s.backoff(now), meanTime: s.meanTime}, true
}
