package demo

import (
	"bytes"
	"testing"
	"time"

	"apricotbridge/samples"
)

// Guards against recomputing the tokens of a stream on a leaving engine when
// importing its KV cache is cheaper, and against text that is lost or repeated
// by the import.
func TestLeavingEngineHandsItsCacheOver(t *testing.T) {
	// At 100 prompt tokens per second, recomputing one second of generated tokens
	// takes longer than transferring its KV cache.
	slow := bytes.ReplaceAll(samples.Shrestha, []byte(`"PrefillTokensPerSecond": 20000`), []byte(`"PrefillTokensPerSecond": 100`))
	if bytes.Equal(slow, samples.Shrestha) {
		t.Fatal("the sample has no prefill rate of 20000")
	}
	p := startSmallPlatformWith(t, slow)
	const tokens = 1200 // Takes about 5 s.
	body := `{"model":"sahayak-llm","prompt":"a dossier that moves","max_tokens":1200,"stream":true}`
	res, err := sendRequest(t.Context(), p.Entries()[0], "POST", "/v1/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, whole := readStream(t, res, func(n int) {
		if n != 100 {
			return
		}
		for _, id := range []string{"engine-0", "engine-1"} {
			if p.runningStreams(id) > 0 {
				p.Instances.Leave(id, time.Now().Add(3*time.Second))
			}
		}
	})
	if want := fullText("a dossier that moves", tokens); !whole || text != want {
		t.Errorf("complete: %v, text of %d bytes, want %d", whole, len(text), len(want))
	}
	if n := p.RecomputedTokens(); n != 0 {
		t.Errorf("%d tokens recomputed", n)
	}
	imports := 0
	for _, id := range []string{"engine-0", "engine-1"} {
		imports += p.serverByID[id].engine.ImportedCaches()
	}
	if imports != 1 {
		t.Errorf("%d imports of KV cache, want 1", imports)
	}
}
