package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a deletion in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// grant is a lease.
type grant struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store, held in memory.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*grant
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[int64]*grant{}, revision: 100, changed: make(chan struct{})}
}

// expire removes the keys of ended leases until the context ends.
func (s *store) expire(ctx context.Context) {
	for pause(ctx, 50*time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// write stores a value. The store is locked.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The values of the cases always encode.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// drop removes an entry as a server does that has left.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// ServeHTTP serves the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, i)
	case r.URL.Path == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.commit(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body) // A body that can't be read asks for the least TTL.
		ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.revision++
		id := s.revision
		s.leases[id] = &grant{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/kv-keep/"):], 10, 64) // 0 is no lease.
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)   // The daemon always sends a number.
	waitMS, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64) // As above.
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
		return
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	failed := []item{}
	for _, c := range t.Conditions {
		if i := s.items[c.Key]; i.Revision != c.Revision {
			i.Key = c.Key
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The daemon may have disconnected.
}
