package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"apricotbridge/internal/engine"
)

// unreadCancel is how long a stream runs on without a reader.
const unreadCancel = 5 * time.Second

// Handler serves the protocol that engine.Client speaks.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	complete := func(chat bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				return // The caller is gone.
			}
			s, err := e.begin(r.Header.Get("X-Request-ID"), raw)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			e.send(w, r, s, s.prior, chat)
		}
	}
	mux.HandleFunc("POST /v1/completions", complete(false))
	mux.HandleFunc("POST /v1/chat/completions", complete(true))
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		s := e.find(r.PathValue("id"))
		if s == nil {
			http.NotFound(w, r)
			return
		}
		e.send(w, r, s, int(number(r, "after")), false)
	})
	mux.HandleFunc("POST /v1/streams/{id}/cancel", func(_ http.ResponseWriter, r *http.Request) {
		if s := e.find(r.PathValue("id")); s != nil {
			s.cancel()
		}
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.load(), nil) })
	mux.HandleFunc("GET /v1/served", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Served(), nil) })
	mux.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, r *http.Request) {
		reply(w, e.cacheEvents(number(r, "after")), nil)
	})
	mux.HandleFunc("GET /v1/kv-cache/{id}", func(w http.ResponseWriter, r *http.Request) {
		s := e.find(r.PathValue("id"))
		if s == nil {
			http.NotFound(w, r)
			return
		}
		reply(w, map[string]any{"Stream": s.id, "Tokens": PromptTokens(s.prompt) + len(s.read(0))}, nil)
	})
	mux.HandleFunc("PUT /v1/kv-cache/{id}", func(_ http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.imported == nil {
			e.imported = map[string]bool{}
		}
		e.imported[r.PathValue("id")] = true
	})
	mux.HandleFunc("POST /v1/commands", func(w http.ResponseWriter, r *http.Request) {
		var c engine.Command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !e.obey(c) {
			http.Error(w, "old fencing number", http.StatusConflict)
		}
	})
	return mux
}

// obey takes over the desired state. An engine that does not check fencing
// numbers takes any.
func (e *Engine) obey(c engine.Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && c.Fence < e.fence {
		return false
	}
	e.fence, e.command = c.Fence, c
	return true
}

func (e *Engine) cacheEvents(after int64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.ReportLag)
	found := []engine.CacheEvent{}
	for _, event := range e.events {
		if event.Number > after && event.At.Before(visible) {
			found = append(found, event)
		}
	}
	return found
}

// send writes the stream's tokens after the given number as they come.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *engineStream, after int, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	l := e.load()
	w.Header().Set("X-Engine-Running", fmt.Sprint(l.Running))
	w.Header().Set("X-Engine-Waiting", fmt.Sprint(l.Waiting))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush() // A caller that has gone is noticed below.
	for {
		done, changed := s.state()
		for _, t := range s.read(after) {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", t.Number, chunkOf(t, chat)); err != nil {
				return
			}
			after = t.Number
		}
		if done {
			if after >= s.limit {
				_, _ = io.WriteString(w, "data: [DONE]\n\n") // The reader may be gone by now.
			}
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			e.cancelUnread(s)
			return
		}
	}
}

// cancelUnread ends a stream whose reader is gone and did not come back.
func (e *Engine) cancelUnread(s *engineStream) {
	time.AfterFunc(unreadCancel, s.cancel)
}

func chunkOf(t engine.Token, chat bool) []byte {
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
