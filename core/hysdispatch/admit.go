package hysdispatch

import (
	"cmp"
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
	// queue is the state of the shard.
	queue QueueState
}

type forecasts []forecast

// nthLowest returns the lowest value of a field if count is 1, the second lowest if
// it is 2, and so on.
func (f forecasts) nthLowest(count int, field func(forecast) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(f))
	for _, one := range f {
		values = append(values, field(one))
	}
	slices.Sort(values)
	return values[count-1]
}

// best returns the forecast of a query whose answer needs count shards. Each field is
// that of the shards that are best in it.
func (f forecasts) best(count int) forecast {
	return forecast{
		wait:     f.nthLowest(count, func(f forecast) time.Duration { return f.wait }),
		backoff:  f.nthLowest(count, func(f forecast) time.Duration { return f.backoff }),
		meanTime: f.nthLowest(count, func(f forecast) time.Duration { return f.meanTime }),
		queue:    f.nthByWait(count).queue,
	}
}

// nthByWait returns the forecast with the nth lowest wait.
func (f forecasts) nthByWait(count int) forecast {
	sorted := slices.SortedStableFunc(slices.Values(f), func(a, b forecast) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.backoff, b.backoff))
	})
	return sorted[count-1]
}

// Admit decides, before any sub-request of a query is sent, whether the query may be
// run. minimum is how many of its shards the answer needs. In a burst the queues of
// all shards grow, every query waits in each of them, and soon all queries are late.
// Admit refuses a part of the queries immediately instead, each as a whole, depending
// on the expected wait at the shards that the answer needs. It returns true if the
// query is admitted, and marks its sub-requests as such; otherwise the reply says when
// to retry.
func (d *Dispatcher) Admit(subs []SubRequest, minimum int) (SubReply, bool) {
	usable := make(forecasts, 0, len(subs))
	for i := range subs {
		if f, ok := d.forecast(&subs[i]); ok {
			usable = append(usable, f)
		}
	}
	first := &subs[0]
	if len(usable) < minimum {
		return notRunReply(*first, hysquery.ShardUnavailable, "too few shards have searchers", unavailableRetryAfter), false
	}
	now, expected := d.now(), usable.best(minimum)
	if expected.backoff > first.usefulTime(now) {
		return d.refuseQuery(subs, expected, "too few shards have a searcher that may be sent to now", expected.backoff), false
	}
	if d.stop.before(now.Add(expected.wait)) {
		return stopRefusal(*first, expected.queue), false
	}
	fraction := first.admittedFraction(now, expected.wait, expected.meanTime)
	if first.admissionRank() > fraction {
		return d.refuseQuery(subs, expected, "the shards' queues are too long", first.retryAfter(now, expected.wait, fraction)), false
	}
	for i := range subs {
		subs[i].Admitted = true
	}
	return SubReply{}, true
}

// refuseQuery returns the reply to a query that is refused at a forecast.
func (d *Dispatcher) refuseQuery(subs []SubRequest, expected forecast, reason string, retryAfter time.Duration) SubReply {
	d.holdBackQuery(subs, d.now())
	reply := notRunReply(subs[0], hysquery.ShardOverloaded, reason, retryAfter)
	reply.Queue = expected.queue
	return reply
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
	if s.untested(now) {
		return forecast{meanTime: s.meanTime, queue: s.queueState(now, 0)}, true
	}
	wait := s.smoothedWaits.update(sub.waitKey(), now, s.expectedWait(now, c.item(s, nil)))
	return forecast{wait: wait, backoff: s.backoff(now), meanTime: s.meanTime, queue: s.queueState(now, wait)}, true
}
