// Package intake bounds what clients that a daemon does not control make it keep: connections, heads,
// bodies, and answers that are not read. Each kind of listener of a process has a Gate.
//
// What is held is counted as it arrives, not as it is announced. When the sum exceeds its limit, the
// connection that holds the most is closed, and when there are too many connections, the one that has
// made no progress for the longest. A request that is in progress at a backend server is not closed for
// its connection alone, so that small requests are served beside a crowd. See docs/design/intake.md.
package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"apricotbridge/internal/budget"
)

const (
	// fieldBytes is what a parsed header field holds beside its text: 3,500 fields of 17 bytes took
	// 600 KB.
	fieldBytes = 200
	// headCopies is how often the fields of a head are kept while its request is in progress: as
	// received, as sent on, and their encoding.
	headCopies = 3
	// smallHead is what the head of a request may hold without being counted. The connection's own
	// memory is bounded by the number of connections.
	smallHead = 4 << 10
	// defaultMaxBytes and defaultMaxConnections apply to a Gate without limits of its own.
	defaultMaxBytes       = 64 << 20
	defaultMaxConnections = 4096
	// headerTime bounds the time in which a head arrives, and idleTime that without a request.
	headerTime = 10 * time.Second
	idleTime   = 2 * time.Minute
	// maxHeadBytes bounds heads at listeners that state no limit of their own.
	maxHeadBytes = 16 << 10
	// sideHeaderTime and sideTime bound requests and answers at listeners that serve no bodies.
	sideHeaderTime = 3 * time.Second
	sideTime       = 10 * time.Second
)

// Gate bounds the clients of some listeners. Exported fields are set before the first listener.
type Gate struct {
	// MaxBytes bounds the memory for heads, bodies and unread answers of all clients together; 0 means
	// 64 MB.
	MaxBytes int64
	// MaxConnections bounds the connections of all listeners together; 0 means 4,096.
	MaxConnections int
	// OnClosed is called at most once a second for a connection that was closed, with the number closed since
	// the last call. It must not block, and may be nil.
	OnClosed func(source, reason string, closed int64)

	held    budget.Budget
	buffers buffers
	news    closedNews

	mu          sync.Mutex
	connections map[*Connection]struct{}
	closed      int64
}

// closedNews counts the closed connections between two calls of OnClosed.
type closedNews struct {
	mu     sync.Mutex
	count  int64
	toldAt time.Time
}

// newsInterval is the least time between two calls of OnClosed.
const newsInterval = time.Second

func (g *Gate) noteClosed(now time.Time, c *Connection, reason string) {
	n := &g.news
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count++
	if g.OnClosed == nil || now.Sub(n.toldAt) < newsInterval {
		return
	}
	g.OnClosed(c.RemoteAddr().String(), reason, n.count)
	n.count, n.toldAt = 0, now
}

func (g *Gate) maxBytes() int64 {
	if g.MaxBytes > 0 {
		return g.MaxBytes
	}
	return defaultMaxBytes
}

func (g *Gate) maxConnections() int {
	if g.MaxConnections > 0 {
		return g.MaxConnections
	}
	return defaultMaxConnections
}

// Usage describes the clients of a Gate.
type Usage struct {
	Memory budget.Usage
	// Connections is the number of open ones, and Closed how many were closed because there were too
	// many.
	Connections, Closed int64
	// Buffers is the size of the buffers of bodies that are in use or not collected.
	Buffers int64
}

// Usage returns the present usage.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{g.held.Usage(), int64(len(g.connections)), g.closed, g.buffers.bytes.Load()}
}

// Connection is a client's connection.
type Connection struct {
	net.Conn
	gate   *Gate
	holder budget.Holder

	mu sync.Mutex
	// inHead is set while the head of a request is awaited or read, and bytes and fields count what was
	// read of it.
	inHead        bool
	bytes, fields int64
	// received is set once a whole request was read, and writing while a write is blocked.
	received, writing bool
	// body and answer are what the request in progress holds beside its head.
	body, answer int64
	progressAt   time.Time
	once         sync.Once
}

// Listener wraps a listener, whose HTTP server has to be set up by Prepare.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{l, g} }

// PrepareSide sets up the server of listeners whose requests have no bodies and short answers.
func (g *Gate) PrepareSide(s *http.Server) {
	s.ReadHeaderTimeout, s.ReadTimeout, s.WriteTimeout = sideHeaderTime, sideTime, sideTime
	g.Prepare(s)
}

// Prepare sets up an HTTP server for clients, before it serves.
func (g *Gate) Prepare(s *http.Server) {
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = headerTime
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTime
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = maxHeadBytes
	}
	state, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, now http.ConnState) {
		if own, ok := c.(*Connection); ok {
			own.setState(now)
		}
		if state != nil {
			state(c, now)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, contextKey{}, c)
	}
}

type contextKey struct{}

