package hysdaemon_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
)

func TestDaemon(t *testing.T) {
	hyssuite.Run(t, "Daemon")
}

func firstTicket() hysticket.Ticket {
	return hysticket.Ticket{
		Number: 1, Author: "test",
		Services: hysservice.Services{{Name: "captains-desk", LatencyGoal: 2_000}, {Name: "band-roll"}},
		Groups: hysgroup.Groups{{
			Name: "accra-ringers", Services: []hysservice.Name{"captains-desk", "band-roll"},
		}},
	}
}

var _ = Describe("a cluster of three daemons", func() {
	var c *hystest.Cluster

	BeforeEach(func() {
		c = hystest.NewCluster(
			hystest.Service{Name: "captains-desk", Shards: 3, Replicas: 2, Slots: 2, Records: 60, ServiceMeanUS: 500},
			hystest.Service{Name: "band-roll", Shards: 1, Replicas: 2, Slots: 2},
		)
		DeferCleanup(c.Stop)
		c.Start(3)
		Eventually(func() (hysticket.Result, error) { return c.Apply(0, firstTicket()) }, 5*time.Second).
			Should(BeElementOf(hysticket.ResultAccepted, hysticket.ResultAlreadyAccepted))
		Eventually(c.Ready, 10*time.Second).Should(BeTrue())
	})

	It("answers a lookup from every shard at each daemon", func() {
		for i := range c.Daemons {
			answer, status, err := c.Query(i, hysquery.Query{
				Group: "accra-ringers", Service: "captains-desk", Body: json.RawMessage(`{}`),
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(answer.Outcome).To(Equal(hysquery.OutcomeComplete))
			Expect(answer.Coverage.Answered()).To(Equal(3))
			Expect(answer.Hits).To(HaveLen(60))
		}
	})

	It("runs a booking once if it is sent to every daemon concurrently", func() {
		id := hysquery.RequestID(uuid.Must(uuid.NewV7()).String())
		done := make(chan hysquery.Answer, len(c.Daemons))
		for i := range c.Daemons {
			go func() {
				defer GinkgoRecover()
				answer, _, err := c.Query(i, hysquery.Query{
					RequestID: id, Group: "accra-ringers", Service: "band-roll",
					NonIdempotent: true, Key: "treble", Body: json.RawMessage(`{"book":"treble"}`),
				})
				Expect(err).NotTo(HaveOccurred())
				done <- answer
			}()
		}
		complete := 0
		for range c.Daemons {
			answer := <-done
			Expect(answer.Outcome).To(BeElementOf(hysquery.OutcomeComplete, hysquery.OutcomeUnknown))
			if answer.Outcome == hysquery.OutcomeComplete {
				complete++
			}
		}
		Expect(complete).To(BeNumerically(">=", 1))
		runs := 0
		for _, s := range c.Searchers {
			for _, r := range s.Runs() {
				if r.RequestID == string(id) {
					runs++
				}
			}
		}
		Expect(runs).To(Equal(1))
	})
})
