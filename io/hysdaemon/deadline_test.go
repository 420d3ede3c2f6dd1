package hysdaemon_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hystest"
)

var _ = Describe("a planned stop", func() {
	It("waits for a request in flight up to the deadline of the request", func() {
		c := hystest.NewCluster(hystest.Service{Name: "form-vault", Shards: 1, Replicas: 1, Records: 10, ServiceMeanUS: 7_000_000})
		DeferCleanup(c.Stop)
		c.Start(1)
		ticket := hysticket.Ticket{
			Number: 1, Author: "test",
			Services: hysservice.Services{{Name: "form-vault", WaitForCoverage: true, MaxDeadline: 12_000}},
			Groups:   hysgroup.Groups{{Name: "clerks", Services: []hysservice.Name{"form-vault"}}},
		}
		Eventually(func() error { _, err := c.Apply(0, ticket); return err }, "5s").Should(Succeed())
		Eventually(c.Ready, "10s").Should(BeTrue())
		address := c.Daemons[0].Settings.CallerAddress
		query := hysquery.Query{Group: "clerks", Service: "form-vault", Class: hysquery.ClassBulk, Body: []byte(`{}`)}
		done := make(chan hysquery.Answer, 1)
		go func() {
			defer GinkgoRecover()
			var answer hysquery.Answer
			_, err := c.Call(http.MethodPost, address, "/v1/query", query, &answer)
			Expect(err).NotTo(HaveOccurred())
			done <- answer
		}()
		time.Sleep(200 * time.Millisecond)
		Expect(c.Replace(0)).To(Succeed())
		var answer hysquery.Answer
		Eventually(done, "1s").Should(Receive(&answer))
		Expect(answer.Outcome).To(Equal(hysquery.OutcomeComplete), answer.Reason)
	})
})
