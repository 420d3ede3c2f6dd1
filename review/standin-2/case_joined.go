package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["joined-allocator"] = playJoinedAllocator }

// Times of the case.
const (
	// rollAt is when one machine is restarted as planned, after the start of the system. It
	// reads the list of instances about 2 s after the others from then on.
	rollAt = 8 * time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// limitAt is when the searchers begin to state their limits, and joinAfter when a machine
	// may join.
	limitAt   = 22 * time.Second
	joinAfter = 34 * time.Second
	// killAfter is when the machine that joins is killed, after its start.
	killAfter  = 2500 * time.Millisecond
	joinedSpan = 14 * time.Second
	// grownSettle is stable-ms of the grown site.
	grownSettle = 6 * time.Second
)

// playJoinedAllocator adds a machine to a system in which the searchers state a rate
// limit. The process of that machine is killed after it has announced itself, and starts
// again. With STOP=1 it is stopped as planned in place of that.
func playJoinedAllocator(e *environment) bool {
	var searchers []*searcher
	for _, n := range []int{1, 3, 4, 6} {
		s := &searcher{
			id: fmt.Sprintf("i-%s-%d", places[0].zone, n), service: "band-roll", zone: places[0].zone, slots: 8,
			work: 5 * time.Millisecond, record: e.record,
		}
		searchers = append(searchers, startSearcher(s, e.store))
	}
	e.store.put("op/config", bandConfiguration())
	first := newDaemonInZone(e.directory, 0, 1, places[0], e.store, e.record)
	near := newDaemonInZone(e.directory, 1, 2, secondPlace, e.store, e.record)
	remote := newDaemonInZone(e.directory, 2, 1, places[1], e.store, e.record)
	joined := newDaemonInZone(e.directory, 3, 1, secondPlace, e.store, e.record)
	joined.endBootstrap()
	daemons := []*daemon{first, near, remote}
	start := time.Now()
	for _, d := range daemons {
		d.start()
	}
	for _, d := range daemons {
		if !d.awaitReady(10 * time.Second) {
			fail(errNotReady)
		}
		d.endBootstrap()
	}
	// Planned work long before.
	time.Sleep(time.Until(start.Add(rollAt)))
	near.stop()
	time.Sleep(restartDelay)
	near.start()
	if !near.awaitReady(5 * time.Second) {
		fail(errNotReady)
	}
	traffic := newBandTraffic(daemons)
	time.Sleep(time.Until(start.Add(limitAt)))
	for _, s := range searchers {
		s.setLimit(fmt.Sprint(limitPerSecond))
	}
	time.Sleep(time.Until(start.Add(joinAfter)))
	// The machine joins just after the one that hands out the permits has read the list.
	e.store.awaitListing(first.name, 12*time.Second)
	joined.start()
	time.Sleep(killAfter)
	if !e.store.hasKeyWith(joined.name) {
		e.record.add("%s has not announced itself", joined.name)
	}
	if e.trouble {
		if os.Getenv("STOP") == "1" {
			joined.stop()
		} else {
			joined.signal(syscall.SIGKILL)
			<-joined.done
		}
		time.Sleep(restartDelay)
		joined.start()
	}
	time.Sleep(joinedSpan)
	traffic.end(e.record)
	held := true
	for _, s := range searchers {
		held = limitHeld(e.record, s, grownSettle) && held
	}
	return held
}

// bandConfiguration is the configuration with one route to one searcher.
func bandConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-band", "host": "rota.example", "prefix": "/band/", "type": "idempotent", "service": "band-roll",
			"timeout-ms": 3000, "slo-ms": 300, "priority": 2, "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "band-roll", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// bandTraffic is the load of all zones. Its clients keep their connections, so that they
// stay with the machines that they have begun with.
type bandTraffic struct {
	stop     chan struct{}
	wait     sync.WaitGroup
	outcomes *outcomes
}

func newBandTraffic(daemons []*daemon) *bandTraffic {
	t := &bandTraffic{stop: make(chan struct{}), outcomes: newOutcomes()}
	for _, d := range daemons {
		c := newClient(true)
		t.wait.Go(func() {
			ticker := time.NewTicker(time.Second / requestsPerSecond)
			defer ticker.Stop()
			for {
				select {
				case <-t.stop:
					return
				case <-ticker.C:
				}
				t.wait.Go(func() {
					t.outcomes.add(d.name, send(c, d.callers, http.MethodGet, "rota.example", "/band/7", "", requestDeadline))
				})
			}
		})
	}
	return t
}

func (t *bandTraffic) end(r *record) {
	close(t.stop)
	t.wait.Wait()
	t.outcomes.say(r)
}
