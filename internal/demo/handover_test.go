package demo

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
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
	checkMovedStream(t, moved, id, text, fullText("a long dossier", tokens))
	if err := <-p.daemonByID["daemon-0"].result; err != nil {
		t.Errorf("daemon that drained: %v", err)
	}
}

// startSlowEngine starts a platform without daemons, whose engine takes 5 ms for a
// token.
func startSlowEngine(t *testing.T) *Platform {
	t.Helper()
	p := newTestPlatform(t, testr.New(t), samples.Shrestha, nil)
	e := &standin.Engine{Slots: 4, TokenTime: 5 * time.Millisecond, CacheTokens: 1 << 16}
	if err := p.StartEngine(Backend{ID: "engine", Service: "sahayak-llm", Place: "asan", Region: "bagmati", Class: "accelerator-8"}, e); err != nil {
		t.Fatal(err)
	}
	if err := p.StartService(Backend{ID: "khata-1", Service: "khata-app", Place: "asan", Region: "bagmati", Class: "small"}, &standin.Service{}); err != nil {
		t.Fatal(err)
	}
	return p
}

// checkMovedStream resumes a stream of which text was read at the daemon that it
// moved to, and checks its whole text.
func checkMovedStream(t *testing.T, moved, id, text, want string) {
	t.Helper()
	header := http.Header{"Last-Event-ID": {strconv.Itoa(strings.Count(text, " "))}, "Accept": {"text/event-stream"}}
	res, err := sendRequest(t.Context(), moved, "GET", "/v1/requests/"+id, "", header)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	rest, whole := readStream(t, res, nil)
	if !whole || text+rest != want {
		t.Errorf("complete: %v, text of %d and %d bytes, want %d", whole, len(text), len(rest), len(want))
	}
}

// Guards against a stream that is cut off at the end of a drain although a daemon
// could have taken it over, because none could when the drain began.
func TestStreamIsHandedOverToADaemonThatStartsLater(t *testing.T) {
	p := startSlowEngine(t)
	leaving, err := p.StartDaemon("daemon-0", "asan", "bagmati")
	if err != nil {
		t.Fatal(err)
	}
	waitUntilServing(t, leaving.CallerAddress())
	const tokens = 2000 // Takes about 10 s, longer than the drain.
	body := `{"model":"sahayak-llm","prompt":"a long dossier","max_tokens":2000,"stream":true}`
	res, err := sendRequest(t.Context(), leaving.CallerAddress(), "POST", "/v1/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	id := res.Header.Get("X-Request-ID")
	started := make(chan error, 1)
	text, whole, moved := readMoved(t, res, func(n int) {
		if n != 50 {
			return
		}
		leaving.Drain(t.Context(), time.Now().Add(7*time.Second))
		go func() {
			time.Sleep(time.Second)
			_, err := p.StartDaemon("daemon-1", "asan", "bagmati")
			started <- err
		}()
	})
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	if whole || moved == "" {
		t.Fatalf("complete: %v, moved to %q after %d bytes", whole, moved, len(text))
	}
	checkMovedStream(t, moved, id, text, fullText("a long dossier", tokens))
}

// Guards against a stream that is cut off when the daemon that took it over is
// drained as well.
func TestStreamIsHandedOverTwice(t *testing.T) {
	p := startSlowEngine(t)
	daemonAt := map[string]*entry.Daemon{}
	var address string
	for _, id := range []string{"daemon-0", "daemon-1", "daemon-2"} {
		d, err := p.StartDaemon(id, "asan", "bagmati")
		if err != nil {
			t.Fatal(err)
		}
		address = d.CallerAddress()
		waitUntilServing(t, address)
		daemonAt[address] = d
	}
	const tokens = 1800 // Takes about 9 s; each drain 4 s.
	body := `{"model":"sahayak-llm","prompt":"a long dossier","max_tokens":1800,"stream":true}`
	res, err := sendRequest(t.Context(), address, "POST", "/v1/completions", body, nil) //nolint:bodyclose // readMoved closes it.
	if err != nil {
		t.Fatal(err)
	}
	id, text := res.Header.Get("X-Request-ID"), ""
	for range 2 {
		part, whole, moved := readMoved(t, res, func(n int) {
			if n == 50 {
				daemonAt[address].Drain(t.Context(), time.Now().Add(4*time.Second))
			}
		})
		if whole || moved == "" {
			t.Fatalf("complete: %v, moved to %q after %d bytes", whole, moved, len(text)+len(part))
		}
		text, address = text+part, moved
		header := http.Header{"Last-Event-ID": {strconv.Itoa(strings.Count(text, " "))}, "Accept": {"text/event-stream"}}
		if res, err = sendRequest(t.Context(), moved, "GET", "/v1/requests/"+id, "", header); err != nil { //nolint:bodyclose // readMoved and readStream close it.
			t.Fatal(err)
		}
	}
	rest, whole := readStream(t, res, nil)
	if want := fullText("a long dossier", tokens); !whole || text+rest != want {
		t.Errorf("complete: %v, text of %d and %d bytes, want %d", whole, len(text), len(rest), len(want))
	}
}
