// Package hystest starts a small system inside one test process: a platform,
// searchers and daemons that talk over real sockets on loopback.
//
// # Usage
//
//	c := hystest.NewCluster(hystest.Service{Name: "captains-desk", Shards: 3, Replicas: 2})
//	defer c.Stop()
//	c.Start(3)
//	answer, status := c.Query(0, q)
package hystest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/io/hysdaemon"
	"hyssopshore/io/hyssearch"
	"hyssopshore/io/hyssettings"
)

// Secret and location of the test system.
const (
	Secret = "test-secret-0123456789"
	Zone   = hysmember.Zone("accra-a")
	Region = hysmember.Region("accra")
)

// Service describes the searchers of one service.
type Service struct {
	Name          hysservice.Name
	Shards        int
	Replicas      int
	Slots         int
	Records       int
	ServiceMeanUS int64
	ServiceSigma  float64
	// Connections is the connection limit of a searcher; 0 means no limit.
	Connections int
	ConnectCost time.Duration
}

// Searcher is one running searcher.
type Searcher struct {
	*hysstandin.Searcher
	Member   hysmember.Searcher
	Listener *hysstandin.Listener
	server   *httptest.Server
	crashed  atomic.Bool
}

// Crashed reports whether a request crashed the searcher.
func (s *Searcher) Crashed() bool { return s.crashed.Load() }

// Stop stops the searcher as a kill does: it closes every connection.
func (s *Searcher) Stop() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Daemon is one running daemon.
type Daemon struct {
	Settings hyssettings.Settings
	stop     context.CancelFunc
	done     chan error
}

// Cluster is a running system.
type Cluster struct {
	Platform  *hysstandin.Platform
	Searchers []*Searcher
	Daemons   []*Daemon
	platform  *httptest.Server
	list      hysmember.List
	// startedDaemons counts all daemons started so far, including stopped ones.
	startedDaemons int
}

// NewCluster starts a platform and the searchers of some services. Start starts
// the daemons.
func NewCluster(services ...Service) *Cluster {
	c := &Cluster{Platform: hysstandin.NewPlatform()}
	c.platform = httptest.NewServer(c.Platform.Handler())
	for _, s := range services {
		for shard := range s.Shards {
			for replica := range s.Replicas {
				c.AddSearcher(s, shard, replica)
			}
		}
	}
	return c
}

