package hysfront_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/hystest"
)

var _ = Describe("a daemon whose connections to all searchers are reset and refused", func() {
	It("suspects no request of a crash, and marks no searcher as leaving", func() {
		runs := &runCounts{counts: make(map[string]int)}
		var searchers hysmember.Entries
		for _, service := range []hysservice.Name{"roll", "desk", "ledger"} {
			searchers = append(searchers, remoteSearcher(hysmember.SearcherID(service+"-0"), service, 100*time.Millisecond, runs))
		}
		d := newLinkedDaemon("127.0.66.1", searchers)
		s := &store{
			version: 1, revision: hystest.Revision(5), entries: d.entries, peers: hysmember.Instances{d.instance()}, goal: partitionGoal, books: true,
			shards: []hysservice.Name{"desk", "ledger"}, watchWait: 100 * time.Millisecond,
		}
		d.start(s)
		Eventually(d.ready, "3s").Should(Equal(http.StatusOK))
		var wait sync.WaitGroup
		wait.Go(func() { d.call(100, time.Now().Add(3*time.Second)) })
		time.Sleep(time.Second)
		d.cut(hystest.CutReset)
		time.Sleep(time.Second)
		d.heal()
		wait.Wait()
		Expect(d.log.String()).To(ContainSubstring("no searcher in reach"))
		Expect(d.log.String()).NotTo(ContainSubstring("request suspected of a crash"), fmt.Sprint(s.evidence))
		Expect(d.log.String()).NotTo(ContainSubstring("is leaving"))
		s.withLock(func() { Expect(s.evidence).To(BeEmpty()) })
	})
})
