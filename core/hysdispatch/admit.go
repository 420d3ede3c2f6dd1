package hysdispatch

import (
	"slices"
	"time"

	"hyssopshore/core/hysquery"
)

// outlook is what a sub-request has to expect at its shard.
type outlook struct {
	// wait is how long it would wait for a slot, rest how long the shard rests, and
	// mean how long a send to it takes on average.
	wait time.Duration
	rest time.Duration
	mean time.Duration
}

type outlooks []outlook

// at returns the value of a field that so many shards do not exceed.
func (o outlooks) at(count int, field func(outlook) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(o))
	for _, one := range o {
		values = append(values, field(one))
	}
	slices.Sort(values)
	return values[count-1]
}

// best is the outlook of a query whose answer needs so many shards; each field is of
// the shards that are best in it.
func (o outlooks) best(count int) outlook {
	return outlook{
		wait: o.at(count, func(o outlook) time.Duration { return o.wait }),
		rest: o.at(count, func(o outlook) time.Duration { return o.rest }),
		mean: o.at(count, func(o outlook) time.Duration { return o.mean }),
	}
}

// Admit decides whether a query whose answer needs a minimum of its shards may
// be run, before anything of it is sent. It answers the load of a burst: the
// shards' queues grow, every query waits in all of them, and soon all are late.
// A part of the queries is refused at once instead, all of a query's shards
// together, by the wait of the shards that its answer needs. The reply to a
// refused query says when to send it again.
func (d *Dispatcher) Admit(subs []SubRequest, minimum int) (SubReply, bool) {
	usable := make(outlooks, 0, len(subs))
	for i := range subs {
		if o, ok := d.outlook(&subs[i]); ok {
			usable = append(usable, o)
		}
	}
	first := &subs[0]
	if len(usable) < minimum {
		return notSent(*first, hysquery.ShardUnavailable, "too few shards have searchers", unavailableRetry), false
	}
	now, expected := d.now(), usable.best(minimum)
	if expected.rest > first.allowance(now) {
		return notSent(*first, hysquery.ShardOverloaded, "too few shards have a searcher that may be sent to now", expected.rest), false
	}
	part := first.admitted(now, expected.wait, expected.mean)
	if first.drawn() > part {
		return notSent(*first, hysquery.ShardOverloaded, "the shards' queues are too long", first.returnAfter(now, expected.wait, part)), false
	}
	for i := range subs {
		subs[i].Admitted = true
	}
	return SubReply{}, true
}

// outlook returns what a sub-request has to expect, and whether its shard has a
// searcher.
func (d *Dispatcher) outlook(sub *SubRequest) (outlook, bool) {
	t := d.table(sub.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &call{dispatcher: d, table: t, sub: *sub}
	s, ok := t.shards[c.key()]
	if !ok || !s.hasReplica() {
		return outlook{}, false
	}
	now := t.now()
	wait := s.pressure.smooth(sub.pressureKey(), now, s.wait(now, c.item(s, nil)))
	return outlook{wait: wait, rest: s.rest(now), mean: s.mean}, true
}
