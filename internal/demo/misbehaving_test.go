package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/config"
	"apricotbridge/pkg/problem"
	"apricotbridge/samples"
)

// Ways in which a misbehaving engine responds.
const (
	modeAbort      = "cut off"     // The connection breaks.
	modeTruncate   = "truncated"   // The response ends normally but is incomplete.
	modeRepeat     = "repeated"    // Each token is sent twice.
	modeGap        = "gap"         // A token is skipped.
	modeOutOfOrder = "crossed"     // Earlier token numbers follow later ones, with wrong text.
	modeStall      = "late"        // It sends nothing for longer than the idle timeout, then continues.
	modeNoFinish   = "no finish"   // All tokens are sent, without a finish reason.
	modeNoEnd      = "silent end"  // All tokens are sent, then neither [DONE] nor the end of the body.
	modeExtraToken = "extra token" // A token follows the one with the finish reason.
)

// misbehavingEngine is an engine that responds in each of the given modes in
// turn.
type misbehavingEngine struct {
	modes []string
	idle  time.Duration

	mu        sync.Mutex
	answers   int
	usedModes map[string]int
}

// ServeHTTP serves the part of the engine protocol that streams need.
func (m *misbehavingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/load":
		_ = json.NewEncoder(w).Encode(engine.Load{AsOf: time.Now()}) // An error means that the daemon has disconnected.
	case r.URL.Path == "/v1/cache-events":
		_, _ = io.WriteString(w, "[]") // An error means that the daemon has disconnected.
	case r.Method == http.MethodPost && r.URL.Path == "/v1/completions":
		m.complete(w, r)
	default:
		http.NotFound(w, r) // Streams cannot be resumed.
	}
}

