package hysdaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysconfig"
	"hyssopshore/io/hysstore"
)

// maxPropagation is the longest time from the acceptance of a ticket until it is
// in force at every daemon.
const maxPropagation = 2 * time.Second

// propagationScript is one case of testdata/spread.json: a fault of the platform
// while a ticket is applied, and one after the ticket has been accepted.
type propagationScript struct {
	Name   string                   `json:"name"`
	Fault  hysstandin.PlatformFault `json:"fault"`
	After  hysstandin.PlatformFault `json:"after"`
	Groups int                      `json:"groups"`
	// Dies means that the daemon that accepted the ticket dies immediately, so
	// that only the store has it.
	Dies bool `json:"dies"`
}

func newestTicket(c *hystest.Cluster, daemon int) hysticket.Number {
	var reply struct {
		Newest hysticket.Number `json:"newest-ticket"`
	}
	_, err := c.Call(http.MethodGet, c.Daemons[daemon].Settings.OperatorAddress, "/v1/status", nil, &reply)
	Expect(err).NotTo(HaveOccurred())
	return reply.Newest
}

func allHave(c *hystest.Cluster, number hysticket.Number) func() bool {
	return func() bool {
		for i := range c.Daemons {
			if newestTicket(c, i) < number {
				return false
			}
		}
		return true
	}
}

func manyGroups(number hysticket.Number, count int) hysticket.Ticket {
	t := hysticket.Ticket{Number: number, Author: "test"}
	for i := range max(count, 1) {
		t.Groups = append(t.Groups, hysgroup.Group{Name: hysgroup.Name(fmt.Sprintf("group-of-ringers-in-a-long-named-parish-%d", i)), Weight: uint32(number)})
	}
	return t
}

var _ = Describe("the configuration of nine daemons", Ordered, func() {
	const daemons = 9
	var c *hystest.Cluster
	number := hysticket.Number(1)

	applyAndDie := func(groups int) {
		number++
		store := hysstore.New(c.Daemons[0].Settings.StoreAddress)
		result, err := hysconfig.New(store).Apply(context.Background(), manyGroups(number, groups))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(hysticket.ResultAccepted))
	}
	apply := func(daemon, groups int) {
		number++
		Eventually(func() (hysticket.Result, error) { return c.Apply(daemon, manyGroups(number, groups)) }, 5*time.Second).
			Should(BeElementOf(hysticket.ResultAccepted, hysticket.ResultAlreadyAccepted))
	}

	BeforeAll(func() {
		c = hystest.NewCluster(
			hystest.Service{Name: "captains-desk", Shards: 1, Replicas: 1},
			hystest.Service{Name: "band-roll", Shards: 1, Replicas: 1},
		)
		DeferCleanup(func() { c.Stop() })
		c.Start(daemons)
		Eventually(func() (hysticket.Result, error) { return c.Apply(0, firstTicket()) }, 5*time.Second).
			Should(Equal(hysticket.ResultAccepted))
		Eventually(c.Ready, 10*time.Second).Should(BeTrue())
	})
	AfterEach(func() { c.Platform.SetFault(hysstandin.PlatformFault{}) })

	var scripts []propagationScript
	hyssuite.Read("spread.json", &scripts)
	for _, script := range scripts {
		It("is in force everywhere in 2 s: "+script.Name, func() {
			slowest := time.Duration(0)
			for daemon := 0; daemon < daemons; daemon += 3 {
				c.Platform.SetFault(script.Fault)
				if script.Dies {
					applyAndDie(script.Groups)
				} else {
					apply(daemon, script.Groups)
				}
				accepted := time.Now()
				c.Platform.SetFault(script.After)
				Eventually(allHave(c, number), 5*slowdown*time.Second, 10*time.Millisecond).Should(BeTrue())
				slowest = max(slowest, time.Since(accepted))
				c.Platform.SetFault(hysstandin.PlatformFault{})
			}
			AddReportEntry("slowest " + slowest.String())
			Expect(slowest).To(BeNumerically("<", slowdown*maxPropagation))
		})
	}

	It("is watched by two daemons of the zone", func() {
		before := c.Platform.Counts().Watches
		apply(0, 1)
		Eventually(allHave(c, number), slowdown*maxPropagation).Should(BeTrue())
		Expect(c.Platform.Counts().Watches - before).To(BeNumerically("<=", 3))
	})

	It("is not reverted when the store is restored, and is written back", func() {
		backup := c.Platform.Snapshot()
		apply(4, 3)
		Eventually(allHave(c, number), slowdown*maxPropagation).Should(BeTrue())
		c.Platform.Restore(backup)
		Consistently(allHave(c, number), maxPropagation, 50*time.Millisecond).Should(BeTrue())
		var trail hysticket.Log
		Eventually(func() bool {
			_, err := c.Call(http.MethodGet, c.Daemons[7].Settings.OperatorAddress, "/v1/audit", nil, &trail)
			Expect(err).NotTo(HaveOccurred())
			_, ok := trail.Find(number)
			return ok
		}, (slowdown-1)*maxPropagation).Should(BeTrue(), "the lost ticket is in the trail again")
		Expect(trail[len(trail)-1].Number).To(BeZero(), "the write-back is in the trail")
	})

	It("is merged from peers by a daemon that starts while the store is down", func() {
		c.Platform.SetFault(hysstandin.PlatformFault{StoreDown: true})
		c.Start(1)
		Eventually(c.Ready, 10*slowdown*time.Second).Should(BeTrue())
		Expect(newestTicket(c, daemons)).To(Equal(number))
	})
})
