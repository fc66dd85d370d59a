package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"apricotbridge/pkg/problem"
)

// TestMain guards against goroutines and connections that outlive a client.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedEntry is an entry that runs one handler of a script per request.
type scriptedEntry struct {
	*httptest.Server
	mu     sync.Mutex
	script []http.HandlerFunc
	// requestLines has the method, path and idempotency key of each request, except
	// those for the list of entries.
	requestLines []string
	listRequests int
	keepSeconds  float64
	entries      []string
}

func newEntry(t *testing.T, script ...http.HandlerFunc) *scriptedEntry {
	e := &scriptedEntry{script: script, keepSeconds: 60}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *scriptedEntry) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if r.URL.Path == "/v1/entries" {
		defer e.mu.Unlock()
		e.listRequests++
		list := e.entries
		if list == nil {
			list = []string{e.address()}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Entries": list, "KeepSeconds": e.keepSeconds})
		return
	}
	e.requestLines = append(e.requestLines, r.Method+" "+r.URL.Path+" "+r.Header.Get("Idempotency-Key"))
	h := ok
	if len(e.script) > 0 {
		h, e.script = e.script[0], e.script[1:]
	}
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body) // The server detects a disconnect only once the body is read.
	w.Header().Set("X-Request-ID", "asan-1.1")
	h(w, r)
}

// requests returns a copy of requestLines.
func (e *scriptedEntry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requestLines)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondProblem(kind problem.Kind, after time.Duration, entries ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		p := problem.New(kind, "test")
		p.RetryAfter, p.Entries, p.RequestID = after, entries, "asan-1.1"
		p.Write(w)
	}
}

