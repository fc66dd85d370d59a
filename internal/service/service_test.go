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

func TestAnswerCutByResetDuringUploadIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 512))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n0123456789"))
			_ = conn.(*net.TCPConn).SetLinger(0) // The close resets the connection.
			_ = conn.Close()
		}
	}()
	defer func() {
		_ = l.Close()
		<-done
	}()
	c := &Client{HTTP: NewHTTPClient(true)}
	defer c.HTTP.CloseIdleConnections()
	const tries = 60
	complete := 0
	for range tries {
		if _, err := c.Do(t.Context(), l.Addr().String(), Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 3<<20), Timeout: time.Minute}); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d answers that were cut were taken for complete ones", complete, tries)
	}
}

func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody"))
			_ = conn.Close()
		}()
		c := &Client{HTTP: NewHTTPClient(true)}
		if _, err := c.Do(t.Context(), l.Addr().String(), Call{Method: http.MethodGet, Path: "/", Timeout: time.Minute}); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("status %s: error %v, want an unknown outcome", status, err)
		}
		_ = l.Close()
		<-done
		c.HTTP.CloseIdleConnections()
	}
}
