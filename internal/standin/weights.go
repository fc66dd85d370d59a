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

// WeightsFaults are the faults of the weight store in force.
type WeightsFaults struct {
	// Down refuses each call; the call has no effect.
	Down bool
	// LoseAnswers is the share of grants whose answer is lost.
	LoseAnswers float64
	// Slow divides the store's rate; 0 means 1.
	Slow float64
}

// Weights is an in-memory weight store. Set the exported fields before the first
// call.
type Weights struct {
	// Now gives the time, so that tests bring their own.
	Now func() time.Time
	// Rand decides which answers are lost.
	Rand *rand.Rand
	// BytesPerSecond is the store's rate, divided evenly among the permits.
	BytesPerSecond float64
	// MaxPermits is how many fetches run at a time.
	MaxPermits int
	// Sizes has the bytes of each model or adapter by name. Names that it lacks are
	// not found.
	Sizes map[string]int64

	mu      sync.Mutex
	next    int
	permits map[weights.Request]weights.Permit
	faults  WeightsFaults
}

// NewWeights returns a store on the wall clock that runs 4 fetches at a time at
// 2 GB/s in total.
func NewWeights(seed uint64, sizes map[string]int64) *Weights {
	return &Weights{Now: time.Now, Rand: rand.New(rand.NewPCG(seed, 3)), BytesPerSecond: 2e9, MaxPermits: 4, Sizes: sizes}
}

// SetFaults replaces the faults in force.
func (s *Weights) SetFaults(f WeightsFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Weights) rate() float64 { return s.BytesPerSecond / max(1, s.faults.Slow) }

// expire ends the permits whose time is over. The caller holds the lock.
func (s *Weights) expire(now time.Time) {
	if s.permits == nil {
		s.permits = map[weights.Request]weights.Permit{}
	}
	for r, p := range s.permits {
		if !now.Before(p.Expires) {
			delete(s.permits, r)
		}
	}
}

// acquire returns the status and the body of the answer. Status 0 stands for an
// answer that is lost after the grant.
func (s *Weights) acquire(r weights.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.expire(now)
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
			var first time.Time
			for _, other := range s.permits {
				if first.IsZero() || other.Expires.Before(first) {
					first = other.Expires
				}
			}
			return http.StatusTooManyRequests, weights.LimitedError{RetryAfter: config.Duration(first.Sub(now))}
		}
		s.next++
		rate := s.rate() / float64(s.MaxPermits)
		p = weights.Permit{
			ID: fmt.Sprintf("permit-%d", s.next), Request: r, Bytes: size, BytesPerSecond: rate,
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
	s.expire(s.Now())
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
	s.expire(s.Now())
	if s.faults.Down {
		return http.StatusServiceUnavailable, weights.Status{}
	}
	status := weights.Status{BytesPerSecond: s.rate(), Permits: []weights.Permit{}}
	for _, p := range s.permits {
		status.Permits = append(status.Permits, p)
	}
	sort.Slice(status.Permits, func(i, j int) bool { return status.Permits[i].ID < status.Permits[j].ID })
	return http.StatusOK, status
}

// Handler serves the protocol that weights.Client speaks. POST /faults with a
// WeightsFaults value replaces the faults in force.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/permits", func(w http.ResponseWriter, r *http.Request) {
		var request weights.Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, body := s.acquire(request)
		send(w, status, body)
	})
	mux.HandleFunc("DELETE /v1/permits/{id}", func(w http.ResponseWriter, r *http.Request) {
		send(w, s.release(r.PathValue("id")), struct{}{})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		status, body := s.status()
		send(w, status, body)
	})
	mux.HandleFunc("POST /faults", setFaults(s.SetFaults))
	return mux
}

// send answers with a JSON body. Status 0 closes the connection without an answer.
func send(w http.ResponseWriter, status int, body any) {
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that has gone needs no answer.
}
