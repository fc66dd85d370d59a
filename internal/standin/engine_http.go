package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"apricotbridge/internal/engine"
)

// unreadTimeout is how long a stream runs after its reader has disconnected.
const unreadTimeout = 5 * time.Second

// Handler serves the protocol of engine.Client.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	complete := func(chat bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				return // The client has disconnected.
			}
			s, err := e.begin(r.Header.Get("X-Request-ID"), raw)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			e.sendTokens(w, r, s, s.priorTokens, chat)
		}
	}
	mux.HandleFunc("POST /v1/completions", complete(false))
	mux.HandleFunc("POST /v1/chat/completions", complete(true))
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		s := e.findStream(r.PathValue("id"))
		if s == nil {
			http.NotFound(w, r)
			return
		}
		e.sendTokens(w, r, s, int(intParam(r, "after")), false)
	})
	mux.HandleFunc("POST /v1/streams/{id}/cancel", func(_ http.ResponseWriter, r *http.Request) {
		if s := e.findStream(r.PathValue("id")); s != nil {
			s.cancel()
		}
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { sendResult(w, e.laggedLoad(), nil) })
	mux.HandleFunc("GET /v1/served", func(w http.ResponseWriter, _ *http.Request) { sendResult(w, e.TokenCounts(), nil) })
	mux.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, r *http.Request) {
		sendResult(w, e.visibleCacheEvents(intParam(r, "after")), nil)
	})
	mux.HandleFunc("GET /v1/kv-cache/{id}", func(w http.ResponseWriter, r *http.Request) {
		s := e.findStream(r.PathValue("id"))
		if s == nil {
			http.NotFound(w, r)
			return
		}
		sendResult(w, map[string]any{"Stream": s.id, "Tokens": CountTokens(s.prompt) + len(s.tokensAfter(0))}, nil)
	})
	mux.HandleFunc("PUT /v1/kv-cache/{id}", func(_ http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.importedStreams == nil {
			e.importedStreams = map[string]bool{}
		}
		e.importedStreams[r.PathValue("id")] = true
	})
	mux.HandleFunc("POST /v1/commands", func(w http.ResponseWriter, r *http.Request) {
		var c engine.Command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !e.applyCommand(c) {
			http.Error(w, "old fencing number", http.StatusConflict)
		}
	})
	return mux
}

// applyCommand stores the commanded state. An engine without ChecksFencing
// accepts any fencing number.
func (e *Engine) applyCommand(c engine.Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && c.Fence < e.fence {
		return false
	}
	e.fence, e.command = c.Fence, c
	return true
}

func (e *Engine) visibleCacheEvents(after int64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.ReportLag)
	found := []engine.CacheEvent{}
	for _, event := range e.eventLog {
		if event.Number > after && event.At.Before(visible) {
			found = append(found, event)
		}
	}
	return found
}

// sendTokens writes the tokens of a stream after the given number as they are
// generated.
func (e *Engine) sendTokens(w http.ResponseWriter, r *http.Request, s *engineStream, after int, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	l := e.laggedLoad()
	w.Header().Set("X-Engine-Running", fmt.Sprint(l.Running))
	w.Header().Set("X-Engine-Waiting", fmt.Sprint(l.Waiting))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush() // The loop below detects a disconnected client.
	for {
		done, changed := s.status()
		for _, t := range s.tokensAfter(after) {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", t.Number, encodeChunk(t, chat)); err != nil {
				return
			}
			after = t.Number
		}
		if done {
			if after >= s.maxTokens {
				_, _ = io.WriteString(w, "data: [DONE]\n\n") // The client may have disconnected.
			}
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			e.cancelLater(s)
			return
		}
	}
}

// cancelLater cancels a stream unreadTimeout after its reader has disconnected.
func (e *Engine) cancelLater(s *engineStream) {
	time.AfterFunc(unreadTimeout, s.cancel)
}

func encodeChunk(t engine.Token, chat bool) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if t.Finish != "" {
		choice["finish_reason"] = t.Finish
	}
	if chat {
		choice["delta"] = map[string]string{"content": t.Text}
	} else {
		choice["text"] = t.Text
	}
	chunk := map[string]any{"choices": []any{choice}}
	if t.Usage != nil {
		chunk["usage"] = t.Usage
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return []byte("{}") // Strings and numbers always encode.
	}
	return data
}
