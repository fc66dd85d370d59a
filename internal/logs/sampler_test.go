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

// messagesByRequest returns the log messages by request id.
func messagesByRequest(t *testing.T, out string) map[string][]string {
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

// TestSampler guards against failed requests that are missing from the log or lack a
// line, and against successful ones that are logged in part.
func TestSampler(t *testing.T) {
	var out bytes.Buffer
	sampler := NewSampler(slog.NewJSONHandler(&out, nil))
	log := logr.FromSlogHandler(sampler)
	const burst = 20 * sampledRequestsPerSecond
	for i := range burst {
		logRequest(log, fmt.Sprintf("ordinary-%d", i), Answered, 0)
		if i%50 == 0 {
			logRequest(log, fmt.Sprintf("refused-%d", i), "Overloaded", 0)
			logRequest(log, fmt.Sprintf("resumed-%d", i), Answered, 1)
		}
		log.WithValues("Place", "a").Info("server suspected", "Server", "s1")
	}
	logged := 0
	found := messagesByRequest(t, out.String())
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
	// The bounds allow for the burst and for the requests that the rate allows while
	// the test runs.
	if logged < sampledRequestsPerSecond/2 || logged > burst/2 {
		t.Errorf("%d of %d ordinary requests are logged", logged, burst)
	}
	if n := len(sampler.state.requests); n != 0 || sampler.state.heldBytes != 0 {
		t.Errorf("%d requests and %d bytes are held at the end", n, sampler.state.heldBytes)
	}
}

// TestSamplerBound guards against held lines that grow without bound, and against a
// failure that is not logged because there was no space for its earlier lines.
func TestSamplerBound(t *testing.T) {
	var out bytes.Buffer
	sampler := NewSampler(slog.NewJSONHandler(&out, nil))
	log := logr.FromSlogHandler(sampler)
	const open = 4 * maxHeldBytes / assumedRecordBytes
	for i := range open {
		log.Info("routing decision", RequestID, fmt.Sprint(i))
	}
	if sampler.state.heldBytes > maxHeldBytes {
		t.Errorf("%d bytes are held, the bound is %d", sampler.state.heldBytes, maxHeldBytes)
	}
	for i := range open {
		log.Info(RequestEnded, RequestID, fmt.Sprint(i), Outcome, "BackendFailed")
	}
	found := messagesByRequest(t, out.String())
	for i := range open {
		if lines := found[fmt.Sprint(i)]; len(lines) == 0 || lines[len(lines)-1] != RequestEnded {
			t.Fatalf("request %d has the lines %v", i, lines)
		}
	}
}
