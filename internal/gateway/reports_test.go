package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/message"
)

// TestRequestAtEndOfDrain guards against cutting off a request without an answer that arrives
// when the drain has just ended.
func TestRequestAtEndOfDrain(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	c, err := net.Dial("tcp", gw.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		gw.Drain(t.Context())
	}()
	time.Sleep(gw.Bounds.GracePeriod/2 - 100*time.Millisecond)
	fmt.Fprint(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: key-one\r\n")
	time.Sleep(150 * time.Millisecond) // No request is in flight, so that the drain has ended.
	fmt.Fprint(c, "Content-Length: 0\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", res.StatusCode)
	}
	<-drained
	if other, err := net.Dial("tcp", gw.CallerAddress); err == nil {
		_ = other.Close()
		t.Error("a connection is accepted after the drain")
	}
	if err := <-gw.ended; err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	gw.ended <- nil
}

// TestTricklingStreamIsContinuedElsewhere guards against waiting for a stalled stream because
// single bytes arrive.
func TestTricklingStreamIsContinuedElsewhere(t *testing.T) {
	env := newTestEnv(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, id := range []string{"s1", "s2"} {
		env.addServer(id, "model", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				writeStream(w, r, 3)
				return
			}
			w.Header().Set("X-Signature", "s")
			_, _ = io.WriteString(w, event(1)+"id: 2\ndata: ")
			for ctx.Err() == nil && r.Context().Err() == nil {
				_, _ = io.WriteString(w, ".")
				_ = http.NewResponseController(w).Flush() // Errors end the request's context.
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	gw := env.startReady("g1")
	started := time.Now()
	got := gw.send(t.Context(), http.MethodPost, "/stream/")
	if got.body != events(1, 3) {
		t.Errorf("body %q, error %v, want events 1 to 3", got.body, got.err)
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("continued after %v", took)
	}
}

// TestPanicsEndNoDaemon guards against losing a daemon, or its view of the servers, because of
// one entry or event at which it panics.
func TestPanicsEndNoDaemon(t *testing.T) {
	env := newTestEnv(t)
	env.store.mu.Lock()
	env.store.write("servers/panic", []byte(panickingEntry))
	env.store.mu.Unlock()
	s := env.addServer("s1", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	gw.post(func(*control) { panic("event") })
	gw.handleMessage(message.Hello{}, message.Envelope{Kind: message.KindListing, Body: []byte{0xff}})
	env.store.set("servers/s1", fleet.Server{ID: "s1", Incarnation: 2, Address: s.Listener.Addr().String(), Service: "plain", Place: "a", Slots: 8})
	waitFor(t, "the list is followed", func() bool { return gw.view.Load().Members["s1"].Incarnation == 2 })
	if got := gw.send(t.Context(), http.MethodPost, "/safe/x"); got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// TestHeadCutOffIsNoAnswer guards against an answer 200 whose head the server did not finish, with
// an empty or short body that looks whole.
func TestHeadCutOffIsNoAnswer(t *testing.T) {
	for _, route := range []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n",
			"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n",
			"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Le",
			"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 2\r\n\r",
		} {
			t.Run(route+strconv.Itoa(len(head)), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				cut := func(w http.ResponseWriter, r *http.Request) {
					c, b, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = b.WriteString(strings.ReplaceAll(head, "%s", r.Header.Get("X-Id")))
					_ = b.Flush()
					_ = c.Close()
				}
				env.addServer("s1", "plain", cut)
				env.addServer("s2", "model", cut)
				gw := env.startReady("g1")
				if got := gw.send(t.Context(), http.MethodPost, route); got.err == nil && got.status/100 != 5 {
					t.Errorf("got %+v, want a failure", got)
				}
			})
		}
	}
}

// TestDrainEndsNoRequestWithoutAnswer guards against cutting off requests at the end of a drain:
// those that arrive too late to be answered are refused before they run.
func TestDrainEndsNoRequestWithoutAnswer(t *testing.T) {
	for _, c := range []struct {
		name            string
		sent, answering time.Duration
		want            []int
		reached         int
	}{
		{"early", 100 * time.Millisecond, 500 * time.Millisecond, []int{http.StatusOK}, 1},
		{"early and long", 100 * time.Millisecond, 10 * time.Second, []int{http.StatusGatewayTimeout}, 1},
		{"late", 1200 * time.Millisecond, 10 * time.Second, []int{http.StatusServiceUnavailable}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			server := env.addServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(c.answering):
				case <-r.Context().Done():
				}
				signedAnswer("ok")(w, r)
			})
			gw := env.startReady("g1")
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				gw.Drain(t.Context())
				gw.cancel()
			}()
			time.Sleep(c.sent)
			got := gw.send(t.Context(), http.MethodPost, "/unsafe/x")
			if got.err != nil || !slices.Contains(c.want, got.status) {
				t.Errorf("got %+v, want one of %v", got, c.want)
			}
			if n := server.requests(); n != c.reached {
				t.Errorf("%d requests reached the server, want %d", n, c.reached)
			}
			<-drained
		})
	}
}
