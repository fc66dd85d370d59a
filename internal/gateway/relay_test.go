package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// TestStreamWithoutLength guards against taking a whole stream that ends with its connection
// for a broken one, and a broken one for whole.
func TestStreamWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name, sent, want string
		whole            bool
	}{
		{"ends after an event", events(1, 4), events(1, 4), true},
		{"ends within an event", events(1, 4) + "id: 5\nda", events(1, 4), false},
		{"ends before the first event", "", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.addServer("s1", "model", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+ // Errors show in what the caller receives.
					"\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+c.sent)
			})
			got := env.startReady("g1").send(t.Context(), http.MethodPost, "/once/")
			whole := got.err == nil && got.status == http.StatusOK
			if got.body != c.want && c.want != "" || whole != c.whole {
				t.Errorf("whole %v, want %v: %+v", whole, c.whole, got)
			}
		})
	}
}

// TestAnswerOfTheNextServerDoesNotEnterTheStream guards against passing on a failure of the server
// that should continue a stream as if it were the rest of it.
func TestAnswerOfTheNextServerDoesNotEnterTheStream(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusForbidden, http.StatusNotFound, http.StatusTooManyRequests, http.StatusInternalServerError} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			begin := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					w.Header().Set("X-Signature", "s")
					w.WriteHeader(status)
					if status != http.StatusNoContent {
						_, _ = io.WriteString(w, "id: 5\ndata: an error\n\n")
					}
					return
				}
				writeStream(w, r, 4)
				closeConnection(w)
			}
			first, second := env.addServer("s1", "model", begin), env.addServer("s2", "model", begin)
			gw := env.startReady("g1")
			got := gw.send(t.Context(), http.MethodPost, "/stream/")
			if got.err == nil || got.body != events(1, 4) {
				t.Errorf("got %+v, want the events before and a broken connection", got)
			}
			if n := first.requests() + second.requests(); n != 2 {
				t.Errorf("%d requests, want 2", n)
			}
		})
	}
}