func (m *misbehavingEngine) complete(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Prompt      string   `json:"prompt"`
		MaxTokens   int      `json:"max_tokens"`
		PriorTokens []string `json:"prior_tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	if m.usedModes == nil {
		m.usedModes = map[string]int{}
	}
	mode := m.modes[m.answers%len(m.modes)]
	m.answers++
	m.usedModes[mode]++
	m.mu.Unlock()
	flush := http.NewResponseController(w)
	emit := func(n int, text string) {
		finish := any(nil)
		if n == q.MaxTokens && mode != modeNoFinish {
			finish = "stop"
		}
		data, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"index": 0, "text": text, "finish_reason": finish}}}) // These types always encode.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)                                                                       // An error means that the daemon has disconnected.
		_ = flush.Flush()                                                                                                            // An error means that the daemon has disconnected.
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	middle := (len(q.PriorTokens) + q.MaxTokens) / 2
	for n := len(q.PriorTokens) + 1; n <= q.MaxTokens; n++ {
		text := standin.TokenText(q.Prompt, n)
		switch {
		case mode == modeAbort && n == middle:
			panic(http.ErrAbortHandler)
		case mode == modeTruncate && n == middle:
			return
		case mode == modeGap && n == middle:
			continue
		case mode == modeOutOfOrder && n == middle:
			emit(n-1, "wrong ")
			emit(n, text)
			emit(n-2, "wrong ")
			continue
		case mode == modeStall && n == middle:
			for range 20 { // Short sleeps: a suspension of the process is no silence of the engine.
				time.Sleep(m.idle / 10)
			}
			emit(n, "late ")
			continue
		case mode == modeRepeat:
			emit(n, text)
		}
		emit(n, text)
	}
	switch mode {
	case modeNoEnd:
		<-r.Context().Done()
	case modeExtraToken:
		emit(q.MaxTokens+1, "extra ")
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // An error means that the daemon has disconnected.
}

// startMisbehavingPlatform starts two daemons, a misbehaving engine and, unless
// alone is set, a correct one.
func startMisbehavingPlatform(t *testing.T, m *misbehavingEngine, alone bool) *Platform {
	t.Helper()
	p := newTestPlatform(t, logr.Discard(), samples.Shrestha, func(s *settings.Settings) {
		idle := config.Duration(m.idle)
		s.StreamIdle = &idle
	})
	if err := p.startBackend(Backend{ID: "bad", Service: "sahayak-llm", Place: "asan", Region: "bagmati", Class: "accelerator-8"}, m, nil); err != nil {
		t.Fatal(err)
	}
	if !alone {
		e := &standin.Engine{Slots: 32, TokenTime: time.Millisecond, CacheTokens: 1 << 16}
		if err := p.StartEngine(Backend{ID: "good", Service: "sahayak-llm", Place: "asan", Region: "bagmati", Class: "accelerator-8"}, e); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.StartService(Backend{ID: "khata-1", Service: "khata-app", Place: "asan", Region: "bagmati", Class: "small"}, &standin.Service{}); err != nil {
		t.Fatal(err)
	}
	for i, place := range []string{"asan", "bhaktapur"} {
		d, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), place, "bagmati")
		if err != nil {
			t.Fatal(err)
		}
		waitUntilServing(t, d.CallerAddress())
	}
	return p
}

// readEvents reads consecutively numbered events until the end, an error or the
// given number of events. It returns the text and the number of the last event.
func readEvents(res *http.Response, after, maxEvents int) (text string, last int, whole bool, err error) {
	data, name := make([]byte, 0, 1<<16), ""
	last = after
	buffer := make([]byte, 4096)
	for {
		n, readErr := res.Body.Read(buffer)
		data = append(data, buffer[:n]...)
		for {
			line, rest, ok := strings.Cut(string(data), "\n")
			if !ok {
				break
			}
			data = []byte(rest)
			if event, ok := strings.CutPrefix(line, "event: "); ok {
				name = event
			}
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				if number, err := strconv.Atoi(id); err != nil || number != last+1 {
					return text, last, false, fmt.Errorf("event %q after %d", id, last)
				}
				last++
			}
			body, ok := strings.CutPrefix(line, "data: ")
			if !ok {
				continue
			}
			if body == "[DONE]" {
				return text, last, true, nil
			}
			if name != "" {
				return text, last, false, fmt.Errorf("event %q: %s", name, body)
			}
			var chunk struct {
				Choices []struct {
					Text string `json:"text"`
				} `json:"choices"`
			}
			if err := json.Unmarshal([]byte(body), &chunk); err != nil || len(chunk.Choices) != 1 {
				return text, last, false, fmt.Errorf("chunk %q: %w", body, err)
			}
			text += chunk.Choices[0].Text
			if last-after >= maxEvents {
				return text, last, false, nil
			}
		}
		if readErr != nil {
			return text, last, false, nil //nolint:nilerr // The caller resumes a stream that was cut off.
		}
	}
}

// Guards against missing or repeated text, or text of another request, when an
// engine sends late, out of order, repeated or incomplete output while callers
// disconnect and resume at any daemon.
func TestMisbehavingEngineNeverSpoilsAnAnswer(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	m := &misbehavingEngine{modes: []string{modeAbort, modeTruncate, modeRepeat, modeGap, modeOutOfOrder, modeStall, modeNoFinish, modeNoEnd, modeExtraToken}, idle: 300 * time.Millisecond}
	p := startMisbehavingPlatform(t, m, false)
	entries := p.Entries()
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for c := range 120 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			prompt, tokens := fmt.Sprintf("prompt %d", c), 20+random.IntN(60)
			body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
			defer cancel()
			res, err := sendRequest(ctx, entries[random.IntN(2)], "POST", "/v1/completions", body, nil)
			if err != nil {
				t.Error(err)
				return
			}
			id, got, last := res.Header.Get("X-Request-ID"), "", 0
			for {
				if res.StatusCode == http.StatusServiceUnavailable {
					var refusal problem.Problem
					err = json.NewDecoder(res.Body).Decode(&refusal)
					_ = res.Body.Close()
					if err != nil {
						t.Errorf("%s: refusal: %v", prompt, err)
						return
					}
					mu.Lock()
					counts["refused"]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					if refusal.Kind == problem.DeadlineUnreachable && last == 0 { // The request did not run; the caller sends it again.
						if res, err = sendRequest(ctx, entries[random.IntN(2)], "POST", "/v1/completions", body, nil); err != nil {
							t.Error(err)
							return
						}
						id = res.Header.Get("X-Request-ID")
						continue
					}
					if res, err = resume(ctx, entries[random.IntN(2)], id, last); err != nil { // The queue of the peer link was full.
						t.Error(err)
						return
					}
					continue
				}
				if res.StatusCode != http.StatusOK {
					_ = res.Body.Close() // The status is the error.
					t.Errorf("%s: status %d after event %d", prompt, res.StatusCode, last)
					return
				}
				text, end, whole, err := readEvents(res, last, 1+random.IntN(30))
				_ = res.Body.Close() // The caller disconnects, even if the response is incomplete.
				got, last = got+text, end
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				if whole {
					break
				}
				mu.Lock()
				counts["resumed"]++
				mu.Unlock()
				if res, err = resume(ctx, entries[random.IntN(2)], id, last); err != nil {
					t.Error(err)
					return
				}
			}
			if want := fullText(prompt, tokens); got != want {
				t.Errorf("%s: %d bytes, want %d: ...%s", prompt, len(got), len(want), got[max(0, len(got)-60):])
			}
			for _, entry := range entries {
				if status := fetchStatusAs(t, entry, "village-shops", id); status != http.StatusNotFound {
					t.Errorf("another organisation got status %d for %s", status, id)
				}
			}
		})
	}
	group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("120 streams, %v, answers of the misbehaving engine: %v", counts, m.usedModes)
	for _, mode := range m.modes {
		if m.usedModes[mode] == 0 {
			t.Errorf("no response was %s", mode)
		}
	}
}

// resume requests the events of a request after the last one from an entry.
func resume(ctx context.Context, entry, id string, last int) (*http.Response, error) {
	header := http.Header{"Last-Event-ID": {strconv.Itoa(last)}, "Accept": {"text/event-stream"}}
	return sendRequest(ctx, entry, "GET", "/v1/requests/"+id, "", header)
}

// fetchStatusAs requests a response with the token of an organisation and
// returns the status. It retries while the queue of the peer link is full.
func fetchStatusAs(t *testing.T, address, organisation, id string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/requests/"+id, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+token(organisation))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(50 * time.Millisecond)
		return fetchStatusAs(t, address, organisation, id)
	}
	return res.StatusCode
}

// Guards against an incomplete response that looks complete, and against one
// that is reported as not run although an engine ran it.
func TestTruncatedAnswerNeverLooksWhole(t *testing.T) {
	for _, mode := range []string{modeAbort, modeTruncate, modeGap} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p := startMisbehavingPlatform(t, &misbehavingEngine{modes: []string{mode}, idle: 300 * time.Millisecond}, true)
			for _, streamed := range []bool{true, false} {
				body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":"p","max_tokens":100,"stream":%v}`, streamed)
				ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
				defer cancel()
				res, err := sendRequest(ctx, p.Entries()[0], "POST", "/v1/completions", body, nil)
				if err != nil {
					t.Fatal(err)
				}
				data, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if err != nil {
					t.Errorf("streamed %v: %v", streamed, err)
				}
				switch answer := string(data); {
				case strings.Contains(answer, "[DONE]"):
					t.Errorf("streamed %v: the answer ends as if it were whole", streamed)
				case streamed && !strings.Contains(answer, "event: error"):
					t.Errorf("the stream has no event error: %.200s", answer)
				case !streamed && res.StatusCode == http.StatusOK:
					t.Errorf("the answer has status 200: %.200s", answer)
				case strings.Contains(answer, fmt.Sprintf("%q:%q", "Ran", problem.NotRun)):
					t.Errorf("streamed %v: reported as not run: %.500s", streamed, answer[max(0, len(answer)-500):])
				}
			}
		})
	}
}