// AddSearcher starts another searcher of a service and adds it to the instance
// list.
func (c *Cluster) AddSearcher(s Service, shard, replica int) *Searcher {
	settings := hysstandin.SearcherSettings{
		ID:      hysmember.SearcherID(fmt.Sprintf("%s-%d-%d", s.Name, shard, replica)),
		Service: s.Name, Slots: max(s.Slots, 1), Records: s.Records,
		ServiceMeanUS: s.ServiceMeanUS, ServiceSigma: s.ServiceSigma, Seed: uint64(shard*100 + replica),
		Holdings: []hyssearch.InfoHolding{Holding(1, shard, s.Shards, 1)},
	}
	started := &Searcher{}
	started.Searcher = hysstandin.NewSearcher(settings, uint64(len(c.Searchers)+1), func() {
		started.crashed.Store(true)
		_ = started.server.Listener.Close()
		started.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
	started.server = httptest.NewUnstartedServer(started.Handler())
	started.Listener = hysstandin.NewListener(started.server.Listener, s.Connections, s.ConnectCost)
	started.server.Listener = started.Listener
	started.server.Start()
	started.Member = hysmember.Searcher{
		ID: settings.ID, Service: s.Name, Zone: Zone, Region: Region,
		Address: hysmember.Address(started.server.Listener.Addr().String()),
	}
	c.Searchers = append(c.Searchers, started)
	c.list.Searchers = append(c.list.Searchers, started.Member)
	c.Platform.SetList(c.list)
	return started
}

// Holding returns the holding of one of several shards that divide the key space
// equally.
func Holding(epoch hyssnapshot.Epoch, shard, shards int, versions ...hyssnapshot.Version) hyssearch.InfoHolding {
	width := hyssnapshot.KeySpace / uint64(shards)
	h := hyssearch.InfoHolding{
		Epoch: epoch, Shard: hysservice.ShardID(shard), Versions: versions,
		From: uint64(shard) * width, To: uint64(shard+1) * width,
	}
	if shard+1 == shards {
		h.To = hyssnapshot.KeySpace
	}
	return h
}

// Start starts daemons and adds them to the instance list. It does not wait until
// they are ready.
func (c *Cluster) Start(count int, change ...func(*hyssettings.Settings)) {
	for range count {
		c.startDaemon(change)
	}
	c.Platform.SetList(c.list)
}

func (c *Cluster) startDaemon(change []func(*hyssettings.Settings)) {
	c.startedDaemons++
	s := hyssettings.Settings{
		Instance: hysmember.InstanceID(fmt.Sprintf("entry-%d", c.startedDaemons)),
		Zone:     Zone, Region: Region,
		CallerAddress: FreeAddress(loopback), PeerAddress: FreeAddress(loopback), OperatorAddress: FreeAddress(loopback),
		StoreAddress: c.StoreAddress(),
		PeerSecret:   Secret, OperatorSecret: Secret, Drain: 300,
	}
	s.Defaults()
	for _, f := range change {
		f(&s)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{Settings: s, stop: stop, done: make(chan error, 1)}
	go func() { d.done <- hysdaemon.New(s, slog.New(slog.DiscardHandler)).Run(ctx) }()
	c.Daemons = append(c.Daemons, d)
	c.list.Instances = append(c.list.Instances, hysmember.Instance{
		ID: s.Instance, Address: s.PeerAddress, Zone: Zone, Region: Region,
	})
}

// AddInstance adds an instance to the list that Start has not started.
func (c *Cluster) AddInstance(i hysmember.Instance) {
	c.list.Instances = append(c.list.Instances, i)
	c.Platform.SetList(c.list)
}

// StoreAddress returns the address of the platform's store.
func (c *Cluster) StoreAddress() hysmember.Address {
	return hysmember.Address(c.platform.Listener.Addr().String())
}

// Retire removes daemons from the instance list. They go on running.
func (c *Cluster) Retire(removed ...*Daemon) {
	ids := make(map[hysmember.InstanceID]bool, len(removed))
	for _, d := range removed {
		ids[d.Settings.Instance] = true
	}
	c.list.Instances = slices.DeleteFunc(slices.Clone(c.list.Instances), func(i hysmember.Instance) bool { return ids[i.ID] })
	c.Platform.SetList(c.list)
}

// RetireSearchers removes searchers from the instance list. They go on running.
func (c *Cluster) RetireSearchers(removed ...*Searcher) {
	ids := make(map[hysmember.SearcherID]bool, len(removed))
	for _, s := range removed {
		ids[s.Member.ID] = true
	}
	c.list.Searchers = slices.DeleteFunc(slices.Clone(c.list.Searchers), func(s hysmember.Searcher) bool { return ids[s.ID] })
	c.Platform.SetList(c.list)
}

// Replace stops a daemon gracefully and starts another in its place. It does not
// wait until the new one is ready.
func (c *Cluster) Replace(daemon int, change ...func(*hyssettings.Settings)) error {
	stopped := c.Daemons[daemon]
	if err := stopped.Stop(); err != nil {
		return fmt.Errorf("Cluster.Replace: %w", err)
	}
	c.list.Instances = slices.DeleteFunc(c.list.Instances, func(i hysmember.Instance) bool {
		return i.ID == stopped.Settings.Instance
	})
	c.startDaemon(change)
	last := len(c.Daemons) - 1
	c.Daemons[daemon] = c.Daemons[last]
	c.Daemons = c.Daemons[:last]
	c.Platform.SetList(c.list)
	return nil
}

// Stop stops a daemon gracefully and returns its error.
func (d *Daemon) Stop() error {
	d.stop()
	err := <-d.done
	d.done <- err
	return err
}

// panicIfFailed panics if the daemon has stopped with an error.
func (d *Daemon) panicIfFailed() {
	select {
	case err := <-d.done:
		d.done <- err
		if err != nil {
			panic(fmt.Sprintf("daemon %s: %v", d.Settings.Instance, err))
		}
	default:
	}
}

// Stop stops the daemons, the searchers and the platform.
func (c *Cluster) Stop() {
	var wait sync.WaitGroup
	for _, d := range c.Daemons {
		wait.Go(func() {
			_ = d.Stop()
		})
	}
	wait.Wait()
	for _, s := range c.Searchers {
		s.Stop()
	}
	c.platform.CloseClientConnections()
	c.platform.Close()
}

// Ready reports whether every daemon is ready. It panics if a daemon has stopped
// with an error.
func (c *Cluster) Ready() bool {
	for _, d := range c.Daemons {
		d.panicIfFailed()
		response, err := http.Get("http://" + string(d.Settings.CallerAddress) + "/health")
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Apply sends a ticket to a daemon and returns its result.
func (c *Cluster) Apply(daemon int, t hysticket.Ticket) (hysticket.Result, error) {
	var reply struct {
		Result hysticket.Result `json:"result"`
	}
	address := c.Daemons[daemon].Settings.OperatorAddress
	_, err := c.Call(http.MethodPost, address, "/v1/tickets", t, &reply)
	return reply.Result, err
}

// Query sends a query to a daemon and returns the answer and the HTTP status.
func (c *Cluster) Query(daemon int, q hysquery.Query) (hysquery.Answer, int, error) {
	return c.Daemons[daemon].Query(q)
}

// Query sends a query to the daemon and returns the answer and the HTTP status.
func (d *Daemon) Query(q hysquery.Query) (hysquery.Answer, int, error) {
	var answer hysquery.Answer
	status, err := call(http.MethodPost, d.Settings.CallerAddress, "/v1/query", q, &answer)
	return answer, status, err
}

// Call sends JSON to a daemon, decodes its reply and returns the HTTP status.
func (c *Cluster) Call(method string, address hysmember.Address, path string, body, into any) (int, error) {
	return call(method, address, path, body, into)
}

func call(method string, address hysmember.Address, path string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	request, err := http.NewRequest(method, "http://"+string(address)+path, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+Secret)
	client := http.Client{Timeout: 30 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("read reply: %w", err)
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return response.StatusCode, fmt.Errorf("decode %q: %w", reply, err)
	}
	return response.StatusCode, nil
}
