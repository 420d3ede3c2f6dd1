package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/google/uuid"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/io/hysclaims"
	"hyssopshore/io/hysstore"
)

var claimCounts = []int{1, 4, 16, 64}

// measureClaims measures the store calls, the processor time and the failures of
// concurrent claims by one daemon.
func measureClaims(ctx context.Context) ([]Series, error) {
	reads := Series{Name: "store reads of claims made at once", Unit: "reads", Per: "claims"}
	writes := Series{Name: "store writes of claims made at once", Unit: "writes", Per: "claims"}
	used := Series{Name: "processor time of claims, store stand-in included", Unit: "us", Per: "claims"}
	failures := Series{Name: "claims that failed", Unit: "claims", Per: "claims"}
	for _, count := range claimCounts {
		p := hysstandin.NewPlatform()
		s := httptest.NewServer(p.Handler())
		address := hysmember.Address(strings.TrimPrefix(s.URL, "http://"))
		c := hysclaims.New(hysstore.New(address))
		begin := processorTime()
		failed := claimAtOnce(ctx, c, count)
		used.add(count, float64((processorTime()-begin).Nanoseconds())/1e3)
		s.Close()
		counts := p.Counts()
		reads.add(count, float64(counts.Reads))
		writes.add(count, float64(counts.Writes))
		failures.add(count, float64(failed))
	}
	return []Series{reads, writes, used, failures}, nil
}

func claimAtOnce(ctx context.Context, c *hysclaims.Claims, count int) int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	failed := 0
	for range count {
		wait.Go(func() {
			id := hysquery.RequestID(uuid.Must(uuid.NewV7()).String())
			if _, won, err := c.Claim(ctx, id); err != nil || !won {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return failed
}
