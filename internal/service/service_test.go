package service

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

// Guards against a call that net/http retries: it does so when a reused connection
// breaks and the request can be sent again.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, freshConnections := range []bool{true, false} {
		for name, body := range map[string][]byte{"with a body": []byte("order"), "without a body": nil} {
			var runs atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			c := &Client{HTTP: NewHTTPClient(freshConnections)}
			address := strings.TrimPrefix(s.URL, "http://")
			// Leaves an idle connection for the next call.
			if _, err := c.Do(t.Context(), address, Call{Method: http.MethodGet, Path: "/", Timeout: time.Minute}); err != nil {
				t.Fatal(err)
			}
			header := http.Header{"Idempotency-Key": {"k"}}
			_, err := c.Do(t.Context(), address, Call{Method: http.MethodPost, Path: "/", Header: header, Body: body, Timeout: time.Minute})
			if n := runs.Load(); n != 1 || !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("fresh %v, %s: %d runs, %v; want one run with an unknown outcome", freshConnections, name, n, err)
			}
			c.HTTP.CloseIdleConnections()
			s.Close()
		}
	}
}

// Guards against a refused connection that is reported as an unknown outcome, and
// against a look-up that takes an error status for an answer.
func TestClosedPortAndLookUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := &Client{HTTP: NewHTTPClient(true)}
	if _, err := c.Do(t.Context(), address, Call{Method: http.MethodPost, Path: "/", Timeout: time.Minute}); !errors.Is(err, ErrNotStarted) {
		t.Errorf("closed port: %v", err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/orders/known":
		case "/orders/a b":
			http.NotFound(w, r)
		default:
			http.Error(w, "", http.StatusInternalServerError)
		}
	}))
	defer s.Close()
	for key, want := range map[string]struct{ found, failed bool }{"known": {true, false}, "a b": {false, false}, "other": {false, true}} {
		a, err := c.LookUp(t.Context(), strings.TrimPrefix(s.URL, "http://"), "/orders/{Key}", key, time.Minute)
		if (a != nil) != want.found || (err != nil) != want.failed {
			t.Errorf("key %q: %v, %v", key, a, err)
		}
	}
}
