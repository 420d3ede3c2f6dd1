package hystest

import (
	"runtime"
	"time"
)

// heapSampleInterval is the time between two samples of the heap size.
const heapSampleInterval = 5 * time.Millisecond

// HeapGrowth samples the heap size until the returned function is called, which
// returns the largest growth seen, in bytes.
func HeapGrowth() func() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, stats.HeapAlloc
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(heapSampleInterval):
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-stopped
		return peak - before
	}
}
