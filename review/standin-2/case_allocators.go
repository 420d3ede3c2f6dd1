package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

func init() { cases["two-allocators"] = playTwoAllocators }

// Times of the first day, from the start of the machines.
const (
	// rejectSpan is for how long the store turns one machine away, from the start on.
	rejectSpan = 9 * time.Second
	// trafficFrom is when traffic starts.
	trafficFrom = 10 * time.Second
	trafficSpan = 14 * time.Second
	// requestsPerSecond is the load of each zone, that of the site.
	requestsPerSecond = 75
	requestDeadline   = 3 * time.Second
)

// The rate limit of a searcher, and what breaks the rule.
const (
	limitPerSecond = 20
	limitSettle    = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
)

// playTwoAllocators starts the whole system for the first time, while the store turns one
// machine away. Traffic starts 10 s after the machines, and the searchers state a rate
// limit.
func playTwoAllocators(e *environment) bool {
	var searchers []*searcher
	for n, p := range []place{places[0], places[0], places[1], places[2]} {
		s := &searcher{
			id: fmt.Sprintf("i-%s-%d", p.zone, n), service: "band-roll", zone: p.zone, slots: 8,
			work: 5 * time.Millisecond, limit: fmt.Sprint(limitPerSecond), record: e.record,
		}
		searchers = append(searchers, startSearcher(s, e.store))
	}
	e.store.put("op/config", bandConfiguration())
	var daemons []*daemon
	for n, p := range places {
		daemons = append(daemons, newDaemon(e.directory, n, p, e.store, e.record))
	}
	start, turnedAway := time.Now(), daemons[0].name
	if e.trouble {
		e.store.reject(turnedAway, true)
		e.record.add("the store turns %s away", turnedAway)
	}
	for _, d := range daemons {
		d.start()
	}
	time.Sleep(time.Until(start.Add(rejectSpan)))
	if e.trouble {
		e.store.reject(turnedAway, false)
		e.record.add("the store serves %s again", turnedAway)
	}
	time.Sleep(time.Until(start.Add(trafficFrom)))
	for _, d := range daemons {
		if !d.isReady() {
			e.record.add("%s is not ready as traffic starts", d.name)
		}
	}
	traffic := newBandTraffic(daemons)
	time.Sleep(trafficSpan)
	traffic.end(e.record)
	held := true
	for _, s := range searchers {
		held = limitHeld(e.record, s, limitSettle) && held
	}
	return held
}

// limitHeld reports whether a searcher got no more than the rule allows in some window,
// from a time after its first answer on.
func limitHeld(r *record, s *searcher, settle time.Duration) bool {
	times := s.times()
	if len(times) == 0 {
		r.say("searcher %s got no request", s.id)
		return true
	}
	slices.SortFunc(times, time.Time.Compare)
	from := times[0].Add(settle)
	allowed := int(math.Floor(limitFactor*limitPerSecond*limitWindow.Seconds() + limitSlack))
	most, at := 0, from
	for i, begin := range times {
		if begin.Before(from) {
			continue
		}
		count := 0
		for _, t := range times[i:] {
			if t.Sub(begin) >= limitWindow {
				break
			}
			count++
		}
		if count > most {
			most, at = count, begin
		}
	}
	r.say("searcher %s: %d requests in %v from %.3f s on, %d are allowed", s.id, most, limitWindow, at.Sub(r.start).Seconds(), allowed)
	return most <= allowed
}

// outcomes counts the answers by daemon and status.
type outcomes struct {
	mu    sync.Mutex
	count map[string]int
}

func newOutcomes() *outcomes { return &outcomes{count: make(map[string]int)} }

func (o *outcomes) add(daemon string, r reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.err != nil {
		o.count[daemon+" no answer"]++
		return
	}
	o.count[fmt.Sprintf("%s %d", daemon, r.status)]++
}

func (o *outcomes) say(r *record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.say("answers: %v", o.count)
}
