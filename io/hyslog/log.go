// Package hyslog writes structured log lines without blocking the goroutines that
// log: a line passes through a bounded queue to a single writing goroutine, and is
// dropped and counted if the queue is full. The rate of each message is limited
// too; the lines over the limit are dropped, and their number is logged.
//
// # Usage
//
//	w := hyslog.NewWriter(os.Stdout)
//	defer w.Close()
//	log := slog.New(hyslog.NewHandler(w))
package hyslog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log.
const (
	maxQueuedLines = 4096
	// maxBatchBytes is the batch size at which the queued lines are written without
	// adding more. The last line may exceed it.
	maxBatchBytes = 64 << 10
	// flushInterval is the pause between two writes, in which lines are batched.
	flushInterval = 50 * time.Millisecond
	// maxLinesPerSecond is the rate limit of the lines with the same message.
	maxLinesPerSecond = 100
)

// Writer queues lines for a single goroutine that writes them. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
	stop    chan struct{}
}

// NewWriter returns a Writer and starts its goroutine. Call Close to stop it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of a line, or drops the line if the queue is full. It never
// blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	queued := make([]byte, len(line))
	copy(queued, line)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full
// plus the number of batches that could not be written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.stop) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.flush(out, line)
		case <-w.stop:
			w.flush(out, nil)
			return
		}
		select {
		case <-w.stop:
		case <-time.After(flushInterval):
		}
	}
}

// flush writes the queued lines in batches, appended to the given first batch.
func (w *Writer) flush(out io.Writer, batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
			w.writeBatch(out, batch)
			return
		}
		w.writeBatch(out, batch)
		batch = nil
	}
}

// writeBatch writes a batch. A failed write is counted as one dropped line, since
// the log itself is the only place to report it.
func (w *Writer) writeBatch(out io.Writer, batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// Handler is a slog.Handler that formats lines as JSON and limits the rate of each
// message.
type Handler struct {
	slog.Handler
	rates *rates
}

// rates counts the lines of each message in the current second.
type rates struct {
	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewHandler returns a handler that writes to a writer.
func NewHandler(w io.Writer) *Handler {
	return &Handler{Handler: slog.NewJSONHandler(w, nil), rates: &rates{counts: make(map[string]int)}}
}

// Handle writes a record unless its message exceeds the rate limit. In a new second
// it first logs how many lines of each message were dropped in the last one.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.rates.allow(r.Message, r.Time.Unix())
	for message, count := range dropped {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		summary.Add("message", message, "count", count)
		if err := h.Handler.Handle(ctx, summary); err != nil {
			return fmt.Errorf("Handler.Handle: %w", err)
		}
	}
	if !allowed {
		return nil
	}
	if err := h.Handler.Handle(ctx, r); err != nil {
		return fmt.Errorf("Handler.Handle: %w", err)
	}
	return nil
}

// WithAttrs returns a handler that adds attributes and shares the rate limits.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), rates: h.rates}
}

// WithGroup returns a handler that opens a group and shares the rate limits.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), rates: h.rates}
}

// allow counts a line and reports whether it is within the rate limit of its
// message. For the first line of a second, it also returns the number of lines of
// each message that were dropped in the previous second that had lines.
func (r *rates) allow(message string, second int64) (bool, map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped map[string]int
	if second != r.second {
		dropped = r.droppedLines()
		r.second = second
		clear(r.counts)
	}
	r.counts[message]++
	return r.counts[message] <= maxLinesPerSecond, dropped
}

// droppedLines returns, by message, the number of lines over the rate limit.
func (r *rates) droppedLines() map[string]int {
	dropped := make(map[string]int)
	for message, count := range r.counts {
		if count > maxLinesPerSecond {
			dropped[message] = count - maxLinesPerSecond
		}
	}
	return dropped
}
