package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one execution of an order by a plain service.
type Run struct {
	Key  string    `json:"Key"`
	Body string    `json:"Body"`
	At   time.Time `json:"At"`
	// Number counts the runs of the service from 1.
	Number int `json:"Number"`
}

// Service is a stand-in for a plain order service that records each run. Set
// the exported fields before the first call.
type Service struct {
	// Latency is the duration of an order.
	Latency time.Duration
	// Runs is the record of runs that all backend servers of a service share,
	// like a database.
	Runs *RunLog
	// Drop makes the service close the connection without a response when it
	// returns true; nil means never.
	Drop func() bool
}

// RunLog records the runs of all backend servers of one plain service.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

// Add records a run.
func (r *RunLog) Add(key, body string) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{Key: key, Body: body, At: time.Now(), Number: len(r.runs) + 1}
	r.runs = append(r.runs, run)
	return run
}

// All returns the runs so far.
func (r *RunLog) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

func (r *RunLog) find(key string) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.Key == key {
			return run, true
		}
	}
	return Run{}, false
}

// Handler serves POST /orders, GET /orders/{key}, GET /runs and GET /catalogue.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The client has disconnected.
		}
		run := s.Runs.Add(r.Header.Get("Idempotency-Key"), string(body))
		time.Sleep(s.Latency)
		if s.Drop != nil && s.Drop() {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(run) // An error means that the client has disconnected.
	})
	mux.HandleFunc("GET /orders/{key}", func(w http.ResponseWriter, r *http.Request) {
		run, ok := s.Runs.find(r.PathValue("key"))
		if !ok {
			http.NotFound(w, r)
			return
		}
		sendResult(w, run, nil)
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { sendResult(w, s.Runs.All(), nil) })
	mux.HandleFunc("GET /catalogue", func(w http.ResponseWriter, _ *http.Request) {
		sendResult(w, map[string]any{"Items": []string{"lavender sachet", "sukuti"}}, nil)
	})
	return mux
}
