package demo

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a stream that is cut off or repeats or loses text when the
// notice of its daemon is shorter than the stream: the daemon hands it over to
// a daemon in another place, where the caller resumes.
func TestStreamIsHandedOverOnReclaim(t *testing.T) {
	p := startSmallPlatform(t)
	const tokens = 1500 // Takes about 7 s, longer than the notice.
	body := `{"model":"sahayak-llm","prompt":"a long dossier","max_tokens":1500,"stream":true}`
	address := p.daemonByID["daemon-0"].daemon.CallerAddress()
	res, err := sendRequest(t.Context(), address, "POST", "/v1/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	id := res.Header.Get("X-Request-ID")
	text, whole, moved := readMoved(t, res, func(n int) {
		if n == 50 {
			p.Reclaim("asan", 4*time.Second)
		}
	})
	if whole || moved == "" {
		t.Fatalf("complete: %v, moved to %q after %d bytes", whole, moved, len(text))
	}
	events := strings.Count(text, " ")
	header := http.Header{"Last-Event-ID": {strconv.Itoa(events)}, "Accept": {"text/event-stream"}}
	res, err = sendRequest(t.Context(), moved, "GET", "/v1/requests/"+id, "", header)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	rest, whole := readStream(t, res, nil)
	if want := fullText("a long dossier", tokens); !whole || text+rest != want {
		t.Errorf("complete: %v, text of %d and %d bytes, want %d", whole, len(text), len(rest), len(want))
	}
	if err := <-p.daemonByID["daemon-0"].result; err != nil {
		t.Errorf("daemon that drained: %v", err)
	}
}
