package hysdispatch

import "time"

// workerIdleTime is how long a worker waits for its next send. A query sends to all
// its shards at about the same time.
const workerIdleTime = 2 * time.Second

// workers are the goroutines that send. Each running send has one. Idle ones are kept
// for the next sends, because growing the stack is what makes a new goroutine
// expensive.
type workers struct {
	idle chan func()
}

func newWorkers() *workers {
	return &workers{idle: make(chan func())}
}

// run runs work on an idle goroutine or on a new one.
func (w *workers) run(work func()) {
	select {
	case w.idle <- work:
	default:
		go w.serve(work)
	}
}

// serve runs work, and further work until there was none for workerIdleTime.
func (w *workers) serve(work func()) {
	idle := time.NewTimer(workerIdleTime)
	defer idle.Stop()
	for {
		work()
		idle.Reset(workerIdleTime)
		select {
		case work = <-w.idle:
		case <-idle.C:
			return
		}
	}
}
