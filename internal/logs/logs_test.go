package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ entered, release chan struct{} }

func (s *blockedOutput) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return len(b), nil
}

// TestBlockedOutput guards against requests that wait for a blocked log output, and
// against a buffer that grows without bound meanwhile.
func TestBlockedOutput(t *testing.T) {
	out := &blockedOutput{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := NewWriter(out)
	log := w.Logger(0)
	log.Info("first")
	<-out.entered
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 50_000 {
			log.Info("request ended", "RequestID", "9c41d07be2a35f68", "Outcome", "Answered")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging waits for the output")
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	w.mu.Lock()
	held := len(w.pending)
	w.mu.Unlock()
	if held > bufferBytes {
		t.Errorf("%d bytes are held, the bound is %d", held, bufferBytes)
	}
	w.Close() // Must not wait for the blocked output.
	close(out.release)
	<-w.done
}

// TestLines guards against lines that are lost on Close, and against unreported
// drops.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.dropped.Add(3)
	w.Logger(0).Info("server suspected", "Server", "s1")
	w.Close()
	text := out.String()
	for _, want := range []string{`"msg":"server suspected"`, `"Server":"s1"`, `"msg":"log lines dropped","Lines":3`} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %s:\n%s", want, text)
		}
	}
}
