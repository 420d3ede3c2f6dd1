package hysfront_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysfront"
	"hyssopshore/io/hysrelay"
)

// Timing of the scripts of changes.
const (
	// refusalSettle is the time from a fault of the store until the first change.
	refusalSettle = 700 * time.Millisecond
	// changeGap is the least time between two changes. Each gap is longer than the one
	// before by changeGapStep, so that the changes come at all phases of the reads.
	changeGap     = 300 * time.Millisecond
	changeGapStep = 170 * time.Millisecond
)

// Faults of the store for some daemons.
const (
	faultRefused = "refused"
	faultSilent  = "silent"
)

// callLimit is the longest time that a call of a silent store takes.
const callLimit = 1500 * time.Millisecond

// sharedStore is a store that several daemons read, and whose configuration changes.
type sharedStore struct {
	store
	changed chan struct{}
}

// change writes the next version and returns it.
func (s *sharedStore) change() hysroute.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.revision.Number++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// sourceFor returns a daemon's access to the store. fault holds how the store fails for
// that daemon.
func (s *sharedStore) sourceFor(fault *atomic.Value) hysfront.Source {
	source := s.source()
	read := source.Read
	source.Read = func(ctx context.Context) (hysfront.Snapshot, error) {
		if err := failAs(ctx, fault, callLimit); err != nil {
			return hysfront.Snapshot{}, err
		}
		return read(ctx)
	}
	source.Watch = func(ctx context.Context, after hysmember.Revision, wait time.Duration) (hysfront.Changes, error) {
		if err := failAs(ctx, fault, wait+callLimit); err != nil {
			return hysfront.Changes{}, err
		}
		ended := time.After(wait)
		for {
			s.mu.Lock()
			changed, current, configuration := s.changed, s.revision, s.configuration()
			s.mu.Unlock()
			if after.Before(current) {
				return hysfront.Changes{Configuration: configuration, Revision: current, Events: 1}, nil
			}
			select {
			case <-changed:
			case <-ended:
				return hysfront.Changes{Revision: current}, failAs(ctx, fault, callLimit)
			case <-ctx.Done():
				return hysfront.Changes{}, ctx.Err()
			}
		}
	}
	return source
}

// failAs fails as the store does for a daemon, nil if it serves that one.
func failAs(ctx context.Context, fault *atomic.Value, limit time.Duration) error {
	switch fault.Load() {
	case faultRefused:
		return errStoreUnavailable
	case faultSilent:
		select {
		case <-time.After(limit):
		case <-ctx.Done():
		}
		return errStoreUnavailable
	default:
		return nil
	}
}

// changeScript is a set of daemons, for some of which the store fails.
type changeScript struct {
	Name  string `json:"name"`
	Zones []struct {
		Daemons int `json:"daemons"`
		// Failing is for how many of them the store fails, in the way of Fault.
		Failing int    `json:"failing"`
		Fault   string `json:"fault"`
	} `json:"zones"`
	Changes  int `json:"changes"`
	WithinMS int `json:"within-ms"`
}

var inForce = regexp.MustCompile(`"msg":"configuration in force","instance":"[^"]*","version":(\d+)`)

// version returns the newest version that a daemon has put in force.
func (d *daemon) version() hysroute.Version {
	newest := 0
	for _, found := range inForce.FindAllStringSubmatch(d.log.String(), -1) {
		n, err := strconv.Atoi(found[1])
		Expect(err).NotTo(HaveOccurred())
		newest = max(newest, n)
	}
	return hysroute.Version(newest)
}

// nextChangeIP is the last number of the last IP address of a daemon of a script.
var nextChangeIP atomic.Int64

// startChanges starts the daemons of a script. It returns them, and the faults to begin.
func startChanges(c changeScript, s *sharedStore) ([]*daemon, map[*atomic.Value]string) {
	var daemons []*daemon
	var sources []hysfront.Source
	faults := make(map[*atomic.Value]string)
	for zone, z := range c.Zones {
		for i := range z.Daemons {
			d := newDaemon(fmt.Sprint("127.0.2.", nextChangeIP.Add(1)))
			d.settings.Zone = hysmember.Zone(fmt.Sprint("z-", zone))
			d.settings.Region = hysmember.Region(fmt.Sprint("r-", zone))
			daemons = append(daemons, d)
			s.peers = append(s.peers, d.instance())
			fault := &atomic.Value{}
			fault.Store("")
			if i < z.Failing {
				faults[fault] = z.Fault
			}
			sources = append(sources, s.sourceFor(fault))
		}
	}
	for i, d := range daemons {
		d.startSource(sources[i])
	}
	DeferCleanup(func() {
		for _, d := range daemons {
			d.stop()
		}
	})
	for _, d := range daemons {
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
	}
	return daemons, faults
}

