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

// Guards against a call that net/http repeats by itself: it does so on a reused
// connection that breaks, when it can send the request again.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		for name, body := range map[string][]byte{"with a body": []byte("order"), "without a body": nil} {
			var runs atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			c := &Client{HTTP: NewHTTPClient(fresh)}
			address := strings.TrimPrefix(s.URL, "http://")
			// The first call leaves a connection for reuse.
			if _, err := c.Do(t.Context(), address, Call{Method: http.MethodGet, Path: "/", Timeout: time.Minute}); err != nil {
				t.Fatal(err)
			}
			header := http.Header{"Idempotency-Key": {"k"}}
			_, err := c.Do(t.Context(), address, Call{Method: http.MethodPost, Path: "/", Header: header, Body: body, Timeout: time.Minute})
			if n := runs.Load(); n != 1 || !errors.Is(err, ErrUnknown) {
				t.Errorf("fresh %v, %s: %d runs, %v; want one run with an unknown outcome", fresh, name, n, err)
			}
			c.HTTP.CloseIdleConnections()
			s.Close()
		}
	}
}

// Guards against a call that is reported as perhaps run although nobody listens,
// and against a look-up that takes silence for an outcome.
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
