package hysdaemon_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hysdaemon"
)

func get(address hysmember.Address, path string) (int, string) {
	response, err := http.Get("http://" + string(address) + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

var _ = Describe("the reports of a daemon", func() {
	It("have one log line for each change of state, with its reason", func() {
		c := hystest.NewCluster(hystest.Service{Name: "captains-desk", Shards: 1, Replicas: 1})
		DeferCleanup(c.Stop)
		c.Start(2)
		settings := c.Daemons[0].Settings
		settings.Instance, settings.CallerAddress, settings.PeerAddress = "entry-9", "127.0.0.1:0", "127.0.0.1:0"
		settings.OperatorAddress = "127.0.0.1:0"
		log := gbytes.NewBuffer()
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- hysdaemon.New(settings, slog.New(slog.NewJSONHandler(log, nil))).Run(ctx)
		}()
		Eventually(log, "5s").Should(gbytes.Say(`"started"`))
		Eventually(func() error { _, err := c.Apply(0, firstTicket()); return err }, "5s").Should(Succeed())
		// A member is reported as found once it is ready. The order of these
		// lines isn't fixed.
		text := func() string { return string(log.Contents()) }
		Eventually(text, "10s").Should(And(
			MatchRegexp(`"configuration changed".*"newest-ticket":1`),
			MatchRegexp(`"member found".*"member":"entry-1"`),
			MatchRegexp(`"member found".*"member":"entry-2"`),
		))
		c.Platform.SetFault(hysstandin.PlatformFault{Down: true})
		Eventually(log, "10s").Should(gbytes.Say(`"store unavailable".*"reason":"no read has succeeded"`))
		c.Platform.SetFault(hysstandin.PlatformFault{})
		Eventually(log, "5s").Should(gbytes.Say(`"store available again"`))
		c.Platform.SetList(hysmember.List{})
		Eventually(log, "5s").Should(gbytes.Say(`"member lost".*"reason":"not in the instance list"`))
		stop()
		Expect(<-done).To(Succeed())
		Expect(log).To(gbytes.Say(`"draining".*"reason":"asked to stop"`))
		Expect(log).To(gbytes.Say(`"stopped"`))
		Expect(string(log.Contents())).NotTo(ContainSubstring(hystest.Secret))
	})

	It("include metrics, which only the operator port serves", func() {
		c := hystest.NewCluster(hystest.Service{Name: "captains-desk", Shards: 3, Replicas: 1}, hystest.Service{Name: "band-roll", Shards: 1, Replicas: 1})
		DeferCleanup(c.Stop)
		c.Start(1)
		Eventually(func() error { _, err := c.Apply(0, firstTicket()); return err }, "5s").Should(Succeed())
		Eventually(c.Ready, "10s").Should(BeTrue())
		_, _, err := c.Query(0, hysquery.Query{Group: "accra-ringers", Service: "captains-desk", Body: []byte(`{}`)})
		Expect(err).NotTo(HaveOccurred())
		settings := c.Daemons[0].Settings
		Eventually(func() string { _, text := get(settings.OperatorAddress, "/metrics"); return text }, 5*time.Second).Should(And(
			ContainSubstring(`hyssopshore_requests_total{class="urgent",group="accra-ringers",outcome="complete",service="captains-desk"} 1`),
			ContainSubstring(`hyssopshore_shards_total{service="captains-desk",status="answered"} 3`),
			ContainSubstring(`hyssopshore_tickets_total{result="accepted"} 1`),
			ContainSubstring("hyssopshore_ready 1"),
		))
		status, _ := get(settings.CallerAddress, "/metrics")
		Expect(status).To(Equal(http.StatusNotFound))
	})
})
