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

// entry is a daemon that answers requests from a script.
type entry struct {
	*httptest.Server
	mu     sync.Mutex
	script []http.HandlerFunc
	// seen are the requests, as method, path and key.
	seen  []string
	asked int
	keep  float64
	list  []string
}

func newEntry(t *testing.T, script ...http.HandlerFunc) *entry {
	e := &entry{script: script, keep: 60}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if r.URL.Path == "/v1/entries" {
		defer e.mu.Unlock()
		e.asked++
		list := e.list
		if list == nil {
			list = []string{e.address()}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Entries": list, "KeepSeconds": e.keep})
		return
	}
	e.seen = append(e.seen, r.Method+" "+r.URL.Path+" "+r.Header.Get("Idempotency-Key"))
	h := ok
	if len(e.script) > 0 {
		h, e.script = e.script[0], e.script[1:]
	}
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body) // The server notices that a client is gone only after the body.
	w.Header().Set("X-Request-ID", "asan-1.1")
	h(w, r)
}

// requests returns the requests so far, without the questions for entries.
func (e *entry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.seen)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(kind problem.Kind, after time.Duration, entries ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		p := problem.New(kind, "test")
		p.RetryAfter, p.Entries, p.RequestID = after, entries, "asan-1.1"
		p.Write(w)
	}
}

// newClient returns a client that records its waits instead of waiting.
func newClient(t *testing.T, entries ...string) (*Client, *[]time.Duration) {
	waits := &[]time.Duration{}
	c := &Client{Entries: entries, Token: "t", Seed: 7}
	// A connection of its own for each request keeps net/http from repeating one by
	// itself, so that the requests can be counted.
	c.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c.sleep = func(ctx context.Context, d time.Duration) error {
		*waits = append(*waits, d)
		return ctx.Err()
	}
	t.Cleanup(c.Close)
	return c, waits
}

// closed returns an address that refuses connections.
func closed() string {
	s := httptest.NewServer(nil)
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// TestCall guards against repeating what may have run, and against not repeating
// what certainly did not run.
func TestCall(t *testing.T) {
	own := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"type": "about:blank", "Kind": "Overloaded"}`))
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}
	for _, c := range []struct {
		name   string
		method string
		key    string
		script []http.HandlerFunc
		// sent is how many requests must arrive, waits how many waits there are.
		sent, waits int
		status      int
		kind        problem.Kind
	}{
		{name: "answer", sent: 1, status: 200},
		{name: "lost without a key", script: []http.HandlerFunc{drop}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "lost with a key", key: "k", script: []http.HandlerFunc{drop, drop}, sent: 3, waits: 2, status: 200},
		{name: "lost get", method: http.MethodGet, script: []http.HandlerFunc{drop}, sent: 2, waits: 1, status: 200},
		{name: "cut off without a key", script: []http.HandlerFunc{cut}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "cut off with a key", key: "k", script: []http.HandlerFunc{cut}, sent: 2, status: 200},
		{name: "overloaded", script: []http.HandlerFunc{refuse(problem.Overloaded, time.Second)}, sent: 2, waits: 1, status: 200},
		{name: "ledger unavailable", key: "k", script: []http.HandlerFunc{refuse(problem.LedgerUnavailable, 0)}, sent: 2, waits: 1, status: 200},
		{name: "outcome found later", key: "k", script: []http.HandlerFunc{refuse(problem.OutcomeUnknown, 0)}, sent: 2, waits: 1, status: 200},
		{name: "outcome unknown to the daemons", key: "k", script: slices.Repeat([]http.HandlerFunc{refuse(problem.OutcomeUnknown, 0)}, 9), sent: 3, waits: 2, kind: problem.OutcomeUnknown},
		{name: "outcome unknown without a key", script: []http.HandlerFunc{refuse(problem.OutcomeUnknown, 0)}, sent: 1, kind: problem.OutcomeUnknown},
		{name: "backend failed", key: "k", script: []http.HandlerFunc{refuse(problem.BackendFailed, 0)}, sent: 1, kind: problem.BackendFailed},
		{name: "key reused", key: "k", script: []http.HandlerFunc{refuse(problem.KeyReused, 0)}, sent: 1, kind: problem.KeyReused},
		{name: "unknown kind", key: "k", script: []http.HandlerFunc{refuse("Strange", 0)}, sent: 1, kind: problem.Internal},
		{name: "problem of the service", script: []http.HandlerFunc{own}, sent: 1, status: 503},
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

// TestRetryAfter guards against coming back earlier than told, all together, or
// after the time of the request is over.
func TestRetryAfter(t *testing.T) {
	distinct := map[time.Duration]bool{}
	for seed := uint64(1); seed <= 20; seed++ {
		e := newEntry(t, refuse(problem.Overloaded, 4*time.Second))
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
		t.Errorf("20 callers come back at %d different times", len(distinct))
	}
	e := newEntry(t, refuse(problem.Overloaded, time.Hour))
	client, waits := newClient(t, e.address())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := client.Call(ctx, Call{Service: "s", Method: http.MethodPost, Path: "/"}); err == nil || len(*waits) != 0 {
		t.Errorf("error is %v after %d waits; want the refusal at once", err, len(*waits))
	}
}

// TestBudget guards against callers that multiply the load of a system that
// refuses everything.
func TestBudget(t *testing.T) {
	e := newEntry(t)
	e.script = slices.Repeat([]http.HandlerFunc{refuse(problem.Overloaded, time.Second)}, 10000)
	client, _ := newClient(t, e.address())
	const calls = 500
	for range calls {
		_, _ = client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/", Key: "k"}) // Each is refused.
	}
	if extra := len(e.requests()) - calls; extra > calls/10+maxRetries {
		t.Errorf("%d calls made %d retries", calls, extra)
	}
}

// TestFailover guards against a dead or leaving entry that delays or duplicates
// requests, and against a list of entries that is asked for too often.
func TestFailover(t *testing.T) {
	good := newEntry(t)
	good.list = []string{closed(), good.address()}
	client, waits := newClient(t, closed(), good.address())
	for range 3 {
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(good.requests()) != 3 || good.asked != 1 || len(*waits) != 0 {
		t.Errorf("%d requests, %d questions and %d waits; want 3, 1 and 0", len(good.requests()), good.asked, len(*waits))
	}

	leaving := newEntry(t, refuse(problem.Draining, 0, good.address()))
	client, waits = newClient(t, leaving.address())
	for range 3 {
		if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(leaving.requests()) != 1 || len(good.requests()) != 6 || len(*waits) != 0 {
		t.Errorf("the leaving entry got %d requests, the other %d, with %d waits", len(leaving.requests()), len(good.requests())-3, len(*waits))
	}

	client, _ = newClient(t, closed())
	_, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"})
	var p *problem.Problem
	if !errors.As(err, &p) || problem.Of(p.Kind).Ran != problem.NotRun {
		t.Errorf("without an entry the error is %v; want one that says not run", err)
	}
}

// TestSpread guards against clients that all use the same entry.
func TestSpread(t *testing.T) {
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

// Guards against a call that is reported as not run although an earlier attempt of
// it may have run: the answer of the first attempt is lost, all later ones are
// refused.
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
