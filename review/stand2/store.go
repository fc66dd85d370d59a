package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  int64
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
	// refuse returns whether a call from an address is answered with 503.
	refuse func(r *http.Request) bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback(1), "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), items: map[string]item{}, revision: 100, leases: map[int64]lease{},
		lastLease: 1000, changed: make(chan struct{}),
	}
	s.history = []item{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.refuse != nil && s.refuse(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.expire(time.Now())
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }() // Ends with the process.
	return s, nil
}

// front returns a further address of the store, so that the machine can be told that calls it.
func (s *store) front() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(loopback(1), "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }() // As above.
	return l.Addr().String(), nil
}

// isTo reports whether a call came to an address of the store.
func isTo(r *http.Request, address string) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return ok && local.String() == address
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller has gone.
}

// put writes an entry as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Deleted: true})
	}
}

func (s *store) setRefuse(refuse func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

func (s *store) write(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		s.dropLease(id)
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]int64{"currentRev": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, i)
}

type page struct {
	Items   []item `json:"items,omitempty"`
	Events  []item `json:"events,omitempty"`
	More    bool   `json:"morePages"`
	Current int64  `json:"currentRev"`
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := page{Current: s.revision}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			p.Items = append(p.Items, i)
		}
	}
	sort.Slice(p.Items, func(a, b int) bool { return p.Items[a].Key < p.Items[b].Key })
	writeJSON(w, http.StatusOK, p)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		p := page{Current: s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				p.Events = append(p.Events, i)
			}
		}
		if len(p.Events) > 0 || over {
			writeJSON(w, http.StatusOK, p)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	var failed page
	for _, c := range t.Conditions {
		if i := s.items[c.Key]; i.Revision != c.Revision {
			i.Key = c.Key
			failed.Items = append(failed.Items, i)
		}
	}
	if len(failed.Items) > 0 {
		failed.Current = s.revision
		writeJSON(w, http.StatusPreconditionFailed, failed)
		return
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, k := range t.Remove {
		s.write(item{Key: k, Deleted: true})
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastLease++
	ttl := time.Duration(max(asked.TTL, 1000)) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // An id that is no number has no lease.
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // As above.
	s.dropLease(id)
	w.WriteHeader(http.StatusOK)
}
