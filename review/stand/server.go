package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is the entry that a backend server writes to the store.
type entry struct {
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   int    `json:"warmupRemainingMs"`
	Stage    string `json:"stage,omitempty"`
	Sequence int64  `json:"sequence"`
	Born     int64  `json:"born"`
}

// backend is a sound backend server. Spoil, if set, answers instead and reports true.
type backend struct {
	ID       string
	Zone     string
	Service  string
	Engine   bool
	Capacity int
	Store    *store
	Rec      *record
	// Work is how long a plain request takes and how long an engine takes to the first event.
	Work time.Duration
	// ReadsPrompts adds the time to read all tokens of a prompt to Work.
	ReadsPrompts bool
	Spoil        func(s *backend, w http.ResponseWriter, r *http.Request) bool
	// Ran, if set, is called with each request that the server runs.
	Ran func(s *backend, r *http.Request)
	// Events, if set, writes the events of a stream after the one named by Last-Event-Id.
	Events func(ctx context.Context, s *backend, w http.ResponseWriter, r *http.Request)

	address  string
	server   *http.Server
	born     int64
	mu       sync.Mutex
	sequence int64
	state    string
}

// start listens on a loopback address and keeps the server's entry in the store until the
// context ends.
func (s *backend) start(ctx context.Context, ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.address, s.state = l.Addr().String(), "ready"
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // Ends with close.
	s.born = time.Now().UnixMilli()
	s.beat()
	go func() {
		for pause(ctx, 1200*time.Millisecond) {
			s.beat()
		}
		_ = s.server.Close() // The run is over.
	}()
	return nil
}

// beat writes the server's entry, unless the server has left.
func (s *backend) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	e := entry{s.Service, s.address, s.Zone, "v1", s.Capacity, s.state, 0, "", s.sequence, s.born}
	if s.Engine {
		e.Stage = "both"
	}
	s.Store.put("servers/"+s.ID, e)
}

// leave announces that the server is draining, serves on for a time and ends.
func (s *backend) leave(ctx context.Context, serves time.Duration) {
	s.setState("draining")
	s.beat()
	s.Rec.add("server %s: is draining", s.ID)
	if !pause(ctx, serves) {
		return
	}
	s.setState("")
	s.Store.drop("servers/" + s.ID)
	_ = s.server.Close() // Its runs have ended.
	s.Rec.add("server %s: has left", s.ID)
}

func (s *backend) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *backend) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == "draining"
}

// ServeHTTP runs a request.
func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Apricotbridge-Attempt-Id")
	h := w.Header()
	h.Set("X-Apricotbridge-Attempt-Id", id)
	if expected := r.Header.Get("X-Apricotbridge-Expected-Instance"); expected != "" && expected != s.ID {
		h.Set("X-Apricotbridge-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Apricotbridge-Server-Signature", s.ID+"."+id)
	if s.isLeaving() {
		h.Set("Server-Leaving", "1")
	}
	if s.Spoil != nil && s.Spoil(s, w, r) {
		return
	}
	s.Rec.add("server %s: runs %s", s.ID, id)
	if s.Ran != nil {
		s.Ran(s, r)
	}
	work := s.Work
	if s.ReadsPrompts {
		work += readTime(r)
	}
	if !pause(r.Context(), work) {
		return
	}
	if !s.Engine {
		data, err := json.Marshal(map[string]string{"ranAt": s.ID, "request": id})
		if err != nil {
			return // Strings always encode.
		}
		_, _ = w.Write(data) // The daemon may have disconnected.
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if s.Events != nil {
		s.Events(r.Context(), s, w, r)
		return
	}
	const events = 40
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // The next write reports an error.
		if n < events && !pause(r.Context(), 20*time.Millisecond) {
			return
		}
	}
}

// readTime returns how long an engine of the site reads the prompt of a request.
func readTime(r *http.Request) time.Duration {
	const tokensPerMillisecond = 51.1
	prompt, _, _ := strings.Cut(r.Header.Get("X-Apricotbridge-Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(prompt, 64) // No prompt: 0.
	return time.Duration(tokens / tokensPerMillisecond * float64(time.Millisecond))
}

// cloud is the platform's API for duties. It accepts all calls.
type cloud struct{}

// ServeHTTP accepts a call.
func (cloud) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// listen serves a handler on a free port of a loopback address and returns the address.
func listen(ctx context.Context, ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()                   // Ends with Close.
	context.AfterFunc(ctx, func() { _ = server.Close() }) // The run is over.
	return l.Addr().String(), nil
}
