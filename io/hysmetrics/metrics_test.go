package hysmetrics_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysmetrics"
)

func TestMetrics(t *testing.T) {
	hyssuite.Run(t, "Metrics")
}

func scrape(m *hysmetrics.Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	Expect(recorder.Code).To(Equal(http.StatusOK))
	return recorder.Body.String()
}

var _ = Describe("metrics", func() {
	It("are served with their names and labels", func() {
		m := hysmetrics.New()
		q := hysquery.Query{Group: "accra-ringers", Service: "captains-desk", Class: hysquery.ClassBulk}
		a := hysquery.Answer{Outcome: hysquery.OutcomePartial, Coverage: hysquery.Coverage{{}, {}, {Status: hysquery.ShardTimeout}}}
		m.ObserveQuery(q, a, 30*time.Millisecond)
		m.ObserveQuery(hysquery.Query{}, hysquery.Answer{Outcome: hysquery.OutcomeNotRun}, time.Millisecond)
		m.ObserveClaim(hysmetrics.ClaimWon)
		m.ObserveTicket("accepted")
		m.Set(hysmetrics.Gauges{Ready: true, StoreAge: 1500 * time.Millisecond, MembersUsable: 3, Quarantined: 2})
		m.SetService("captains-desk", hysmetrics.ServiceGauges{Waiting: 7, Slots: 4, RetryBudget: 2.5})
		m.SetConnections(hysmetrics.PortCaller, 12)
		m.Close()
		text := scrape(m)
		for _, line := range []string{
			`hyssopshore_requests_total{class="bulk",group="accra-ringers",outcome="partial",service="captains-desk"} 1`,
			`hyssopshore_requests_total{class="urgent",group="none",outcome="not-run",service="none"} 1`,
			`hyssopshore_request_seconds_bucket{class="bulk",service="captains-desk",le="0.02"} 0`,
			`hyssopshore_request_seconds_bucket{class="bulk",service="captains-desk",le="0.035"} 1`,
			`hyssopshore_shards_total{service="captains-desk",status="answered"} 2`,
			`hyssopshore_shards_total{service="captains-desk",status="timeout"} 1`,
			`hyssopshore_claims_total{result="won"} 1`,
			`hyssopshore_tickets_total{result="accepted"} 1`,
			`hyssopshore_ready 1`,
			`hyssopshore_store_age_seconds 1.5`,
			`hyssopshore_members_usable 3`,
			`hyssopshore_quarantined 2`,
			`hyssopshore_queue_waiting{service="captains-desk"} 7`,
			`hyssopshore_retry_budget{service="captains-desk"} 2.5`,
			`hyssopshore_connections{port="caller"} 12`,
		} {
			Expect(text).To(ContainSubstring(line))
		}
	})

	It("have a bounded number of series for any number of groups", func() {
		m := hysmetrics.New()
		for i := range 2000 {
			m.ObserveQuery(hysquery.Query{Group: hysgroup.Name(fmt.Sprintf("group-%d", i)), Service: "s"}, hysquery.Answer{}, 0)
		}
		m.Close()
		text := scrape(m)
		Expect(text).To(ContainSubstring(`group="group-499"`))
		Expect(text).NotTo(ContainSubstring(`group="group-500"`))
		Expect(text).To(ContainSubstring(`group="other",outcome="complete",service="s"} 1500`))
	})
})