// Of returns the connection of a request, or nil if it was not accepted by a Gate.
func Of(r *http.Request) *Connection {
	c, _ := r.Context().Value(contextKey{}).(*Connection)
	return c
}

// listener registers the connections that it accepts.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept accepts a connection. If there are too many, it closes one that has made no progress for the
// longest.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	own := &Connection{Conn: c, gate: l.gate, inHead: true, progressAt: time.Now()}
	own.holder.GiveUp = func() {
		own.abort()
		l.gate.noteClosed(time.Now(), own, "holds the most memory")
	}
	l.gate.add(own)
	return own, nil
}

func (g *Gate) add(c *Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connections == nil {
		g.connections = map[*Connection]struct{}{}
	}
	if len(g.connections) >= g.maxConnections() {
		if stalled := g.stalled(); stalled != nil {
			delete(g.connections, stalled)
			g.closed++
			stalled.abort()
			g.noteClosed(time.Now(), stalled, "waits the longest of too many connections")
		}
	}
	g.connections[c] = struct{}{}
	if len(g.connections) > g.maxConnections() { // All others have requests in progress.
		delete(g.connections, c)
		g.closed++
		c.abort()
		g.noteClosed(time.Now(), c, "all of too many connections have requests in progress")
	}
}

// stalled returns the connection without a request in progress that has made no progress for the
// longest.
func (g *Gate) stalled() *Connection {
	var stalled *Connection
	var since time.Time
	for c := range g.connections {
		if at, waiting := c.waitingSince(); waiting && (stalled == nil || at.Before(since)) {
			stalled, since = c, at
		}
	}
	return stalled
}

// waitingSince returns when the connection has last made progress, and whether it waits for its client.
func (c *Connection) waitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progressAt, !c.received || c.writing
}

// Received notes that the whole request was read. From now on it is in progress.
func (c *Connection) Received() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.received = true
	c.mu.Unlock()
	c.gate.held.Settle(&c.holder, true)
}

// Write writes to the connection.
func (c *Connection) Write(b []byte) (int, error) {
	c.noteWriting(true)
	defer c.noteWriting(false)
	return c.Conn.Write(b)
}

func (c *Connection) noteWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.progressAt = writing, time.Now()
}

// abort makes all reads and writes of the connection fail.
func (c *Connection) abort() { _ = c.Conn.Close() } // May be closed already.

// Close closes the connection and releases what it holds.
func (c *Connection) Close() error {
	c.forget()
	return c.Conn.Close()
}

// setState follows the requests on the connection.
func (c *Connection) setState(s http.ConnState) {
	switch s {
	case http.StateActive: // The head was read.
		c.mu.Lock()
		c.inHead, c.progressAt = false, time.Now()
		c.mu.Unlock()
	case http.StateIdle: // The answer was written.
		c.mu.Lock()
		counted := c.heldLocked() > 0
		c.inHead, c.bytes, c.fields, c.body, c.answer, c.progressAt = true, 0, 0, 0, 0, time.Now()
		settled := c.received
		c.received = false
		c.mu.Unlock()
		if counted {
			c.gate.held.Release(&c.holder)
		}
		if settled {
			c.gate.held.Settle(&c.holder, false)
		}
	case http.StateHijacked:
		c.forget()
	}
}

// forget removes the connection from its gate.
func (c *Connection) forget() {
	c.once.Do(func() {
		c.gate.held.Release(&c.holder)
		c.gate.mu.Lock()
		delete(c.gate.connections, c)
		c.gate.mu.Unlock()
	})
}

// Read reads from the connection, and counts what a head holds.
func (c *Connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.progressAt = time.Now()
	if !c.inHead {
		c.mu.Unlock()
		return n, err
	}
	before := c.heldLocked()
	c.bytes += int64(n)
	c.fields += int64(bytes.Count(b[:n], []byte("\n")))
	after := c.heldLocked()
	c.mu.Unlock()
	if after != before {
		if e := c.gate.held.Set(&c.holder, after, c.gate.maxBytes()); e != nil {
			return 0, e
		}
	}
	return n, err
}

// heldLocked returns what the connection holds beyond what every one does.
func (c *Connection) heldLocked() int64 {
	head := headCopies * (c.bytes + fieldBytes*c.fields)
	if head <= headCopies*smallHead {
		head = 0
	}
	return head + c.body + c.answer
}

// HoldBody notes that n bytes of the request's body are held. An error means that the request has to be
// given up. A nil Connection is not limited.
func (c *Connection) HoldBody(n int64) error { return c.hold(n, -1) }

// HoldAnswer notes that n bytes of an answer are held.
func (c *Connection) HoldAnswer(n int64) error { return c.hold(-1, n) }

func (c *Connection) hold(body, answer int64) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	if body >= 0 {
		c.body = body
	}
	if answer >= 0 {
		c.answer = answer
	}
	held := c.heldLocked()
	c.mu.Unlock()
	return c.gate.held.Set(&c.holder, held, c.gate.maxBytes())
}
