package backend

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEndlessAnswersTogether guards against answers without end that together fill the memory,
// although each is limited, and against giving up a sound answer for them.
func TestEndlessAnswersTogether(t *testing.T) {
	const limit, soundBytes = 8 << 20, 256 << 10
	for _, c := range []struct {
		name    string
		answers int
		// endOfHead ends the head, and next is sent without end after it.
		endOfHead, next string
	}{
		{"bodies", 40, "\r\n", strings.Repeat("x", 32<<10)},
		{"heads of short lines", 400, "", strings.Repeat("a:\r\n", 256)},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
				if r.Header.Get("X-Attempt") == "sound" {
					for range 16 {
						fmt.Fprint(w, strings.Repeat("x", soundBytes/16))
						_ = http.NewResponseController(w).Flush() // The client checks the body.
						time.Sleep(20 * time.Millisecond)
					}
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, err = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt: "+r.Header.Get("X-Attempt")+"\r\n"+c.endOfHead)
				for err == nil {
					_, err = fmt.Fprint(conn, c.next)
					time.Sleep(2 * time.Millisecond)
				}
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			p := &Pool{Names: testNames, MaxHeldBytes: limit}
			defer p.Close()
			var before, now runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for i := range c.answers {
				wg.Go(func() {
					res, err := p.Do(t.Context(), time.Now(), address, request(fmt.Sprintf("endless-%d", i)))
					if err == nil {
						_, err = res.ReadBody(16 << 20)
						res.Close()
					}
					if err == nil {
						t.Error("an answer without end was read to its end")
					}
				})
			}
			wg.Go(func() { checkBody(t, p, address, "sound", strings.Repeat("x", soundBytes)) })
			done := make(chan struct{})
			go func() {
				wg.Wait()
				close(done)
			}()
			most := uint64(0)
			for open := true; open; {
				select {
				case <-done:
					open = false
				case <-time.After(10 * time.Millisecond):
				}
				runtime.ReadMemStats(&now)
				most = max(most, now.HeapAlloc)
			}
			// Buffers that grow are copied, and the collector lets the heap double.
			if used := most - min(most, before.HeapAlloc); used > 8*limit {
				t.Errorf("%d MB of memory for answers that may hold %d MB", used>>20, limit>>20)
			}
		})
	}
}
