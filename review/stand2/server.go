package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeat is the time between two entries that a server writes in the store.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a backend server with its entry in the store.
type server struct {
	id, service, zone, address string
	born                       int64
	capacity                   int
	engine                     bool
	version                    string
	store                      *store
	listener                   net.Listener
	http                       *http.Server
	// accepting is unset while the server is too busy to accept connections.
	accepting atomic.Bool
	sequence  atomic.Int64
	stopped   chan struct{}
	once      *sync.Once
	// registerAfter is how long after its start a server writes its entry, with its first heartbeat.
	registerAfter time.Duration
	handle        func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	held map[net.Conn]bool
}

// hold closes a hijacked connection with the server, until the returned function is called.
func (s *server) hold(c net.Conn) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = map[net.Conn]bool{}
	}
	s.held[c] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.held, c)
	}
}

// listenWithQueue listens on a free loopback port with a short queue of new connections. The kernel drops the
// opening packet of further ones, which are sent again after a second.
func listenWithQueue(queue int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }() // FileListener has a copy.
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr(loopback(1)).As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, queue); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// busyListener accepts nothing while its server is busy.
type busyListener struct {
	net.Listener
	server *server
}

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err == nil && !l.server.accepting.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return c, err
}

// start listens and registers. The queue is that of new connections, 0 means the default.
func (s *server) start(queue int) error {
	var err error
	switch {
	case queue > 0:
		s.listener, err = listenWithQueue(queue)
	case s.address != "": // It starts again at its address.
		s.listener, err = net.Listen("tcp", s.address)
	default:
		s.listener, err = net.Listen("tcp", net.JoinHostPort(loopback(1), "0"))
	}
	if err != nil {
		return err
	}
	s.address, s.born, s.stopped, s.once = s.listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), &sync.Once{}
	s.accepting.Store(true)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 20 * time.Second}
	go func() { _ = s.http.Serve(busyListener{s.listener, s}) }() // Ends with the server.
	if s.registerAfter == 0 {
		s.register("ready")
	}
	go s.heartbeats(s.stopped)
	return nil
}

func (s *server) heartbeats(stopped chan struct{}) {
	wait := s.registerAfter
	if wait == 0 {
		wait = heartbeat
	}
	for {
		select {
		case <-time.After(wait):
			s.register("ready")
			wait = heartbeat
		case <-stopped:
			return
		}
	}
}

func (s *server) register(state string) {
	entry := map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "capacity": s.capacity, "state": state,
		"warmupRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	}
	if s.engine {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	s.store.put("servers/"+s.id, entry)
}

// leave ends the heartbeats and removes the entry, like a server that never reports draining.
func (s *server) leave() {
	s.once.Do(func() { close(s.stopped) })
	time.Sleep(2 * time.Millisecond) // A heartbeat may be under way.
	s.store.remove("servers/" + s.id)
}

// exit closes all connections.
func (s *server) exit() {
	s.once.Do(func() { close(s.stopped) })
	_ = s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.held {
		_ = c.Close()
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Apricotbridge-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	case "/report":
		writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 600000, "handles": 0})
		return
	}
	id := r.Header.Get("X-Apricotbridge-Attempt-Id")
	w.Header().Set("X-Apricotbridge-Attempt-Id", id)
	w.Header().Set("X-Apricotbridge-Instance-Id", s.id)
	switch expected := r.Header.Get("X-Apricotbridge-Expected-Instance"); {
	case id == "":
		w.Header().Set("X-Apricotbridge-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		w.Header().Set("X-Apricotbridge-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(w, r)
}

// signature marks an answer of this server.
func (s *server) signature(id string) string { return s.id + "." + id }

// outputTokens returns the number of events of a request's stream: one for each token of output.
func outputTokens(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("X-Apricotbridge-Token-Usage"), ",")
	n, _ := strconv.Atoi(out) // The clients of the cases state it.
	return n
}

// event returns the event with a number.
func event(request, serverID string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, request, n, serverID)
}
