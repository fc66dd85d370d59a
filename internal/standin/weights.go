package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"apricotbridge/internal/weights"
	"apricotbridge/pkg/config"
)

// WeightsFaults configures the faults of the weight store.
type WeightsFaults struct {
	// Down makes every call fail without an effect.
	Down bool
	// LoseAnswers is the share of grants whose response is lost.
	LoseAnswers float64
	// Slow is a divisor of the store's rate; 0 means 1.
	Slow float64
}

// Weights is an in-memory weight store. Set the exported fields before the earliest
// call.
type Weights struct {
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// Rand decides which responses are lost.
	Rand *rand.Rand
	// BytesPerSecond is the total rate of the store, divided evenly among
	// MaxPermits permits.
	BytesPerSecond float64
	// MaxPermits bounds the concurrent fetches.
	MaxPermits int
	// Sizes has the size in bytes of each model or adapter by name. Other names are
	// not found.
	Sizes map[string]int64

	mu      sync.Mutex
	lastID  int
	permits map[weights.Request]weights.Permit
	faults  WeightsFaults
}

// NewWeights returns a store that uses the wall clock and allows 4 concurrent
// fetches at 2 GB/s in total.
func NewWeights(seed uint64, sizes map[string]int64) *Weights {
	return &Weights{Now: time.Now, Rand: rand.New(rand.NewPCG(seed, 3)), BytesPerSecond: 2e9, MaxPermits: 4, Sizes: sizes}
}

// SetFaults replaces the active faults.
func (s *Weights) SetFaults(f WeightsFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Weights) bytesPerSecond() float64 { return s.BytesPerSecond / max(1, s.faults.Slow) }

// expirePermits removes expired permits. The caller holds the lock.
func (s *Weights) expirePermits(now time.Time) {
	if s.permits == nil {
		s.permits = map[weights.Request]weights.Permit{}
	}
	for r, p := range s.permits {
		if !now.Before(p.Expires) {
			delete(s.permits, r)
		}
	}
}

// acquire grants a permit and returns the status and body of the response.
// Status 0 means that the response is lost after the grant.
func (s *Weights) acquire(r weights.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.expirePermits(now)
	if s.faults.Down {
		return http.StatusServiceUnavailable, struct{}{}
	}
	name := r.Model
	if r.Adapter != "" {
		name = r.Adapter
	}
	size, ok := s.Sizes[name]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	p, held := s.permits[r]
	if !held {
		if len(s.permits) >= s.MaxPermits {
			var earliest time.Time
			for _, other := range s.permits {
				if earliest.IsZero() || other.Expires.Before(earliest) {
					earliest = other.Expires
				}
			}
			return http.StatusTooManyRequests, weights.LimitedError{RetryAfter: config.Duration(earliest.Sub(now))}
		}
		s.lastID++
		rate := s.bytesPerSecond() / float64(s.MaxPermits)
		p = weights.Permit{
			ID: fmt.Sprintf("permit-%d", s.lastID), Request: r, Bytes: size, BytesPerSecond: rate,
			Expires: now.Add(time.Duration(float64(size) / rate * float64(time.Second))),
		}
		s.permits[r] = p
	}
	if s.faults.LoseAnswers > 0 && s.Rand.Float64() < s.faults.LoseAnswers {
		return 0, nil
	}
	return http.StatusOK, p
}

func (s *Weights) release(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expirePermits(s.Now())
	if s.faults.Down {
		return http.StatusServiceUnavailable
	}
	for r, p := range s.permits {
		if p.ID == id {
			delete(s.permits, r)
			return http.StatusOK
		}
	}
	return http.StatusNotFound
}

func (s *Weights) status() (int, weights.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expirePermits(s.Now())
	if s.faults.Down {
		return http.StatusServiceUnavailable, weights.Status{}
	}
	status := weights.Status{BytesPerSecond: s.bytesPerSecond(), Permits: []weights.Permit{}}
	for _, p := range s.permits {
		status.Permits = append(status.Permits, p)
	}
	sort.Slice(status.Permits, func(i, j int) bool { return status.Permits[i].ID < status.Permits[j].ID })
	return http.StatusOK, status
}

// Handler serves the protocol of weights.Client. POST /faults with a
// WeightsFaults value replaces the active faults.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/permits", func(w http.ResponseWriter, r *http.Request) {
		var request weights.Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, body := s.acquire(request)
		sendJSON(w, status, body)
	})
	mux.HandleFunc("DELETE /v1/permits/{id}", func(w http.ResponseWriter, r *http.Request) {
		sendJSON(w, s.release(r.PathValue("id")), struct{}{})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		status, body := s.status()
		sendJSON(w, status, body)
	})
	mux.HandleFunc("POST /faults", setFaults(s.SetFaults))
	return mux
}

// sendJSON writes a response with a JSON body. Status 0 closes the connection
// without a response.
func sendJSON(w http.ResponseWriter, status int, body any) {
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // An error means that the client has disconnected.
}