var _ = Describe("a change of the configuration, made while the store fails for some daemons,", func() {
	var scripts []changeScript
	hyssuite.Read("changes.json", &scripts)
	for _, c := range scripts {
		It("is in force in time: "+c.Name, func() {
			s := &sharedStore{changed: make(chan struct{})}
			s.version, s.revision, s.entries = 1, hystest.Revision(5), hysmember.Entries{searcher("s-1", 0)}
			daemons, faults := startChanges(c, s)
			for _, fault := range slices.Collect(maps.Keys(faults)) {
				fault.Store(faults[fault])
			}
			time.Sleep(refusalSettle)
			for i := range c.Changes {
				version, began := s.change(), time.Now()
				for _, d := range daemons {
					left := time.Duration(c.WithinMS)*time.Millisecond - time.Since(began)
					Eventually(d.version, max(left, time.Millisecond), "5ms").Should(BeNumerically(">=", version), "change %d at %s", i, d.settings.Instance)
				}
				time.Sleep(changeGap + time.Duration(i)*changeGapStep)
			}
		})
	}
})

// follow asks a daemon for its state, as another one does.
func (d *daemon) follow() hysrelay.FollowReply {
	client := hysrelay.NewClient()
	defer client.Close()
	reply, err := client.Follow(context.Background(), d.settings.PeerAddress, hysrelay.FollowRequest{})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

var _ = Describe("a daemon whose reader gets nothing new", func() {
	It("reads the store itself before its state is older than a reader's may be", func() {
		one, other := newDaemon("127.0.0.77"), newDaemon("127.0.0.78")
		all := hysmember.Instances{one.instance(), other.instance()}
		if _, ok := all.Reader(one.settings.Instance); ok {
			one, other = other, one
		}
		readerStore := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}, peers: all}
		source, hangs := readerStore.source(), &atomic.Value{}
		watch := source.Watch
		source.Watch = func(ctx context.Context, after hysmember.Revision, wait time.Duration) (hysfront.Changes, error) {
			if err := failAs(ctx, hangs, time.Minute); err != nil {
				return hysfront.Changes{}, err
			}
			return watch(ctx, after, wait)
		}
		one.startSource(source)
		Eventually(one.ready, "3s").Should(Equal(http.StatusOK))
		other.start(&store{version: 1, revision: hystest.Revision(5), entries: readerStore.entries, peers: hysmember.Instances{all[0], all[1]}})
		Eventually(other.log.String, "4s").Should(ContainSubstring("following reader"))
		// Otherwise a poll would end at the very age at which it has to.
		time.Sleep(300 * time.Millisecond)
		hangs.Store(faultSilent)
		oldest := time.Duration(0)
		Eventually(func() string {
			oldest = max(oldest, other.follow().Age)
			return other.log.String()
		}, "5s", "5ms").Should(ContainSubstring("reader lost"))
		// The age that a reader's state may have with a limit of 3 s, and a few polls.
		Expect(oldest).To(BeNumerically("<=", 2*time.Second+150*time.Millisecond))
	})
})

var _ = Describe("the age of a state", func() {
	It("is not lowered by the time that a copy of it took", func() {
		const age, transit = 300 * time.Millisecond, 250 * time.Millisecond
		d := newDaemon("127.0.0.71")
		entries := hysmember.Entries{searcher("s-1", 0)}
		other := serveFollowersOver("127.0.0.72", transit, func(hysrelay.FollowRequest) hysrelay.FollowReply {
			return hysrelay.FollowReply{
				Cursor: hysrelay.Cursor{Incarnation: "other", Version: 3}, Revision: hystest.Revision(5), Age: age,
				Configuration: []byte("1"), ConfigurationRevision: hystest.Revision(5),
				Searchers: hysmember.Delta{Version: 3, Full: true, Entries: entries},
			}
		})
		d.start(&store{unavailable: true, peers: hysmember.Instances{other, d.instance()}})
		Eventually(d.ready, "3s", "1ms").Should(Equal(http.StatusOK))
		Expect(d.follow().Age).To(BeNumerically(">=", age+transit))
	})

	It("counts from the end of a watch's wait, however late its answer arrives", func() {
		const late = 600 * time.Millisecond
		d := newDaemon("127.0.0.73")
		s := &store{version: 1, revision: hystest.Revision(5), entries: hysmember.Entries{searcher("s-1", 0)}}
		source := s.source()
		source.Watch = func(_ context.Context, after hysmember.Revision, wait time.Duration) (hysfront.Changes, error) {
			time.Sleep(wait + late)
			return hysfront.Changes{Revision: after}, nil
		}
		d.startSource(source)
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		time.Sleep(late)
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
			Expect(d.follow().Age).To(BeNumerically(">=", late))
		}
	})
})
