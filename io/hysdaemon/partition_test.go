package hysdaemon_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssettings"
)

// Timing and bounds of a partition of one daemon from all searchers.
const (
	partitionSettle = 1500 * time.Millisecond
	partitionSpan   = 1200 * time.Millisecond
	partitionRate   = 40
	// partitionMaxLatency bounds the time of every answer, of two seconds allowed.
	partitionMaxLatency = time.Second
	partitionServed     = 0.98
)

// lookup is one request of a caller and its end.
type lookup struct {
	began    time.Time
	latency  time.Duration
	complete bool
}

// lookUp sends requests to a daemon at a rate until the time is over.
func lookUp(d *hystest.Daemon, until time.Time) []lookup {
	var mu sync.Mutex
	var all []lookup
	var wait sync.WaitGroup
	for time.Now().Before(until) {
		wait.Go(func() {
			one := lookup{began: time.Now()}
			answer, status, err := d.Query(hysquery.Query{
				RequestID: hysquery.RequestID(uuid.NewString()), Group: "accra-ringers", Service: "captains-desk", Body: json.RawMessage(`{}`),
			})
			one.latency = time.Since(one.began)
			one.complete = err == nil && status == http.StatusOK && answer.Outcome == hysquery.OutcomeComplete
			mu.Lock()
			defer mu.Unlock()
			all = append(all, one)
		})
		time.Sleep(time.Second / partitionRate)
	}
	wait.Wait()
	return all
}

// completeShare returns the share of complete answers to requests of a span.
func completeShare(all []lookup, from, to time.Time) float64 {
	count, complete := 0, 0
	for _, one := range all {
		if one.began.Before(from) || !one.began.Before(to) {
			continue
		}
		count++
		if one.complete {
			complete++
		}
	}
	return float64(complete) / float64(max(count, 1))
}

var _ = Describe("callers of a cluster of which one daemon can't reach its searchers", func() {
	for name, how := range map[string]hystest.Cut{
		"hang": hystest.CutHang, "reset": hystest.CutReset, "replies are lost": hystest.CutReplies,
	} {
		It("are served at each daemon: "+name, func() {
			c := hystest.NewCluster(hystest.Service{Name: "captains-desk", Shards: 3, Replicas: 2, Slots: 4, Records: 30, ServiceMeanUS: 2000})
			DeferCleanup(c.Stop)
			links := c.NewLinks()
			DeferCleanup(links.Close)
			c.Start(2)
			c.Start(1, func(s *hyssettings.Settings) { s.StoreAddress = links.StoreAddress() })
			Eventually(func() (hysticket.Result, error) { return c.Apply(0, firstTicket()) }, 5*time.Second).
				Should(BeElementOf(hysticket.ResultAccepted, hysticket.ResultAlreadyAccepted))
			Eventually(c.Ready, 10*time.Second).Should(BeTrue())
			cutAt := time.Now().Add(time.Second)
			healAt := cutAt.Add(partitionSettle + partitionSpan)
			end := healAt.Add(partitionSettle + partitionSpan)
			results := make([][]lookup, len(c.Daemons))
			var wait sync.WaitGroup
			for i, d := range c.Daemons {
				wait.Go(func() { results[i] = lookUp(d, end) })
			}
			time.Sleep(time.Until(cutAt))
			links.Cut(how)
			time.Sleep(time.Until(healAt))
			links.Heal()
			wait.Wait()
			for i, all := range results {
				for _, one := range all {
					Expect(one.latency).To(BeNumerically("<", partitionMaxLatency))
				}
				Expect(completeShare(all, cutAt.Add(partitionSettle), healAt)).To(BeNumerically(">=", partitionServed), "daemon %d during the cut", i)
				Expect(completeShare(all, healAt.Add(partitionSettle), end)).To(BeNumerically(">=", partitionServed), "daemon %d after the cut", i)
			}
		})
	}
})
