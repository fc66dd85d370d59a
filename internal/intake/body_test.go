package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"

	"apricotbridge/internal/budget"
)

// TestBodiesAreBoundedWhileNoGarbageIsCollected guards against finished bodies that fill the memory while
// the collector gets no processor time: it is off here.
func TestBodiesAreBoundedWhileNoGarbageIsCollected(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	const size = 1 << 20
	g := &Gate{MaxBytes: 4 * size}
	body := bytes.Repeat([]byte("x"), size)
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var mu sync.Mutex
	var most uint64
	address := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
		if got, err := Of(r).ReadBody(r.Body.Read, r.ContentLength, size); !errors.Is(err, io.EOF) || len(got) != size {
			t.Errorf("%d bytes, %v", len(got), err)
		}
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		mu.Lock()
		most = max(most, now.HeapAlloc-before.HeapAlloc)
		mu.Unlock()
	})
	for range 50 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Close = true
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
	}
	if most > 16*size {
		t.Errorf("%d MB of heap for bodies one after the other, of which %d MB may be held", most>>20, g.MaxBytes>>20)
	}
}

func TestBodyIsRefusedWhileBuffersAreInUse(t *testing.T) {
	var b buffers
	held, err := b.allocate(countedBuffer, countedBuffer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.allocate(countedBuffer, countedBuffer); !errors.Is(err, budget.ErrGivenUp) {
		t.Errorf("a second buffer: %v", err)
	}
	runtime.KeepAlive(held)
	if _, err := b.allocate(countedBuffer, countedBuffer); err != nil {
		t.Errorf("a buffer after the first is not in use: %v", err)
	}
}

// TestLargestBodiesAreReadOnTheSmallestInstance guards against bounds that refuse bodies inside the limits: 0.15
// of 144 MB hold five bodies of 4 MB.
func TestLargestBodiesAreReadOnTheSmallestInstance(t *testing.T) {
	const size = 4 << 20
	for _, announced := range []int64{size, -1} {
		g := &Gate{MaxBytes: 144 << 20 * 15 / 100}
		body := bytes.Repeat([]byte("x"), size)
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				for range 5 { // Each leaves garbage to the next.
					c := &Connection{gate: g}
					c.holder.GiveUp = func() {}
					got, err := c.ReadBody(bytes.NewReader(body).Read, announced, size)
					if !errors.Is(err, io.EOF) || len(got) != size {
						t.Errorf("%d bytes, announced %d: %v", len(got), announced, err)
					}
					g.held.Release(&c.holder)
				}
			})
		}
		all.Wait()
	}
}
