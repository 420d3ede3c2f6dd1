package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssettings"
)

// Service times and latency goal of the measured services, and the startup
// timeout and warm-up of the system.
const (
	serviceMean  = 10 * time.Millisecond
	serviceSigma = 0.8
	latencyGoal  = hysservice.Milliseconds(400)
	startTimeout = 20 * time.Second
	warmUpTime   = 2 * time.Second
)

// deployments are the services of both deployments at their current sizes.
var deployments = []hystest.Service{
	{Name: "captains-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
	{Name: "peal-ledger", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
	{Name: "band-roll", Shards: 1, Replicas: 10, Slots: 2, Connections: 110, ConnectCost: time.Millisecond},
	{Name: "tower-notices", Shards: 1, Replicas: 5, Slots: 2, Connections: 110, ConnectCost: time.Millisecond},
	{Name: "waiver-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
	{Name: "park-roster", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond},
	{Name: "form-vault", Shards: 1, Replicas: 10, Slots: 3, Connections: 40, ConnectCost: time.Millisecond},
	{Name: "incident-log", Shards: 1, Replicas: 5, Slots: 3, Connections: 40, ConnectCost: time.Millisecond},
}

// groupCount is the number of groups that share the service. The weight of group
// i is i modulo 3, plus 1.
const groupCount = 6

// bench is a running system with one service, on which scenarios are measured.
type bench struct {
	cluster  *hystest.Cluster
	service  hystest.Service
	settings func(*hyssettings.Settings)
	phase    time.Duration
	seed     uint64
	// sequence is the number of the last distinct request.
	sequence atomic.Uint64

	mu sync.Mutex
	// callerAddresses are the addresses for callers of the daemons that are in the
	// load balancer.
	callerAddresses []hysmember.Address
}

func newBench(name, policy string, daemons int, phase time.Duration, seed uint64) (*bench, error) {
	settings, err := policySettings(policy)
	if err != nil {
		return nil, err
	}
	b := &bench{phase: phase, seed: seed, settings: settings}
	for _, s := range deployments {
		if string(s.Name) == name {
			b.service = s
		}
	}
	if b.service.Name == "" {
		return nil, fmt.Errorf("no deployment has a service %q", name)
	}
	b.service.Records = 2 * b.service.Shards
	b.service.ServiceMeanUS = serviceMean.Microseconds()
	b.service.ServiceSigma = serviceSigma
	b.cluster = hystest.NewCluster(b.service)
	b.cluster.Start(daemons, settings)
	if err := b.start(); err != nil {
		b.cluster.Stop()
		return nil, err
	}
	return b, nil
}

func policySettings(policy string) (func(*hyssettings.Settings), error) {
	baseline := hyssettings.Baseline{}
	for part := range strings.SplitSeq(policy, "+") {
		switch part {
		case "default":
		case "baseline":
			baseline = hyssettings.Baseline{DirectFanOut: true, NoHedging: true, NoAdmission: true, FirstInFirstOut: true}
		case "direct-fan-out":
			baseline.DirectFanOut = true
		case "no-hedging":
			baseline.NoHedging = true
		case "no-admission":
			baseline.NoAdmission = true
		case "first-in-first-out":
			baseline.FirstInFirstOut = true
		default:
			return nil, fmt.Errorf("unknown policy %q", part)
		}
	}
	return func(s *hyssettings.Settings) {
		s.Baseline = baseline
		s.ConcurrentRequests = hyssettings.MaxConcurrentRequests
	}, nil
}

func (b *bench) start() error {
	t := hysticket.Ticket{Number: 1, Author: "hyssopload", Services: hysservice.Services{{
		Name: b.service.Name, SearcherSlots: b.service.Slots, SearcherConnections: b.service.Connections,
		LatencyGoal: latencyGoal,
	}}}
	for i := range groupCount {
		t.Groups = append(t.Groups, hysgroup.Group{
			Name: groupName(i), Weight: groupWeight(i), Services: []hysservice.Name{b.service.Name},
		})
	}
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		_, err := b.cluster.Apply(0, t)
		if err == nil && b.cluster.Ready() {
			b.listCallerAddresses(nil)
			b.load(warmUpTime, b.uniformStreams(0.3))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the system was not ready after %s", startTimeout)
}

// listCallerAddresses sets the addresses to which requests go, as a load balancer
// does: those of all daemons except excluded, which may be nil.
func (b *bench) listCallerAddresses(excluded *hystest.Daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callerAddresses = nil
	for _, d := range b.cluster.Daemons {
		if d != excluded {
			b.callerAddresses = append(b.callerAddresses, d.Settings.CallerAddress)
		}
	}
}

// callerAddress returns the address for callers of the i-th daemon, modulo the
// number of daemons.
func (b *bench) callerAddress(i int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.callerAddresses[i%len(b.callerAddresses)])
}

// replaceAll replaces every daemon, one after another.
func (b *bench) replaceAll() error {
	for i := range b.cluster.Daemons {
		b.listCallerAddresses(b.cluster.Daemons[i])
		if err := b.cluster.Replace(i, b.settings); err != nil {
			return fmt.Errorf("replace daemon %d: %w", i, err)
		}
		end := time.Now().Add(startTimeout)
		for !b.cluster.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %d was not ready again after %s", i, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.listCallerAddresses(nil)
	}
	return nil
}

// useConstantServiceTime sets the service time of every search to the mean.
func (b *bench) useConstantServiceTime() {
	for _, s := range b.cluster.Searchers {
		s.SetServiceTime(serviceMean, 0)
	}
}

func groupName(i int) hysgroup.Name { return hysgroup.Name(fmt.Sprintf("band-%d", i)) }

func groupWeight(i int) uint32 { return uint32(i%3) + 1 }

// weightedShare returns the fraction of the service's capacity that a group is
// entitled to by its weight.
func weightedShare(i int) float64 {
	total := uint32(0)
	for j := range groupCount {
		total += groupWeight(j)
	}
	return float64(groupWeight(i)) / float64(total)
}

// capacity returns how many complete fan-outs a second the slots can run.
func (b *bench) capacity() float64 {
	return float64(b.service.Replicas*b.service.Slots) / serviceMean.Seconds()
}

// uniformStreams returns streams that offer a fraction of the capacity, split
// between the groups by weight.
func (b *bench) uniformStreams(load float64) []stream {
	var streams []stream
	for i := range groupCount {
		streams = append(streams, stream{group: i, daemon: anyDaemon, rate: load * weightedShare(i) * b.capacity()})
	}
	return streams
}

// slowFirstReplicas sets the slow factor of the first replica of each shard.
func (b *bench) slowFirstReplicas(factor float64) {
	for i := 0; i < len(b.cluster.Searchers); i += b.service.Replicas {
		b.cluster.Searchers[i].SetFault(hysstandin.SearcherFault{SlowFactor: factor})
	}
}

// countSubRequests returns how many distinct sub-requests were sent to the
// searchers, and how many sends there were in total.
func (b *bench) countSubRequests() (distinct, all int) {
	seen := make(map[hysstandin.Run]bool)
	for _, s := range b.cluster.Searchers {
		for r, n := range s.Attempts() {
			seen[r] = true
			all += n
		}
	}
	return len(seen), all
}
