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

// InstancesFaults configures the faults of the instance list.
type InstancesFaults struct {
	// Down makes every call fail.
	Down bool
	// Lag is the age of the list that calls return.
	Lag time.Duration
}

// instanceVersion is the state of one instance from a time on; a nil instance
// means that it was removed.
type instanceVersion struct {
	at       time.Time
	instance *instances.Instance
}

// Instances is an in-memory instance list. Set the exported fields before the
// first call.
type Instances struct {
	// Now returns the current time; tests replace it.
	Now func() time.Time

	mu      sync.Mutex
	history map[string][]instanceVersion
	faults  InstancesFaults
}

// NewInstances returns an empty list that uses the wall clock.
func NewInstances() *Instances { return &Instances{Now: time.Now} }

// SetFaults replaces the active faults.
func (l *Instances) SetFaults(f InstancesFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds an instance or replaces the one with the same id.
func (l *Instances) Put(i instances.Instance) {
	if i.State == "" {
		i.State = instances.Live
	}
	l.appendVersion(i.ID, &i)
}

// Leave marks an instance as leaving with the given deadline.
func (l *Instances) Leave(id string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history[id]
	if len(h) == 0 || h[len(h)-1].instance == nil {
		return
	}
	i := *h[len(h)-1].instance
	i.State, i.Since, i.Deadline = instances.Leaving, l.Now(), deadline
	l.history[id] = append(h, instanceVersion{l.Now(), &i})
}

// Remove removes an instance from the list.
func (l *Instances) Remove(id string) { l.appendVersion(id, nil) }

func (l *Instances) appendVersion(id string, i *instances.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history == nil {
		l.history = map[string][]instanceVersion{}
	}
	l.history[id] = append(l.history[id], instanceVersion{l.Now(), i})
}

// List returns the list as it was before the configured lag.
func (l *Instances) List() instances.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := l.Now().Add(-l.faults.Lag)
	list := instances.List{Instances: []instances.Instance{}, AsOf: asOf}
	for _, h := range l.history {
		n := sort.Search(len(h), func(i int) bool { return h[i].at.After(asOf) })
		if n > 0 && h[n-1].instance != nil {
			list.Instances = append(list.Instances, *h[n-1].instance)
		}
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].ID < list.Instances[j].ID })
	return list
}

// Handler serves the protocol of instances.Client and calls with which tests
// change the list. POST /faults with an InstancesFaults value replaces the
// active faults.
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
			sendResult(w, l.List(), nil)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Type", "application/json")
		z := gzip.NewWriter(w)
		_ = json.NewEncoder(z).Encode(l.List()) // An error means that the client has disconnected.
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
		l.Leave(r.PathValue("id"), l.Now().Add(durationParam(r, "within")))
	})
	mux.HandleFunc("DELETE /instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
	})
	return mux
}

// setFaults returns a handler that replaces the active faults of a stand-in.
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
