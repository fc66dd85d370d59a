package demo

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotbridge/internal/settings"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
)

// Guards against invalid requests that are dispatched, answered with an unclear
// error or kept open.
func TestBadInputIsRefusedAndNotDispatched(t *testing.T) {
	p := startSmallPlatform(t)
	address := p.Entries()[0]
	before := len(p.Runs.All())
	model := `{"model":"sahayak-llm","prompt":"x","max_tokens":2}`
	for _, c := range []struct {
		name, method, path, body string
		header                   http.Header
		kind                     problem.Kind
	}{
		{"malformed JSON", "POST", "/v1/completions", `{"model":`, nil, problem.BadRequest},
		{"no model", "POST", "/v1/completions", `{"prompt":"x"}`, nil, problem.BadRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"sahayak-llm"}`, nil, problem.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", model, nil, problem.BadRequest},
		{"negative limit", "POST", "/v1/completions", `{"model":"sahayak-llm","prompt":"x","max_tokens":-1}`, nil, problem.BadRequest},
		{"several answers", "POST", "/v1/completions", `{"model":"sahayak-llm","prompt":"x","n":3}`, nil, problem.BadRequest},
		{"unknown model", "POST", "/v1/completions", `{"model":"m","prompt":"x"}`, nil, problem.UnknownModel},
		{"unknown rank", "POST", "/v1/completions", model, http.Header{"X-Rank": {"r"}}, problem.BadRequest},
		{"wrong method", "GET", "/v1/completions", "", nil, problem.MethodNotAllowed},
		{"body over 4 MB", "POST", "/v1/completions", `{"model":"sahayak-llm","prompt":"` + strings.Repeat("x", 4<<20) + `"}`, nil, problem.BodyTooLarge},
		{"unknown service", "POST", "/services/none/orders", "x", nil, problem.UnknownService},
		{"model as a plain service", "POST", "/services/sahayak-llm/orders", "x", nil, problem.UnknownService},
		{"order over 1 MB", "POST", "/services/khata-app/orders", strings.Repeat("x", 1<<20+1), nil, problem.BodyTooLarge},
		{"oversize key", "POST", "/services/khata-app/orders", "x", http.Header{"Idempotency-Key": {strings.Repeat("k", 201)}}, problem.KeyTooLong},
		{"unknown request", "GET", "/v1/requests/none", "", nil, problem.NotFound},
		{"draft of another organisation", "GET", "/v1/requests/draft.bG9kZ2UtdW5pb24Aaw", "", nil, problem.NotFound},
		{"bad event id", "GET", "/v1/requests/daemon-0.x", "", http.Header{"Last-Event-ID": {"x"}}, problem.NotFound},
		{"unknown path", "GET", "/v2/models", "", nil, problem.NotFound},
	} {
		res, err := sendRequest(t.Context(), address, c.method, c.path, c.body, c.header)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		var got problem.Problem
		err = json.NewDecoder(res.Body).Decode(&got)
		_ = res.Body.Close()
		row := problem.Of(c.kind)
		if err != nil || got.Kind != c.kind || res.StatusCode != row.Status || got.Detail == "" || got.RequestID == "" {
			t.Errorf("%s: status %d, %+v, %v; want %s", c.name, res.StatusCode, got, err, c.kind)
		}
	}
	if after := len(p.Runs.All()); after != before {
		t.Errorf("%d bad orders were dispatched", after-before)
	}
	for _, id := range []string{"engine-0", "engine-1"} {
		if n := p.serverByID[id].engine.TokenCounts().CompletionTokens; n != 0 {
			t.Errorf("%s generated %d tokens for bad requests", id, n)
		}
	}
}

// Guards against callers that hold a connection open with an incomplete
// request, and against headers of unlimited size.
func TestSlowAndLargeHeadersAreCutOff(t *testing.T) {
	p := startSmallPlatform(t)
	limit := config.Duration(300 * time.Millisecond)
	p.AdjustSettings = func(s *settings.Settings) { s.HeaderTimeout = &limit }
	d, err := p.StartDaemon("daemon-slow", "asan", "bagmati")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ text, want string }{
		"slow headers":  {"GET /v1/entries HTTP/1.1\r\nHost: x\r\nX-Slow: ", ""},
		"large headers": {"GET /v1/entries HTTP/1.1\r\nHost: x\r\nX-Large: " + strings.Repeat("x", 128<<10) + "\r\n\r\n", "431"},
	} {
		conn, err := net.Dial("tcp", d.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, c.text) // The daemon may have closed the connection already.
		answer, err := io.ReadAll(conn)
		_ = conn.Close()
		if nerr, ok := err.(net.Error); ok && nerr.Timeout() { //nolint:errorlint // The connection returns network errors unwrapped.
			t.Errorf("%s: the connection stays open", name)
		}
		if !strings.Contains(string(answer), c.want) {
			t.Errorf("%s: answer %q", name, answer)
		}
	}
}
