package hysfront

import (
	"context"
	"time"

	"hyssopshore/core/hysdispatch"
)

// Timing of a planned stop.
const (
	// drainAcceptTime is how long new connections still arrive after the daemon is
	// no longer ready: two readiness probes and the interval between them.
	drainAcceptTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that remains for the end of the
	// process.
	stopMargin = 500 * time.Millisecond
	// lastAnswerTime is how long callers may take to receive the last answers.
	lastAnswerTime = 200 * time.Millisecond
	// lastSendTime is how long the last sends to searchers may run.
	lastSendTime = time.Second
)

// Longest shares of the time that remains once no new callers come, for short grace
// periods.
const (
	lastAnswerShare = 0.2
	lastSendShare   = 1.0 / 3
)

// stopTimes are the times of a planned stop, in order.
type stopTimes struct {
	// noCallers is when no new callers come any more.
	noCallers time.Time
	// lastSend is when nothing more is sent to searchers. What still waits is refused, so
	// that its callers can try another instance.
	lastSend time.Time
	// lastAnswer is when requests that still run get their final answer.
	lastAnswer time.Time
	// end is when all connections are closed.
	end time.Time
}

// newStopTimes returns the times of a stop that begins now, with a grace period.
func newStopTimes(now time.Time, grace time.Duration) stopTimes {
	accept := min(drainAcceptTime, grace/2)
	remaining := max(grace-accept-stopMargin, 0)
	answerTime := min(lastAnswerTime, time.Duration(lastAnswerShare*float64(remaining)))
	sendTime := min(lastSendTime, time.Duration(lastSendShare*float64(remaining)))
	t := stopTimes{noCallers: now.Add(accept)}
	t.end = t.noCallers.Add(remaining)
	t.lastAnswer = t.end.Add(-answerTime)
	t.lastSend = t.lastAnswer.Add(-sendTime)
	return t
}

// drain stops the daemon without interrupting a request: it waits until no new
// callers come, then until the requests in flight are finished. Each request that was
// read gets an answer: one that could not be sent to a searcher by the last time for that
// is refused, and one that then runs for too long has failed.
func (f *Front) drain(ports []port) {
	f.draining.Store(true)
	f.mu.Lock()
	grace := f.settings.StopGrace
	f.mu.Unlock()
	t := newStopTimes(time.Now(), grace)
	f.log.Info("stopping", "stop-grace", grace, "last-send-ms", time.Until(t.lastSend).Milliseconds(), "last-answer-ms", time.Until(t.lastAnswer).Milliseconds())
	f.dispatcher.StopAt(t.lastSend)
	time.Sleep(time.Until(t.noCallers))
	if f.shutDownBy(t.lastAnswer) != nil {
		f.log.Warn("requests in flight are ended", "error", hysdispatch.ErrStopping)
		f.callerServer.endRequests(hysdispatch.ErrStopping)
	}
	if err := f.shutDownBy(t.end); err != nil {
		f.log.Warn("stopped with requests in flight", "error", err)
	}
	closePorts(ports)
}

// shutDownBy waits until no request of a caller or of another daemon is in flight, at
// most until a time. The error says that some of callers are.
func (f *Front) shutDownBy(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := f.callerServer.shutdown(ctx)
	f.finishGathering(ctx)
	return err
}
