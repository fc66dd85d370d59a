package gateway

import (
	"net/http"
	"sync"
	"testing"
)

// refuse is a handler that states that the server did not run the request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestResentRequestGetsNewConnection guards against sending a request to a server again on
// the connection of its first attempt, where a second copy of the refusal would look like
// the answer to the second attempt.
func TestResentRequestGetsNewConnection(t *testing.T) {
	env := newTestEnv(t)
	var mu sync.Mutex
	remoteAddresses := map[string]bool{}
	attempts := 0
	env.addServer("only", "plain", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remoteAddresses[r.RemoteAddr] = true
		attempts++
		first := attempts == 1
		mu.Unlock()
		if first {
			refuse(w, r)
			return
		}
		signedAnswer("ok")(w, r)
	})
	gw := env.startReady("g1")
	if r := gw.send(t.Context(), http.MethodPost, "/unsafe/x"); r.status != http.StatusOK {
		t.Fatalf("status %d, error %v", r.status, r.err)
	}
	mu.Lock()
	defer mu.Unlock()
	if attempts != 2 || len(remoteAddresses) != 2 {
		t.Errorf("%d attempts on %d connections, want 2 on 2", attempts, len(remoteAddresses))
	}
}
