package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// TestEventIDsWithGaps guards against cutting a stream whose ids increase by more than one, and
// against joining runs between which an event is missing or comes twice.
func TestEventIDsWithGaps(t *testing.T) {
	for _, c := range []struct {
		name string
		// ids are those of all events; the first run breaks off after first of them, and the
		// next run goes on with those from next on.
		ids         []int
		first, next int
		whole       bool
	}{
		{"one run", []int{3, 6, 9, 12}, 4, 4, true},
		{"uneven steps", []int{2, 3, 7, 8, 12}, 5, 5, true},
		{"continued", []int{3, 6, 9, 12, 15}, 2, 2, true},
		{"continued after one event", []int{3, 6, 9}, 1, 1, true},
		{"an event is missing", []int{3, 6, 9, 12, 15}, 2, 3, false},
		{"an event is missing, steps of one", []int{1, 2, 3, 4, 5}, 2, 3, false},
		{"an event comes twice", []int{3, 6, 9, 12, 15}, 2, 1, false},
		{"ids decrease", []int{3, 6, 5, 9}, 4, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			write := func(w http.ResponseWriter, ids []int) {
				w.Header().Set("X-Signature", "s")
				for _, id := range ids {
					_, _ = io.WriteString(w, event(id)) // Errors show in what the caller receives.
					_ = http.NewResponseController(w).Flush()
				}
			}
			for _, id := range []string{"s1", "s2"} {
				env.addServer(id, "model", func(w http.ResponseWriter, r *http.Request) {
					switch last := r.Header.Get("Last-Event-Id"); {
					case last == "" && c.first < len(c.ids):
						write(w, c.ids[:c.first])
						closeConnection(w)
					case last == "":
						write(w, c.ids)
					case last == strconv.Itoa(c.ids[c.first-1]):
						write(w, c.ids[c.next:])
					default:
						closeConnection(w)
					}
				})
			}
			want := ""
			for _, id := range c.ids {
				want += event(id)
			}
			got := env.startReady("g1").send(t.Context(), http.MethodPost, "/stream/")
			looksWhole := got.err == nil && got.status == http.StatusOK
			if looksWhole != c.whole || c.whole && got.body != want {
				t.Errorf("got %q, error %v, want whole: %v", got.body, got.err, c.whole)
			}
		})
	}
}
