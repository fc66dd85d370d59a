package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"go.uber.org/goleak"

	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// startSmallPlatform starts two daemons, two engines and one order service in
// asan and bhaktapur.
func startSmallPlatform(t *testing.T) *Platform {
	t.Helper()
	return startSmallPlatformWith(t, samples.Shrestha)
}

// newTestPlatform returns a platform with the configuration, without servers and
// daemons, and closes it at the end of the test. adjust may be nil.
func newTestPlatform(t *testing.T, log logr.Logger, configuration []byte, adjust func(*settings.Settings)) *Platform {
	t.Helper()
	p, err := NewPlatform(t.Context(), log, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	p.AdjustSettings = adjust
	if err := p.Apply(t.Context(), configuration); err != nil {
		t.Fatal(err)
	}
	return p
}

// startSmallPlatformWith is startSmallPlatform with another configuration.
func startSmallPlatformWith(t *testing.T, configuration []byte) *Platform {
	t.Helper()
	p := newTestPlatform(t, testr.New(t), configuration, nil)
	for i, place := range []string{"asan", "bhaktapur"} {
		e := &standin.Engine{Slots: 4, TokenTime: 5 * time.Millisecond, CacheTokens: 1 << 16}
		b := Backend{ID: fmt.Sprintf("engine-%d", i), Service: "sahayak-llm", Place: place, Region: "bagmati", Class: "accelerator-8"}
		if err := p.StartEngine(b, e); err != nil {
			t.Fatal(err)
		}
	}
	b := Backend{ID: "khata-1", Service: "khata-app", Place: "asan", Region: "bagmati", Class: "small"}
	if err := p.StartService(b, &standin.Service{}); err != nil {
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

// waitUntilServing waits until an entry has a configuration and backend
// servers.
func waitUntilServing(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		res, err := sendRequest(ctx, address, "GET", "/services/khata-app/catalogue", "", nil)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("entry %s did not start serving", address)
}

func sendRequest(ctx context.Context, address, method, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+token("counter"))
	return http.DefaultClient.Do(req)
}

// readStream returns the text of a completion stream and whether it was
// complete. It calls each with the number of tokens read.
func readStream(t *testing.T, res *http.Response, each func(n int)) (string, bool) {
	t.Helper()
	text, whole, _ := readMoved(t, res, each)
	return text, whole
}

// readMoved also returns the entry that continues the stream, if a moved event
// names one.
func readMoved(t *testing.T, res *http.Response, each func(n int)) (text string, whole bool, entry string) {
	t.Helper()
	defer res.Body.Close()
	var got strings.Builder
	lines := bufio.NewScanner(res.Body)
	name := ""
	for n := 0; lines.Scan(); {
		if event, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = event
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return got.String(), true, ""
		}
		var chunk struct {
			Entry   string `json:"Entry"`
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("chunk %s: %v", data, err)
		}
		if name == "moved" {
			return got.String(), false, chunk.Entry
		}
		if len(chunk.Choices) != 1 {
			t.Fatalf("event %q: %s", name, data)
		}
		got.WriteString(chunk.Choices[0].Text)
		n++
		if each != nil {
			each(n)
		}
	}
	return got.String(), false, ""
}

func fullText(prompt string, tokens int) string {
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		want.WriteString(standin.TokenText(prompt, n))
	}
	return want.String()
}

// Guards against missing or repeated text after the engine of a stream dies,
// and against a stream that ends when its engine dies.
func TestStreamSurvivesDeathOfItsEngine(t *testing.T) {
	p := startSmallPlatform(t)
	prompt := `"tell me about sukuti"`
	body := `{"model":"sahayak-llm","prompt":` + prompt + `,"max_tokens":60,"stream":true}`
	res, err := sendRequest(t.Context(), p.Entries()[0], "POST", "/v1/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, whole := readStream(t, res, func(n int) {
		if n == 20 {
			for _, id := range []string{"engine-0", "engine-1"} {
				if p.runningStreams(id) > 0 {
					p.Kill(id)
				}
			}
		}
	})
	if want := fullText("tell me about sukuti", 60); !whole || text != want {
		t.Errorf("complete: %v, text of %d bytes, want %d bytes", whole, len(text), len(want))
	}
}
