package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// readyInterval is the time between two questions of the platform whether a daemon is
// ready.
const readyInterval = time.Second

// place is an availability zone and its region.
type place struct{ zone, region string }

// places are the zones of the small deployment.
var places = []place{{"accra-osu", "accra"}, {"kumasi-adum", "kumasi"}, {"tamale-central", "tamale"}}

// secondPlace is a second zone of the first region.
var secondPlace = place{"accra-tema", "accra"}

// daemon is one machine of the system with its process.
type daemon struct {
	name     string
	place    place
	ip       string
	callers  string
	ready    string
	settings string
	logPath  string
	command  *exec.Cmd
	done     chan struct{}
	record   *record
}

// newDaemon describes a machine. The process is not started yet.
func newDaemon(directory string, number int, p place, st *store, r *record) *daemon {
	return newDaemonInZone(directory, number, 1, p, st, r)
}

// newDaemonInZone does the same for one of several machines of a zone.
func newDaemonInZone(directory string, number, inZone int, p place, st *store, r *record) *daemon {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 10+number)
	ports := freePorts(ip, 3)
	d := &daemon{
		name: fmt.Sprintf("frontend-%s-%d", p.zone, inZone), place: p, ip: ip, callers: ports[0], ready: ports[1],
		settings: filepath.Join(directory, fmt.Sprintf("node-%d.yaml", number)),
		logPath:  filepath.Join(directory, fmt.Sprintf("node-%d.log", number)), record: r,
	}
	address := st.listen(d.name)
	_, peerPort, _ := net.SplitHostPort(ports[2])
	d.write(address, peerPort, true)
	return d
}

// write writes the settings as the platform does. The first start of the whole system has
// bootstrap set.
func (d *daemon) write(storeAddress, peerPort string, bootstrap bool) {
	zones := ""
	for _, p := range append([]place{secondPlace}, places...) {
		zones += fmt.Sprintf("  %s: %q\n", p.zone, p.region)
	}
	text := fmt.Sprintf(`node-name: %q
role: "front"
machine-class: "frontend"
serves:
  - "frontend"
ip: %q
zone: %q
region: %q
zones:
%slisten-addrs:
  frontend: %q
  readiness: %q
port-range:
  - %s
  - %s
seeds: []
bootstrap: %v
counts-as-loss: false
limits:
  cpu-share: 0.4
  cpus: 1
  memory-mb: 284
  max-fds: 4100
  bandwidth-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entrypoint: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
bounds:
  seed-lag-s: 3
  reuse-delay-s: 2
  stable-ms: 4000
  ack-ms: 5000
  catchup-s: 4
  drain-ms: 3000
  grace-s: 6
  loss-slack-ms: 200
  config-apply-ms: 3000
  back-ms: 250
  max-skew-ms: 12000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  budget-slack: 58
  recovery-s: 12
platform:
  address: %q
  form: "kv"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  min-ttl-ms: 1000
`, d.name, d.ip, d.place.zone, d.place.region, zones, d.callers, d.ready, peerPort, peerPort, bootstrap, storeAddress)
	check(os.WriteFile(d.settings, []byte(text), 0o600))
}

// endBootstrap makes all further starts of the daemon ones of a running system.
func (d *daemon) endBootstrap() {
	data, err := os.ReadFile(d.settings)
	check(err)
	check(os.WriteFile(d.settings, []byte(strings.Replace(string(data), "bootstrap: true", "bootstrap: false", 1)), 0o600))
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command("target/hyssopshore", "front")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPSHORE_SETTINGS=" + d.settings}
	c.Stdout, c.Stderr = log, log
	check(c.Start())
	d.command, d.done = c, make(chan struct{})
	started.add(c.Process)
	go func(done chan struct{}) {
		_ = c.Wait()
		started.remove(c.Process)
		_ = log.Close()
		close(done)
	}(d.done)
	d.record.add("%s started", d.name)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.record.add("%s gets %v", d.name, s)
	_ = d.command.Process.Signal(s)
}

// stop stops the process as the platform does, and waits for its end.
func (d *daemon) stop() {
	const grace = 6 * time.Second
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(grace):
		d.signal(syscall.SIGKILL)
		<-d.done
	}
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// freePorts returns free addresses on an IP address.
func freePorts(ip string, count int) []string {
	var listeners []net.Listener
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return addresses
}
