package hysdaemon_test

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysclaims"
	"hyssopshore/io/hysstore"
)

// bookingScript is one case of testdata/bookings.json: the expected outcomes when
// one request id is sent to each daemon in turn.
type bookingScript struct {
	Name  string                   `json:"name"`
	Fault hysstandin.PlatformFault `json:"fault"`
	// Heals means that the fault ends after the first send.
	Heals bool `json:"heals"`
	// Claimed means that a daemon that died had claimed the id, and Recorded that
	// it had recorded an answer too.
	Claimed  bool               `json:"claimed"`
	Recorded bool               `json:"recorded"`
	Sends    []hysquery.Outcome `json:"sends"`
	Runs     int                `json:"runs"`
}

// simulateDeadDaemon makes the claim, and the record, of a daemon that has died
// since.
func (s bookingScript) simulateDeadDaemon(c *hystest.Cluster, id hysquery.RequestID) {
	if !s.Claimed {
		return
	}
	claims := hysclaims.New(hysstore.New(c.Daemons[0].Settings.StoreAddress))
	claim, won, err := claims.Claim(context.Background(), id)
	Expect(err).NotTo(HaveOccurred())
	Expect(won).To(BeTrue())
	if s.Recorded {
		answer := hysquery.Answer{RequestID: id, Outcome: hysquery.OutcomeComplete}
		Expect(claims.Record(context.Background(), claim, answer)).To(Succeed())
	}
}

func runsOf(c *hystest.Cluster, id hysquery.RequestID) int {
	runs := 0
	for _, s := range c.Searchers {
		for _, r := range s.Runs() {
			if r.RequestID == string(id) {
				runs++
			}
		}
	}
	return runs
}

var _ = Describe("a booking", Ordered, func() {
	var c *hystest.Cluster

	BeforeAll(func() {
		c = hystest.NewCluster(
			hystest.Service{Name: "captains-desk", Shards: 1, Replicas: 1},
			hystest.Service{Name: "band-roll", Shards: 1, Replicas: 2},
		)
		DeferCleanup(func() { c.Stop() })
		c.Start(3)
		Eventually(func() (hysticket.Result, error) { return c.Apply(0, firstTicket()) }, 5*time.Second).
			Should(Equal(hysticket.ResultAccepted))
		Eventually(c.Ready, 10*time.Second).Should(BeTrue())
	})
	AfterEach(func() { c.Platform.SetFault(hysstandin.PlatformFault{}) })

	var scripts []bookingScript
	hyssuite.Read("bookings.json", &scripts)
	for _, script := range scripts {
		It("runs at most once, and each send gets the expected outcome: "+script.Name, func() {
			id := hysquery.RequestID(uuid.Must(uuid.NewV7()).String())
			script.simulateDeadDaemon(c, id)
			c.Platform.SetFault(script.Fault)
			for i, expected := range script.Sends {
				answer, _, err := c.Query(i, hysquery.Query{
					RequestID: id, Group: "accra-ringers", Service: "band-roll",
					NonIdempotent: true, Key: "treble", Body: json.RawMessage(`{"book":"treble"}`),
				})
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Outcome).To(Equal(expected), "send %d: %s", i, answer.Reason)
				if script.Heals {
					c.Platform.SetFault(hysstandin.PlatformFault{})
				}
			}
			Expect(runsOf(c, id)).To(Equal(script.Runs))
		})
	}
})
