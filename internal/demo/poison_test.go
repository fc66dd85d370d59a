package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// maxPoisonedEngines is the number of engines that one poisonous request may
// crash.
const maxPoisonedEngines = 3

// Guards against a poisonous request, sent 50 times through six daemons, that
// crashes more than three engines, or that costs other requests on the crashed
// engines their response.
func TestPoisonousRequestCostsFewEngines(t *testing.T) {
	t.Parallel()
	const daemons, engines, sends = 6, 10, 50
	p := newTestPlatform(t, logr.Discard(), samples.Shrestha, nil)
	places := []string{"asan", "bhaktapur"}
	for i := range engines {
		e := &standin.Engine{Slots: 32, TokenTime: 5 * time.Millisecond, CacheTokens: 1 << 16}
		b := Backend{ID: fmt.Sprintf("engine-%d", i), Service: "sahayak-llm", Place: places[i%2], Region: "bagmati", Class: "accelerator-8"}
		if err := p.StartEngine(b, e); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.StartService(Backend{ID: "khata-1", Service: "khata-app", Place: "asan", Region: "bagmati", Class: "small"}, &standin.Service{}); err != nil {
		t.Fatal(err)
	}
	var entries []string
	for i := range daemons {
		d, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), places[i%2], "bagmati")
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, d.CallerAddress())
	}
	for _, entry := range entries {
		waitUntilServing(t, entry)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 80*time.Second)
	defer cancel()
	var innocent sync.WaitGroup
	var stop atomic.Bool
	var answered atomic.Int64
	for n := range 12 {
		innocent.Go(func() {
			for i := 0; !stop.Load(); i++ {
				prompt := fmt.Sprintf("innocent %d of %d", i, n)
				body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":60,"stream":%v}`, prompt, n%2 == 0)
				res, err := sendRequest(ctx, entries[n%daemons], "POST", "/v1/completions", body, nil)
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				if n%2 == 0 && res.StatusCode == http.StatusOK {
					if text, whole := readStream(t, res, nil); !whole || text != fullText(prompt, 60) {
						t.Errorf("%s: whole %v, %d bytes", prompt, whole, len(text))
					}
				} else {
					data, _ := io.ReadAll(res.Body) // The check below detects an incomplete body.
					_ = res.Body.Close()
					if res.StatusCode != http.StatusOK || !strings.Contains(string(data), fullText(prompt, 60)) {
						t.Errorf("%s: status %d, %.200s", prompt, res.StatusCode, data)
					}
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	answers := map[string]int{}
	var poisonous sync.WaitGroup
	for i := range sends {
		poisonous.Go(func() {
			body := `{"model":"sahayak-llm","prompt":"\u0000crash\u0000","max_tokens":5}`
			res, err := sendRequest(ctx, entries[i%daemons], "POST", "/v1/completions", body, nil)
			kind := "no answer"
			if err == nil {
				data, _ := io.ReadAll(res.Body) // Only the problem kind matters.
				_ = res.Body.Close()
				kind = fmt.Sprint(res.StatusCode)
				if _, rest, ok := strings.Cut(string(data), `"Kind":"`); ok {
					kind, _, _ = strings.Cut(rest, `"`)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answers[kind]++
		})
		time.Sleep(300 * time.Millisecond)
	}
	poisonous.Wait()
	stop.Store(true)
	innocent.Wait()
	lost := 0
	p.mu.Lock()
	for id, s := range p.serverByID {
		if strings.HasPrefix(id, "engine-") && !s.stopped.IsZero() {
			lost++
		}
	}
	p.mu.Unlock()
	t.Logf("%d engines lost, answers to %d sends: %v; %d innocent requests answered", lost, sends, answers, answered.Load())
	if lost > maxPoisonedEngines {
		t.Errorf("%d engines were lost, at most %d may be", lost, maxPoisonedEngines)
	}
	if lost == 0 || answers["Poisonous"] == 0 {
		t.Error("the request was not found to be poisonous")
	}
}
