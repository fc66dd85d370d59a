package gateway

import (
	"io"
	"net/http"
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
