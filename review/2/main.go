// Command 2 lets the platform's store lose the answer to one write of a frontend daemon that
// starts, and do that write late, while callers press on a searcher that states a rate
// limit, and counts what reaches the searcher.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hysreview/standin"
)

const (
	storeDelay = 4 * time.Millisecond
	grace      = 6 * time.Second
	// limit is what the searcher states, in requests per second.
	limit = 40.0
	// callersRate is how many requests a second callers send to each daemon.
	callersRate = 100
	// callerDeadline is how long a caller waits.
	callerDeadline = 1500 * time.Millisecond
	// stable is stable-ms of the bounds; window, factor and extra are those of the rule.
	stable = 5 * time.Second
	window = 4 * time.Second
	factor = 1.5
	extra  = 5
	// learned is how long a daemon must have passed on the limit to be counted.
	learned = 500 * time.Millisecond
	// lateTime is how much later the write is done.
	lateTime = 5900 * time.Millisecond
	// restartGap is the time between the planned restarts, the least gap_s of the site.
	restartGap = time.Second
	// pressTime is how long callers send.
	pressTime = 48 * time.Second
)

const bounds = `  seed-lag-s: 3
  reuse-delay-s: 2
  stable-ms: 5000
  ack-ms: 6000
  catchup-s: 4
  drain-ms: 3000
  grace-s: 6
  loss-slack-ms: 200
  config-apply-ms: 3000
  back-ms: 250
  max-skew-ms: 15000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  budget-slack: 52
  recovery-s: 12
`

// arrival is a request that has reached the searcher.
type arrival struct {
	at     time.Time
	daemon string
}

// observer records what reaches the searcher and what callers get.
type observer struct {
	c *standin.Case

	mu       sync.Mutex
	arrivals []arrival
	// firstPassed is when a daemon first passed on an answer with the limit.
	firstPassed map[string]time.Time
	counts      map[string]int
}

func main() {
	c := standin.NewCase()
	o := &observer{c: c, firstPassed: make(map[string]time.Time), counts: make(map[string]int)}
	store := standin.NewStore(storeDelay)
	site := standin.Site{
		Zones:  [][2]string{{"kol-salt", "kolkata"}, {"sil-mati", "siliguri"}, {"pur-ayodhya", "purulia"}},
		Bounds: bounds, Bootstrap: true,
	}
	var fronts []*standin.Front
	for _, z := range site.Zones {
		name := "frontend-" + z[0] + "-1"
		fronts = append(fronts, c.NewFront(name, z[0], site, c.ServeStore(store, name)))
	}
	searcher := &standin.Searcher{
		ID: "i-7f3a91c2", Service: "form-vault", Zone: "kol-salt", Slots: 3, Work: 5 * time.Millisecond,
		Limit: func() string { return fmt.Sprint(limit) }, OnArrival: o.arrived,
	}
	c.Serve(searcher, store)
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-form", "host": "forms.example", "prefix": "/form/", "type": "idempotent", "service": "form-vault",
			"timeout-ms": 1500, "slo-ms": 400, "priority": 1, "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "form-vault", "health-path": "/healthz", "max-conns": 38, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for _, f := range fronts {
		f.Start()
	}
	for _, f := range fronts {
		f.AwaitReady(5 * time.Second)
	}
	time.Sleep(2 * time.Second)
	c.Record("planned restart of the daemons in turn")
	var lossEnd func() (writes, lost int)
	for n, f := range slices.Backward(fronts) {
		f.Stop(grace)
		if c.Trouble && n == 1 {
			last := fronts[0].Name
			c.Record("the store loses the next write of %s and does it %v later", last, lateTime)
			lossEnd = store.BeginLoss(last, lateTime)
		}
		f.Start()
		f.AwaitReady(5 * time.Second)
		time.Sleep(restartGap)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n, f := range fronts {
		wait.Go(func() { o.press(n, f, stop) })
	}
	if lossEnd != nil {
		c.CheckLoss(lossEnd)
	}
	time.Sleep(pressTime)
	close(stop)
	wait.Wait()
	o.judge()
}

// press sends requests to one daemon until it is stopped.
func (o *observer) press(n int, f *standin.Front, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / callersRate)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%d-%014x", n, count)
		wait.Go(func() {
			status := o.ask(f, id)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.counts[f.Name+": "+status]++
		})
	}
}

func (o *observer) ask(f *standin.Front, id string) (status string) {
	o.c.Record("request %s sent to %s", id, f.Name)
	defer func() { o.c.Record("request %s ended: %s", id, status) }()
	conn, err := net.DialTimeout("tcp", f.Callers, time.Second)
	if err != nil {
		return "not connected"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callerDeadline))
	fmt.Fprintf(conn, "GET /form/%s HTTP/1.1\r\nHost: forms.example\r\nX-Request-Id: %s\r\nX-Daemon: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, id, f.Name, callerDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return "broken answer"
	}
	if response.Header.Get("Server-Limit") != "" {
		o.mu.Lock()
		if o.firstPassed[f.Name].IsZero() {
			o.firstPassed[f.Name] = time.Now()
		}
		o.mu.Unlock()
	}
	return fmt.Sprint(response.StatusCode)
}

// arrived records a request that reaches the searcher. X-Daemon names the daemon to which
// the caller has sent it.
func (o *observer) arrived(_ *standin.Searcher, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, arrival{at: time.Now(), daemon: r.Header.Get("X-Daemon")})
	o.c.Record("reaches the searcher: %s", r.Header.Get("X-Request-Id"))
}

// counted reports whether the rule counts an arrival.
func (o *observer) counted(a arrival, first time.Time) bool {
	passed := o.firstPassed[a.daemon]
	return !a.at.Before(first.Add(stable)) && !passed.IsZero() && !a.at.Before(passed.Add(learned))
}

func (o *observer) judge() {
	o.mu.Lock()
	defer o.mu.Unlock()
	var counted []arrival
	for _, a := range o.arrivals {
		if o.counted(a, o.arrivals[0].at) {
			counted = append(counted, a)
		}
	}
	slices.SortFunc(counted, func(a, b arrival) int { return a.at.Compare(b.at) })
	worst, begins, from := 0, time.Time{}, 0
	for to := range counted {
		for counted[to].at.Sub(counted[from].at) >= window {
			from++
		}
		if to-from+1 > worst {
			worst, begins = to-from+1, counted[from].at
		}
	}
	byDaemon := make(map[string]int)
	for _, a := range counted {
		if d := a.at.Sub(begins); d >= 0 && d < window {
			byDaemon[a.daemon]++
		}
	}
	allowed := factor*limit*window.Seconds() + extra
	for status, count := range o.counts {
		o.c.Record("%s: %d", status, count)
	}
	o.c.Record("the most within %v: %d, by daemon %v; the rule allows %.0f; the window begins at %.3f", window, worst, byDaemon, allowed, o.c.Since(begins))
	fmt.Printf("the most within %v: %d %v, allowed %.0f\n", window, worst, byDaemon, allowed)
	if float64(worst) > allowed {
		o.c.Record("LIMIT is broken")
		o.c.End(standin.ExitBroken)
	}
	o.c.End(standin.ExitHeld)
}
