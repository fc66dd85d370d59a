package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"apricotbridge/pkg/problem"
)

// TestStatusOfServerThatRanRequest guards against telling a caller that a request has not run when
// only the server's status says so and the server has run it.
func TestStatusOfServerThatRanRequest(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/once/x"} {
		for _, status := range []int{408, 429, 500, 502, 503, 504} {
			t.Run(fmt.Sprintf("%s %d", path, status), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				failing := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Signature", "s")
					w.WriteHeader(status)
				}
				env.addServer("plain-1", "plain", failing)
				env.addServer("model-1", "model", failing)
				gw := env.startReady("g1")
				got := gw.send(t.Context(), http.MethodPost, path)
				if got.err != nil || problem.ImpliesNotRun(got.status) {
					t.Errorf("got %+v, want a status that does not imply that the request has not run", got)
				}
				if passedOn := got.status == status; passedOn != (got.header.Get("X-Signature") != "") {
					t.Errorf("got %+v, want a signature with the server's own status only", got)
				}
				if !problem.ImpliesNotRun(status) && got.status != status {
					t.Errorf("got %+v, want the server's own status", got)
				}
			})
		}
	}
}
