package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Case is one run of a case: its record, its temporary folder and its processes.
type Case struct {
	// Trouble is false if the disruption is left out.
	Trouble bool
	folder  string
	program string
	started time.Time

	mu     sync.Mutex
	record *os.File
	fronts []*Front
	// net is the second and third byte of the loopback addresses of this run.
	net  [2]byte
	host byte
}

// NewCase starts a case. The arguments of the program are the folder of the case and
// the path of the program hyssopshore.
func NewCase() *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER HYSSOPSHORE")
		os.Exit(ExitNotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", program: os.Args[2], started: time.Now()}
	c.net = [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		c.Fail(err)
	}
	if c.folder, err = os.MkdirTemp("", "hysreview"); err != nil {
		c.Fail(err)
	}
	c.Record("trouble=%v", c.Trouble)
	return c
}

// Record writes a line with the time since the start to record.txt.
func (c *Case) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f ", time.Since(c.started).Seconds())
	fmt.Fprintf(c.record, format+"\n", args...)
}

// Fail ends a case that can't run.
func (c *Case) Fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	if c.record != nil {
		c.Record("not run: %v", err)
	}
	c.End(ExitNotRun)
}

// End ends all processes and exits.
func (c *Case) End(code int) {
	for _, f := range c.fronts {
		f.Kill()
	}
	if os.Getenv("KEEP") == "" && c.folder != "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println(c.folder)
	}
	os.Exit(code)
}

// Address returns a loopback address of this run that nothing else uses.
func (c *Case) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host++
	return fmt.Sprintf("127.%d.%d.%d", c.net[0], c.net[1], c.host)
}

// Listen opens a free port of an address.
func (c *Case) Listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		c.Fail(err)
	}
	return l
}

// Port returns a free port of an address.
func (c *Case) Port(ip string) int {
	l := c.Listen(ip)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Front is a frontend daemon, a process.
type Front struct {
	Name    string
	Zone    string
	Callers string
	Ready   string
	c       *Case
	path    string
	log     *os.File
	starts  int
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Site is what all frontend daemons share.
type Site struct {
	// Zones holds the region of each zone.
	Zones [][2]string
	// Bounds are lines of the bounds of the settings.
	Bounds string
	// Bootstrap is what the settings say of the first start.
	Bootstrap bool
}

// NewFront writes the settings of a daemon that calls the store at an address.
func (c *Case) NewFront(name, zone string, site Site, store string) *Front {
	ip := c.Address()
	f := &Front{Name: name, Zone: zone, c: c, path: filepath.Join(c.folder, name+".yaml")}
	f.Callers = fmt.Sprintf("%s:%d", ip, c.Port(ip))
	f.Ready = fmt.Sprintf("%s:%d", ip, c.Port(ip))
	peer := c.Port(ip)
	region, zones := "", ""
	for _, z := range site.Zones {
		zones += fmt.Sprintf("  %s: %q\n", z[0], z[1])
		if z[0] == zone {
			region = z[1]
		}
	}
	settings := fmt.Sprintf(`node-name: %q
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
  - %d
  - %d
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
bounds:
%splatform:
  address: %q
  form: "kv"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  min-ttl-ms: 1000
`, name, ip, zone, region, zones, f.Callers, f.Ready, peer, peer, site.Bootstrap, site.Bounds, store)
	if err := os.WriteFile(f.path, []byte(settings), 0o600); err != nil {
		c.Fail(err)
	}
	var err error
	if f.log, err = os.Create(filepath.Join(c.folder, name+".log")); err != nil {
		c.Fail(err)
	}
	c.fronts = append(c.fronts, f)
	return f
}

// Start starts the process. bootstrap is true in the settings of the first start only.
func (f *Front) Start() {
	if f.starts++; f.starts == 2 {
		f.endBootstrap()
	}
	f.cmd = exec.Command(f.c.program, "front")
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPSHORE_SETTINGS=" + f.path}
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		f.c.Fail(err)
	}
	f.c.Record("%s started, pid %d", f.Name, f.cmd.Process.Pid)
	ended, cmd := make(chan struct{}), f.cmd
	f.ended = ended
	go func() {
		err := cmd.Wait()
		f.c.Record("%s ended: %v", f.Name, err)
		close(ended)
	}()
}

// endBootstrap rewrites the settings for all further starts.
func (f *Front) endBootstrap() {
	data, err := os.ReadFile(f.path)
	if err == nil {
		err = os.WriteFile(f.path, bytes.Replace(data, []byte("bootstrap: true"), []byte("bootstrap: false"), 1), 0o600)
	}
	if err != nil {
		f.c.Fail(err)
	}
}

// Signal sends a signal to the process.
func (f *Front) Signal(s syscall.Signal) {
	f.c.Record("%s gets %v", f.Name, s)
	_ = f.cmd.Process.Signal(s)
}

// Stop sends SIGTERM, and SIGKILL after a grace period, and waits for the end.
func (f *Front) Stop(grace time.Duration) {
	f.Signal(syscall.SIGTERM)
	select {
	case <-f.ended:
	case <-time.After(grace):
		f.Kill()
	}
}

// Kill kills the process, if it runs, and waits for its end.
func (f *Front) Kill() {
	if f.cmd == nil {
		return
	}
	select {
	case <-f.ended:
		return
	default:
	}
	_ = f.cmd.Process.Kill()
	<-f.ended
}

// IsReady asks the daemon whether it is ready.
func (f *Front) IsReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + f.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon is ready.
func (f *Front) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); !f.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.c.Fail(fmt.Errorf("%s is not ready after %v", f.Name, limit))
		}
	}
	f.c.Record("%s is ready", f.Name)
}

// ServeStore serves the store for one machine and returns the address.
func (c *Case) ServeStore(s *Store, machine string) string {
	l := c.Listen(c.Address())
	go func() { _ = http.Serve(l, s.Handler(machine)) }()
	return l.Addr().String()
}

// Since returns the seconds from the start of the case to a time.
func (c *Case) Since(t time.Time) float64 { return t.Sub(c.started).Seconds() }

// maxLossShare is the largest share of the writes that may be lost in an impairment.
const maxLossShare = 0.35

// CheckLoss ends a case that can't run because more writes were lost than the pages allow,
// or none.
func (c *Case) CheckLoss(end func() (writes, lost int)) {
	writes, lost := end()
	c.Record("platform_lost: %d of %d writes within %v were lost", lost, writes, lossTime)
	if lost == 0 || float64(lost) > maxLossShare*float64(writes) {
		c.Fail(fmt.Errorf("%d of %d writes were lost", lost, writes))
	}
}