// newClient returns a client that records the durations of its waits instead of
// sleeping.
func newClient(t *testing.T, entries ...string) (*Client, *[]time.Duration) {
	waits := &[]time.Duration{}
	c := &Client{Entries: entries, Token: "t", Seed: 7}
	// Without keep-alive, net/http repeats no request by itself, so that the
	// requests can be counted.
	c.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c.sleep = func(ctx context.Context, d time.Duration) error {
		*waits = append(*waits, d)
		return ctx.Err()
	}
	t.Cleanup(c.Close)
	return c, waits
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	s := httptest.NewServer(nil)
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// TestCallRetries guards against retries of requests that may have run, and against
// missing retries of requests that certainly did not run.
func TestCallRetries(t *testing.T) {
	serviceProblem := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"type": "about:blank", "Kind": "Overloaded"}`))
	}
	cutOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}
	for _, c := range []struct {
		name   string
		method string
		key    string
		script []http.HandlerFunc
		// sent is the expected number of requests, waits that of waits between them.
		sent, waits int
		status      int
		kind        problem.Kind
	}{
		{name: "answer", sent: 1, status: 200},
		{name: "lost without a key", script: []http.HandlerFunc{abortConnection}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "lost with a key", key: "k", script: []http.HandlerFunc{abortConnection, abortConnection}, sent: 3, waits: 2, status: 200},
		{name: "lost get", method: http.MethodGet, script: []http.HandlerFunc{abortConnection}, sent: 2, waits: 1, status: 200},
		{name: "cut off without a key", script: []http.HandlerFunc{cutOff}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "cut off with a key", key: "k", script: []http.HandlerFunc{cutOff}, sent: 2, status: 200},
		{name: "overloaded", script: []http.HandlerFunc{respondProblem(problem.Overloaded, time.Second)}, sent: 2, waits: 1, status: 200},
		{name: "ledger unavailable", key: "k", script: []http.HandlerFunc{respondProblem(problem.LedgerUnavailable, 0)}, sent: 2, waits: 1, status: 200},
		{name: "outcome found later", key: "k", script: []http.HandlerFunc{respondProblem(problem.OutcomeUnknown, 0)}, sent: 2, waits: 1, status: 200},
		{name: "outcome unknown to the daemons", key: "k", script: slices.Repeat([]http.HandlerFunc{respondProblem(problem.OutcomeUnknown, 0)}, 9), sent: 3, waits: 2, kind: problem.OutcomeUnknown},
		{name: "outcome unknown without a key", script: []http.HandlerFunc{respondProblem(problem.OutcomeUnknown, 0)}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "backend failed", key: "k", script: []http.HandlerFunc{respondProblem(problem.BackendFailed, 0)}, sent: 1, kind: problem.BackendFailed},
		{name: "key reused", key: "k", script: []http.HandlerFunc{respondProblem(problem.KeyReused, 0)}, sent: 1, kind: problem.KeyReused},
		{name: "unknown kind", key: "k", script: []http.HandlerFunc{respondProblem("Strange", 0)}, sent: 1, kind: problem.Internal},
		{name: "problem of the service", script: []http.HandlerFunc{serviceProblem}, sent: 1, status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(t, c.script...)
			client, waits := newClient(t, e.address())
			if c.method == "" {
				c.method = http.MethodPost
			}
			a, err := client.Call(t.Context(), Call{Service: "khata-app", Method: c.method, Path: "/orders", Body: []byte("{}"), Key: c.key})
			var p *problem.Problem
			if errors.As(err, &p) != (c.kind != "") || p != nil && p.Kind != c.kind {
				t.Fatalf("error is %v; want kind %q", err, c.kind)
			}
			if err == nil && a.Status != c.status {
				t.Errorf("status is %d; want %d", a.Status, c.status)
			}
			want := slices.Repeat([]string{c.method + " /services/khata-app/orders " + c.key}, c.sent)
			if !slices.Equal(e.requests(), want) || len(*waits) != c.waits {
				t.Errorf("requests are %q with %d waits; want %q with %d", e.requests(), len(*waits), want, c.waits)
			}
		})
	}
}

// TestRetryAfter guards against callers that return before Retry-After, all at
// the same time, or after the deadline of the request.
func TestRetryAfter(t *testing.T) {
	distinct := map[time.Duration]bool{}
	for seed := uint64(1); seed <= 20; seed++ {
		e := newEntry(t, respondProblem(problem.Overloaded, 4*time.Second))
		client, waits := newClient(t, e.address())
		client.Seed = seed
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
		if w := (*waits)[0]; w < 4*time.Second || w > 6*time.Second {
			t.Errorf("seed %d: wait is %v; want 4s to 6s", seed, w)
		}
		distinct[(*waits)[0]] = true
	}
	if len(distinct) < 15 {
		t.Errorf("20 callers retry after %d different waits", len(distinct))
	}
	e := newEntry(t, respondProblem(problem.Overloaded, time.Hour))
	client, waits := newClient(t, e.address())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := client.Call(ctx, Call{Service: "s", Method: http.MethodPost, Path: "/"}); err == nil || len(*waits) != 0 {
		t.Errorf("error is %v after %d waits; want the refusal without a wait", err, len(*waits))
	}
}

// TestRetryBudget guards against retries that multiply the load of a system that
// refuses everything.
func TestRetryBudget(t *testing.T) {
	e := newEntry(t)
	e.script = slices.Repeat([]http.HandlerFunc{respondProblem(problem.Overloaded, time.Second)}, 10000)
	client, _ := newClient(t, e.address())
	const calls = 500
	for range calls {
		_, _ = client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/", Key: "k"}) // Every call is refused.
	}
	if extra := len(e.requests()) - calls; extra > calls/10+maxSavedRetries {
		t.Errorf("%d calls made %d retries", calls, extra)
	}
}

// TestFailover guards against a dead or leaving entry that delays or duplicates
// requests, and against fetching the list of entries too often.
func TestFailover(t *testing.T) {
	good := newEntry(t)
	good.entries = []string{closedAddress(), good.address()}
	client, waits := newClient(t, closedAddress(), good.address())
	for range 3 {
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(good.requests()) != 3 || good.listRequests != 1 || len(*waits) != 0 {
		t.Errorf("%d requests, %d fetches of the list and %d waits; want 3, 1 and 0", len(good.requests()), good.listRequests, len(*waits))
	}

	leaving := newEntry(t, respondProblem(problem.Draining, 0, good.address()))
	client, waits = newClient(t, leaving.address())
	for range 3 {
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(leaving.requests()) != 1 || len(good.requests()) != 6 || len(*waits) != 0 {
		t.Errorf("the leaving entry got %d requests, the other %d, with %d waits", len(leaving.requests()), len(good.requests())-3, len(*waits))
	}

	client, _ = newClient(t, closedAddress())
	_, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"})
	var p *problem.Problem
	if !errors.As(err, &p) || problem.Of(p.Kind).Ran != problem.NotRun {
		t.Errorf("without an entry the error is %v; want one with Ran set to NotRun", err)
	}
}

// TestClientsSpreadOverEntries guards against clients that all use the same entry.
func TestClientsSpreadOverEntries(t *testing.T) {
	a, b := newEntry(t), newEntry(t)
	for seed := uint64(1); seed <= 40; seed++ {
		client, _ := newClient(t, a.address(), b.address())
		client.Seed = seed
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodGet, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.requests()) < 10 || len(b.requests()) < 10 {
		t.Errorf("40 clients sent %d and %d requests", len(a.requests()), len(b.requests()))
	}
}

// Guards against a call that is reported as not run although an earlier attempt
// may have run: the response to the first attempt is lost and all later
// attempts are refused.
func TestLostAnswerBeforeRefusals(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			http.NotFound(w, r)
			return
		}
		if calls++; calls == 1 {
			panic(http.ErrAbortHandler)
		}
		problem.New(problem.LedgerUnavailable, "away").Write(w)
	}))
	defer s.Close()
	c := &Client{
		Entries: []string{strings.TrimPrefix(s.URL, "http://")}, Token: "t", Seed: 1,
		sleep: func(context.Context, time.Duration) error { return nil },
	}
	defer c.Close()
	_, err := c.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/", Key: "k"})
	var p *problem.Problem
	if !errors.As(err, &p) || p.Kind != problem.OutcomeUnknown {
		t.Errorf("%v, want OutcomeUnknown", err)
	}
}
