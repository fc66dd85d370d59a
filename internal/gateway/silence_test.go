package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestSilentStream guards against running a silent stream at another server while the first still
// works on it, and against waiting for a server that can't be reached.
func TestSilentStream(t *testing.T) {
	for _, c := range []struct {
		name string
		// reachable means that the silent server accepts connections.
		reachable bool
		runs      int
	}{
		{"server is reached", true, 1},
		{"server is not reached", false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			var mu sync.Mutex
			runs := 0
			servers := map[string]*backendServer{}
			for _, id := range []string{"s1", "s2"} {
				servers[id] = env.addServer(id, "model", func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					runs++
					first := runs == 1
					mu.Unlock()
					if !first {
						writeStream(w, r, 9)
						return
					}
					writeStream(w, r, 4)
					if !c.reachable {
						_ = servers[id].Listener.Close() // The open connection stays.
						<-r.Context().Done()
						return
					}
					time.Sleep(2 * silentGapFactor * 300 * time.Millisecond)
					r.Header.Set("Last-Event-Id", "4")
					writeStream(w, r, 9)
				})
			}
			gw := env.startReady("g1")
			if got := gw.send(t.Context(), http.MethodPost, "/stream/"); got.err != nil || got.body != events(1, 9) {
				t.Errorf("got %q, error %v", got.body, got.err)
			}
			mu.Lock()
			defer mu.Unlock()
			if runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}
