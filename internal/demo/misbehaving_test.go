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

// Ways in which a misbehaving engine answers.
const (
	cutOff    = "cut off"     // The connection breaks.
	truncated = "truncated"   // The response ends in order, but is not whole.
	repeated  = "repeated"    // Each token comes twice.
	gap       = "gap"         // A token is left out.
	crossed   = "crossed"     // Tokens of an earlier number come late and with other text.
	late      = "late"        // It falls silent for longer than the idle time and goes on.
	noFinish  = "no finish"   // All tokens come without a finish reason.
	endless   = "silent end"  // All tokens come, then neither [DONE] nor the end.
	extra     = "extra token" // Tokens follow the one that finished the response.
)

// misbehaving is an engine that answers in the given ways by turns.
type misbehaving struct {
	ways []string
	idle time.Duration

	mu      sync.Mutex
	answers int
	used    map[string]int
}

// ServeHTTP serves the part of the engine protocol that a stream needs.
func (m *misbehaving) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/load":
		_ = json.NewEncoder(w).Encode(engine.Load{AsOf: time.Now()}) // A daemon that has gone needs no answer.
	case r.URL.Path == "/v1/cache-events":
		_, _ = io.WriteString(w, "[]") // The same.
	case r.Method == http.MethodPost && r.URL.Path == "/v1/completions":
		m.complete(w, r)
	default:
		http.NotFound(w, r) // It keeps no stream for a resume.
	}
}

func (m *misbehaving) complete(w http.ResponseWriter, r *http.Request) {
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
	if m.used == nil {
		m.used = map[string]int{}
	}
	way := m.ways[m.answers%len(m.ways)]
	m.answers++
	m.used[way]++
	m.mu.Unlock()
	flush := http.NewResponseController(w)
	emit := func(n int, text string) {
		finish := any(nil)
		if n == q.MaxTokens && way != noFinish {
			finish = "stop"
		}
		data, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"index": 0, "text": text, "finish_reason": finish}}}) // It always encodes.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)                                                                       // A daemon that has gone ends the handler.
		_ = flush.Flush()                                                                                                            // The same.
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	middle := (len(q.PriorTokens) + q.MaxTokens) / 2
	for n := len(q.PriorTokens) + 1; n <= q.MaxTokens; n++ {
		text := standin.Completion(q.Prompt, n)
		switch {
		case way == cutOff && n == middle:
			panic(http.ErrAbortHandler)
		case way == truncated && n == middle:
			return
		case way == gap && n == middle:
			continue
		case way == crossed && n == middle:
			emit(n-1, "wrong ")
			emit(n, text)
			emit(n-2, "wrong ")
			continue
		case way == late && n == middle:
			time.Sleep(2 * m.idle)
			emit(n, "late ")
			continue
		case way == repeated:
			emit(n, text)
		}
		emit(n, text)
	}
	switch way {
	case endless:
		<-r.Context().Done()
	case extra:
		emit(q.MaxTokens+1, "extra ")
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // A daemon that has gone ends the handler.
}

// misbehavingPlatform starts two daemons before a misbehaving engine and, unless
// it stands alone, a good one.
func misbehavingPlatform(t *testing.T, m *misbehaving, alone bool) *Platform {
	t.Helper()
	p, err := NewPlatform(t.Context(), logr.Discard(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	p.Adjust = func(s *settings.Settings) {
		idle := config.Duration(m.idle)
		s.StreamIdle = &idle
	}
	if err := p.Apply(t.Context(), samples.Shrestha); err != nil {
		t.Fatal(err)
	}
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
		waitServing(t, d.CallerAddress())
	}
	return p
}

// readSome reads events that must follow each other, until the end, an error or
// the given number, and returns the text and the last event.
func readSome(res *http.Response, after, most int) (text string, last int, whole bool, err error) {
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
			if last-after >= most {
				return text, last, false, nil
			}
		}
		if readErr != nil {
			return text, last, false, nil //nolint:nilerr // A cut is resumed by the caller.
		}
	}
}

// Guards P2 against text that is missing, repeated or another request's when an
// engine answers late, crossed, twice or in part, and callers cut off themselves
// and resume at any daemon.
func TestMisbehavingEngineNeverSpoilsAnAnswer(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	m := &misbehaving{ways: []string{cutOff, truncated, repeated, gap, crossed, late, noFinish, endless, extra}, idle: 300 * time.Millisecond}
	p := misbehavingPlatform(t, m, false)
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
			res, err := send(ctx, entries[random.IntN(2)], "POST", "/v1/completions", body, nil)
			if err != nil {
				t.Error(err)
				return
			}
			id, got, last := res.Header.Get("X-Request-ID"), "", 0
			for {
				if res.StatusCode == http.StatusServiceUnavailable {
					_ = res.Body.Close() // The queue of the link was full; the caller comes back.
					mu.Lock()
					counts["refused"]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					if res, err = resume(ctx, entries[random.IntN(2)], id, last); err != nil {
						t.Error(err)
						return
					}
					continue
				}
				if res.StatusCode != http.StatusOK {
					_ = res.Body.Close() // The status is the fault.
					t.Errorf("%s: status %d after event %d", prompt, res.StatusCode, last)
					return
				}
				text, end, whole, err := readSome(res, last, 1+random.IntN(30))
				_ = res.Body.Close() // The caller cuts itself off unless the answer is whole.
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
			if want := completion(prompt, tokens); got != want {
				t.Errorf("%s: %d bytes, want %d: ...%s", prompt, len(got), len(want), got[max(0, len(got)-60):])
			}
			for _, entry := range entries {
				if status := fetchAs(t, entry, "village-shops", id); status != http.StatusNotFound {
					t.Errorf("another organisation got status %d for %s", status, id)
				}
			}
		})
	}
	group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("120 streams, %v, answers of the misbehaving engine: %v", counts, m.used)
	for _, way := range m.ways {
		if m.used[way] == 0 {
			t.Errorf("no answer was %s", way)
		}
	}
}

// resume asks an entry for the events of a request after the last one.
func resume(ctx context.Context, entry, id string, last int) (*http.Response, error) {
	header := http.Header{"Last-Event-ID": {strconv.Itoa(last)}, "Accept": {"text/event-stream"}}
	return send(ctx, entry, "GET", "/v1/requests/"+id, "", header)
}

// fetchAs asks for a request's answer with the token of an organisation, until it
// is not refused for want of room on the link.
func fetchAs(t *testing.T, address, organisation, id string) int {
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
		return fetchAs(t, address, organisation, id)
	}
	return res.StatusCode
}

// Guards P2 against an answer that looks whole though no engine gave it whole,
// and P3 against one that is then reported as not run.
func TestTruncatedAnswerNeverLooksWhole(t *testing.T) {
	for _, way := range []string{cutOff, truncated, gap} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			p := misbehavingPlatform(t, &misbehaving{ways: []string{way}, idle: 300 * time.Millisecond}, true)
			for _, streamed := range []bool{true, false} {
				body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":"p","max_tokens":100,"stream":%v}`, streamed)
				ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
				defer cancel()
				res, err := send(ctx, p.Entries()[0], "POST", "/v1/completions", body, nil)
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
