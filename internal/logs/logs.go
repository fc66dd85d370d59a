// Package logs writes structured log lines without ever blocking the code that
// logs. Lines wait in a bounded buffer for a writer of their own; when it is full,
// lines are dropped and counted.
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
	// flushEvery bounds how late a line is written. Writing in batches spares a
	// system call for each line.
	flushEvery = 100 * time.Millisecond
)

// Writer is a bounded buffer before an output. Run writes what Write has taken.
type Writer struct {
	// Output takes the lines.
	Output io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that has started to write to output.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{Output: output, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line or drops it.
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

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case <-ticker.C:
			told = w.flush(told)
		case <-w.stop:
			w.flush(told)
			return
		}
	}
}

// flush writes what waits, and a line about lines that were dropped since told.
func (w *Writer) flush(told int64) int64 {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.Output.Write(lines) // There is nowhere else to report it.
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	if dropped := w.Dropped(); dropped > told {
		fmt.Fprintf(w.Output, "{\"msg\":\"log lines dropped\",\"Lines\":%d}\n", dropped-told)
		return dropped
	}
	return told
}

// closeWait bounds the wait for an output that nobody reads.
const closeWait = 200 * time.Millisecond

// Close writes what waits and ends the writer. It does not wait for an output that
// blocks.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// Logger returns a logger of lines in JSON.
func (w *Writer) Logger(level int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-level)}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
}
