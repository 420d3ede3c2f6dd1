// Package hyslog writes structured log lines without ever blocking those who
// log: a line goes through a bounded queue to one writer, and is dropped and
// counted if the queue is full. Each kind of line has a rate; what exceeds it
// is counted too, and the count is logged.
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
	queueLines = 4096
	// maxBatch bounds the bytes that are written at once.
	maxBatch = 64 << 10
	// flushInterval is how long lines wait to be written together.
	flushInterval = 50 * time.Millisecond
	// linesPerSecond bounds the lines of one message.
	linesPerSecond = 100
)

// Writer hands lines to one writing goroutine. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
	stop    chan struct{}
}

// NewWriter returns a writer and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and stops.
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

// flush writes what is queued, in large pieces.
func (w *Writer) flush(out io.Writer, batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatch {
				continue
			}
		default:
			w.put(out, batch)
			return
		}
		w.put(out, batch)
		batch = nil
	}
}

// put writes a batch. A failed write is counted as dropped, since there is
// nowhere to tell of it.
func (w *Writer) put(out io.Writer, batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// Handler limits the rate of each message and formats the lines as JSON.
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

// Handle writes a record unless its message exceeds its rate.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, left := h.rates.take(r.Message, r.Time.Unix())
	for message, count := range left {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
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

// WithAttrs returns a handler that adds attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), rates: h.rates}
}

// WithGroup returns a handler that opens a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), rates: h.rates}
}

// take counts a line and reports whether it is within its rate. In a new
// second it returns how many lines of each message the last one left out.
func (r *rates) take(message string, second int64) (bool, map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left map[string]int
	if second != r.second {
		left = r.leftOut()
		r.second = second
		clear(r.counts)
	}
	r.counts[message]++
	return r.counts[message] <= linesPerSecond, left
}

func (r *rates) leftOut() map[string]int {
	left := make(map[string]int)
	for message, count := range r.counts {
		if count > linesPerSecond {
			left[message] = count - linesPerSecond
		}
	}
	return left
}
