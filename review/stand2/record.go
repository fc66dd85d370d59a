package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what happened, with the time since its start, to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	started time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, w: bufio.NewWriter(f), started: time.Now()}, nil
}

// note adds a line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.w, format, args...)
	_ = r.w.WriteByte('\n') // close reports errors of the writer.
}

func (r *recorder) since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
