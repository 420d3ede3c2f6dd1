// Command 1 stops and starts frontend daemons in turn, as planned work, while callers send
// more than the searchers of a service can run, and looks for requests that a daemon has
// read and that end without an answer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hysreview/standin"
)

const (
	storeDelay = 4 * time.Millisecond
	// grace is grace-s; a request that its searcher still runs in the last sixth of it is
	// not counted if it was sent within lateSend after the SIGTERM.
	grace    = 6 * time.Second
	lateSend = 3 * time.Second
	// lossSlack is loss-slack-ms.
	lossSlack = 200 * time.Millisecond
	// restartGap is the time between two restarts, restartDelay that until a process that
	// has ended is started again.
	restartGap   = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// warmUp is the time before the first restart, more than stable-ms.
	warmUp = 12 * time.Second
	// searchers run slots requests each at the same time, each for work.
	searchers = 2
	slots     = 2
	work      = 300 * time.Millisecond
	// callersRate is how many requests callers send in a second, without their retries. The
	// searchers run 13 in a second.
	callersRate = 30
	// callerDeadline is how long a caller waits.
	callerDeadline = 6 * time.Second
	bodyBytes      = 300
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

// observer records what callers send and get, and what searchers run.
type observer struct {
	c   *standin.Case
	vip *standin.VIP

	mu sync.Mutex
	// stopped is when a daemon last got SIGTERM.
	stopped map[string]time.Time
	counts  map[string]int
	// cut are the requests whose connections ended without an answer.
	cut []cutRequest
	// reached holds the requests that have reached a searcher.
	reached map[string]bool
}

// cutRequest is a request whose connection ended without an answer.
type cutRequest struct {
	id       string
	daemon   string
	sent     time.Time
	ended    time.Time
	deadline time.Time
}

func main() {
	c := standin.NewCase()
	o := &observer{c: c, stopped: make(map[string]time.Time), counts: make(map[string]int), reached: make(map[string]bool)}
	store := standin.NewStore(storeDelay)
	site := standin.Site{Zones: [][2]string{{"kol-salt", "kolkata"}}, Bounds: bounds, Bootstrap: true}
	var fronts []*standin.Front
	for n := range 3 {
		name := fmt.Sprintf("frontend-kol-salt-%d", n+1)
		fronts = append(fronts, c.NewFront(name, "kol-salt", site, c.ServeStore(store, name)))
	}
	for n := range searchers {
		c.Serve(&standin.Searcher{
			ID: fmt.Sprintf("i-7f3a91c%d", n), Service: "form-vault", Zone: "kol-salt", Slots: slots, Work: work, OnArrival: o.arrived,
		}, store)
	}
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-form", "host": "forms.example", "prefix": "/form/", "type": "non_idempotent", "service": "form-vault",
			"timeout-ms": callerDeadline.Milliseconds(), "slo-ms": 400, "priority": 2, "max-attempts": 2,
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
	o.vip = standin.NewVIP(fronts)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { o.press(stop) })
	time.Sleep(warmUp)
	for _, f := range fronts {
		if !c.Trouble {
			time.Sleep(grace)
			continue
		}
		o.mu.Lock()
		o.stopped[f.Name] = time.Now()
		o.mu.Unlock()
		f.Stop(grace)
		time.Sleep(restartDelay)
		f.Start()
		f.AwaitReady(5 * time.Second)
		time.Sleep(restartGap)
	}
	time.Sleep(grace)
	close(stop)
	wait.Wait()
	o.judge()
}

// press sends requests until it is stopped.
func (o *observer) press(stop <-chan struct{}) {
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
		wait.Go(func() { o.call(count) })
	}
}

// call sends one request, and once more after a refusal, as the pages say of callers.
func (o *observer) call(count int) {
	deadline := time.Now().Add(callerDeadline)
	for attempt := range 2 {
		id := fmt.Sprintf("%d%015x", attempt, count)
		status, retryAfter := o.ask(id, time.Until(deadline))
		o.mu.Lock()
		o.counts[status]++
		o.mu.Unlock()
		if status != "503" || retryAfter > time.Until(deadline)/3 {
			return
		}
		time.Sleep(retryAfter)
	}
}

// ask sends one attempt on a new connection.
func (o *observer) ask(id string, left time.Duration) (status string, retryAfter time.Duration) {
	f := o.vip.Pick()
	conn, err := net.DialTimeout("tcp", f.Callers, time.Second)
	if err != nil {
		return "not connected", 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(left))
	fmt.Fprintf(conn, "POST /form/%s HTTP/1.1\r\nHost: forms.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, id, left.Milliseconds(), bodyBytes, strings.Repeat("w", bodyBytes))
	sent := time.Now()
	o.c.Record("request %s sent to %s, deadline %d ms", id, f.Name, left.Milliseconds())
	defer func() { o.c.Record("request %s ended: %s", id, status) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "no answer until the deadline", 0
	}
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err != nil {
		o.recordCut(cutRequest{id: id, daemon: f.Name, sent: sent, ended: time.Now(), deadline: sent.Add(left)}, err)
		return "connection ended without an answer", 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return fmt.Sprint(response.StatusCode), time.Duration(seconds * float64(time.Second))
}

func (o *observer) recordCut(cut cutRequest, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut = append(o.cut, cut)
	o.c.Record("request %s to %s: the connection ended without an answer %d ms after it was sent: %v", cut.id, cut.daemon, cut.ended.Sub(cut.sent).Milliseconds(), err)
}

// arrived records a request that reaches a searcher.
func (o *observer) arrived(_ *standin.Searcher, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reached[r.Header.Get("X-Request-Id")] = true
}

// counted reports whether the rule counts a cut request: it was read, since the daemon
// held it for longer than loss-slack-ms, it belongs to a SIGTERM of its daemon, and no
// searcher was ever at work on it.
func (o *observer) counted(cut cutRequest) bool {
	stopped := o.stopped[cut.daemon]
	return !stopped.IsZero() && cut.ended.After(stopped) && cut.ended.Before(stopped.Add(grace+time.Second)) &&
		cut.sent.Before(stopped.Add(lateSend)) && cut.ended.Sub(cut.sent) > lossSlack &&
		cut.ended.Before(cut.deadline) && !o.reached[cut.id]
}

func (o *observer) judge() {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := make(map[string]int)
	total := 0
	for _, cut := range o.cut {
		if o.counted(cut) {
			total++
			lost[cut.daemon]++
			o.c.Record("lost: %s, sent to %s at %.3f, %.3f s after its SIGTERM, ended at %.3f", cut.id, cut.daemon,
				o.c.Since(cut.sent), cut.sent.Sub(o.stopped[cut.daemon]).Seconds(), o.c.Since(cut.ended))
		}
	}
	for status, count := range o.counts {
		o.c.Record("%s: %d", status, count)
	}
	o.c.Record("requests lost around a SIGTERM, which no searcher had got: %d, by daemon %v", total, lost)
	fmt.Printf("lost around a SIGTERM: %d %v\n", total, lost)
	if total > 0 {
		o.c.Record("LOST is broken")
		o.c.End(standin.ExitBroken)
	}
	o.c.End(standin.ExitHeld)
}
