package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/go-logr/logr"
)

// logRequest logs the lines of one request.
func logRequest(log logr.Logger, id, outcome string, attempts int) {
	log.Info("routing decision", RequestID, id, "Server", "s1")
	for range attempts {
		log.Info(AttemptEnded, RequestID, id, "Server", "s1")
	}
	log.Info(RequestEnded, RequestID, id, Outcome, outcome)
}

// messages returns the messages of the lines by request.
func messages(t *testing.T, out string) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for line := range strings.Lines(out) {
		var l struct {
			Message   string `json:"msg"`
			RequestID string
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		found[l.RequestID] = append(found[l.RequestID], l.Message)
	}
	return found
}

// TestSampler guards against a failed request that is missing from the log or lacks a
// line, and against an ordinary one that is logged in part.
func TestSampler(t *testing.T) {
	var out bytes.Buffer
	sampler := NewSampler(slog.NewJSONHandler(&out, nil))
	log := logr.FromSlogHandler(sampler)
	const burst = 20 * wholeRequests
	for i := range burst {
		logRequest(log, fmt.Sprintf("ordinary-%d", i), Answered, 0)
		if i%50 == 0 {
			logRequest(log, fmt.Sprintf("refused-%d", i), "Overloaded", 0)
			logRequest(log, fmt.Sprintf("resumed-%d", i), Answered, 1)
		}
		log.WithValues("Place", "a").Info("server suspected", "Server", "s1")
	}
	logged := 0
	found := messages(t, out.String())
	if n := len(found[""]); n < burst {
		t.Errorf("%d lines without a request, want %d", n, burst)
	}
	for id, lines := range found {
		want := 2
		switch {
		case id == "":
			continue
		case strings.HasPrefix(id, "resumed"):
			want = 3
		case strings.HasPrefix(id, "ordinary"):
			logged++
		}
		if len(lines) != want {
			t.Errorf("request %s has the lines %v", id, lines)
		}
	}
	for i := 0; i < burst; i += 50 {
		for _, kind := range []string{"refused", "resumed"} {
			if id := fmt.Sprintf("%s-%d", kind, i); len(found[id]) == 0 {
				t.Errorf("request %s is not logged", id)
			}
		}
	}
	// The burst of the rate, and what it allows while the test runs.
	if logged < wholeRequests/2 || logged > burst/2 {
		t.Errorf("%d of %d ordinary requests are logged", logged, burst)
	}
	if n := len(sampler.state.requests); n != 0 || sampler.state.held != 0 {
		t.Errorf("%d requests and %d bytes are held at the end", n, sampler.state.held)
	}
}

// TestSamplerBound guards against held lines that grow without bound, and against a
// failure that is not logged when there is no space for the lines before it.
func TestSamplerBound(t *testing.T) {
	var out bytes.Buffer
	sampler := NewSampler(slog.NewJSONHandler(&out, nil))
	log := logr.FromSlogHandler(sampler)
	const open = 4 * heldBytes / recordBytes
	for i := range open {
		log.Info("routing decision", RequestID, fmt.Sprint(i))
	}
	if sampler.state.held > heldBytes {
		t.Errorf("%d bytes are held, the bound is %d", sampler.state.held, heldBytes)
	}
	for i := range open {
		log.Info(RequestEnded, RequestID, fmt.Sprint(i), Outcome, "BackendFailed")
	}
	found := messages(t, out.String())
	for i := range open {
		if lines := found[fmt.Sprint(i)]; len(lines) == 0 || lines[len(lines)-1] != RequestEnded {
			t.Fatalf("request %d has the lines %v", i, lines)
		}
	}
}
