// Package logs writes structured log lines without ever blocking the code that logs.
// A goroutine writes the lines from a bounded buffer; when the buffer is full, lines
// are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// bufferBytes holds about 2 s of lines at 2,000 lines a second.
	bufferBytes = 1 << 20
	// flushPeriod bounds the delay of a line. Writing in batches saves a system call
	// per line.
	flushPeriod = 100 * time.Millisecond
)

// Writer buffers lines for an output. A goroutine writes the buffered lines.
type Writer struct {
	// Output receives the lines.
	Output io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer and starts its goroutine.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{Output: output, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it when the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ticker.C:
			reported = w.flush(reported)
		case <-w.stop:
			w.flush(reported)
			return
		}
	}
}

// flush writes the buffered lines, and a line with the number of lines dropped since
// the last such line. reported is the number of drops reported so far; flush returns
// its new value.
func (w *Writer) flush(reported int64) int64 {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.Output.Write(lines) // There is nowhere else to report an error.
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	if dropped := w.Dropped(); dropped > reported {
		fmt.Fprintf(w.Output, "{\"msg\":\"log lines dropped\",\"Lines\":%d}\n", dropped-reported)
		return dropped
	}
	return reported
}

// closeTimeout bounds the wait for an output that blocks.
const closeTimeout = 200 * time.Millisecond

// Close flushes the buffer and stops the goroutine. It does not wait longer than
// closeTimeout for an output that blocks.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Logger returns a logger that writes JSON lines.
func (w *Writer) Logger(level int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-level)}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
}
