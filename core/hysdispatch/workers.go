package hysdispatch

import "time"

// workerIdleTime is how long a worker waits for its next send. A query has a send at
// each shard at about the same time.
const workerIdleTime = 2 * time.Second

// workers are the goroutines that send. They are as many as sends run at once, and
// some are kept for the next ones: what a new one costs most is to grow its stack.
type workers struct {
	next chan func()
}

func newWorkers() *workers {
	return &workers{next: make(chan func())}
}

// run runs work on a goroutine that waits, or on a new one.
func (w *workers) run(work func()) {
	select {
	case w.next <- work:
	default:
		go w.serve(work)
	}
}

// serve runs work, and what comes until none has come for a while.
func (w *workers) serve(work func()) {
	idle := time.NewTimer(workerIdleTime)
	defer idle.Stop()
	for {
		work()
		idle.Reset(workerIdleTime)
		select {
		case work = <-w.next:
		case <-idle.C:
			return
		}
	}
}
