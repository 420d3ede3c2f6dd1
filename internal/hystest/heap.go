package hystest

import (
	"runtime"
	"time"
)

// heapSample is the time between two looks at the heap.
const heapSample = 5 * time.Millisecond

// HeapGrowth watches the heap until the returned function is called, which tells
// by how many bytes it grew at most.
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
			case <-time.After(heapSample):
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
