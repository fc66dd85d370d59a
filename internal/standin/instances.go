package standin

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"apricotbridge/internal/instances"
)

// InstancesFaults are the faults of the instance list in force.
type InstancesFaults struct {
	// Down refuses each call.
	Down bool
	// Lag is how far in the past the list is.
	Lag time.Duration
}

// listed is a change of one instance; a nil instance means that it is gone.
type listed struct {
	at       time.Time
	instance *instances.Instance
}

// Instances is an in-memory instance list. Set the exported fields before the
// first call.
type Instances struct {
	// Now gives the time, so that tests bring their own.
	Now func() time.Time

	mu      sync.Mutex
	history map[string][]listed
	faults  InstancesFaults
}

// NewInstances returns an empty list on the wall clock.
func NewInstances() *Instances { return &Instances{Now: time.Now} }

// SetFaults replaces the faults in force.
func (l *Instances) SetFaults(f InstancesFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds an instance or replaces the one with its id.
func (l *Instances) Put(i instances.Instance) {
	if i.State == "" {
		i.State = instances.Live
	}
	l.record(i.ID, &i)
}

// Leave marks an instance as leaving until deadline.
func (l *Instances) Leave(id string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history[id]
	if len(h) == 0 || h[len(h)-1].instance == nil {
		return
	}
	i := *h[len(h)-1].instance
	i.State, i.Since, i.Deadline = instances.Leaving, l.Now(), deadline
	l.history[id] = append(h, listed{l.Now(), &i})
}

// Remove takes an instance off the list.
func (l *Instances) Remove(id string) { l.record(id, nil) }

func (l *Instances) record(id string, i *instances.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history == nil {
		l.history = map[string][]listed{}
	}
	l.history[id] = append(l.history[id], listed{l.Now(), i})
}

// List returns the list as it was one lag ago.
func (l *Instances) List() instances.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := l.Now().Add(-l.faults.Lag)
	shown := instances.List{Instances: []instances.Instance{}, AsOf: asOf}
	for _, h := range l.history {
		n := sort.Search(len(h), func(i int) bool { return h[i].at.After(asOf) })
		if n > 0 && h[n-1].instance != nil {
			shown.Instances = append(shown.Instances, *h[n-1].instance)
		}
	}
	sort.Slice(shown.Instances, func(i, j int) bool { return shown.Instances[i].ID < shown.Instances[j].ID })
	return shown
}

// Handler serves the protocol that instances.Client speaks, and the calls by
// which tests change the list. POST /faults with an InstancesFaults value
// replaces the faults in force.
func (l *Instances) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		down := l.faults.Down
		l.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			reply(w, l.List(), nil)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Type", "application/json")
		z := gzip.NewWriter(w)
		_ = json.NewEncoder(z).Encode(l.List()) // A reader that has gone needs no answer.
		_ = z.Close()
	})
	mux.HandleFunc("POST /faults", setFaults(l.SetFaults))
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var i instances.Instance
		if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Put(i)
	})
	mux.HandleFunc("POST /instances/{id}/leave", func(_ http.ResponseWriter, r *http.Request) {
		l.Leave(r.PathValue("id"), l.Now().Add(span(r, "within")))
	})
	mux.HandleFunc("DELETE /instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
	})
	return mux
}

// setFaults serves a call that replaces the faults of a stand-in.
func setFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}
