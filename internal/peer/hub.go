// Package peer is the adapter for links between daemons: WebSocket connections
// that carry CBOR envelopes. It keeps the links it is told to keep, opens others
// on demand, and carries calls whose failure says whether the request may have
// started at the peer.
package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/message"
)

// Defaults of a Hub.
const (
	// DefaultIdle is how long a link that was opened on demand stays unused.
	DefaultIdle = 60 * time.Second
	// DefaultWriteTimeout exceeds the 2.2 s that the largest message needs on a
	// link of 30 Mbit/s, also while other traffic takes most of the link.
	DefaultWriteTimeout = 10 * time.Second
)

// Target is a peer to which a link is kept.
type Target struct {
	// ID is the daemon's id; empty when only the address is known.
	ID      string
	Address string
}

// Hub holds the links of a daemon. Exported fields are set before Run.
type Hub struct {
	// Self is sent first on each link, with the shared token. Its Version is set
	// by Run.
	Self message.Hello
	// Listener accepts links. The hub closes it.
	Listener net.Listener
	// Handler serves calls of peers; nil refuses them.
	Handler Handler
	// Handle takes the other messages, one at a time for each link. It must not
	// block, because it holds up the link.
	Handle func(from message.Hello, e message.Envelope)
	// Up and Down are told when a peer has its first link and when it has none any
	// more. The calls for one peer may overlap; Peers has the current state.
	// Unreachable is told when a kept link can't be opened. They must not block. Nil
	// ones are left out.
	Up, Down    func(peer message.Hello)
	Unreachable func(t Target, err error)
	// Log takes link events; messages' contents are never logged.
	Log logr.Logger
	// Metrics registers the counters; nil means a registry of its own.
	Metrics metrics.Registry
	// Idle is how long an on-demand link stays unused; 0 means DefaultIdle.
	Idle time.Duration
	// MaxBackoff bounds the wait between attempts to open a kept link; 0 means 10 s.
	MaxBackoff time.Duration
	// WriteTimeout closes the link to a peer that does not read; 0 means
	// DefaultWriteTimeout.
	WriteTimeout time.Duration

	once     sync.Once
	counters *counters
	client   *http.Client
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	links   map[*link]struct{}
	kept    map[Target]context.CancelFunc
	dialing map[string]chan struct{}
}

// init prepares what calls before Run need as well.
func (h *Hub) init() {
	h.once.Do(func() {
		h.Self.Version = message.Version
		if h.Metrics == nil {
			h.Metrics = metrics.NewRegistry()
		}
		h.counters = newCounters(h.Metrics)
		h.ctx, h.cancel = context.WithCancel(context.Background())
		// Links go to addresses from the settings and the key-value service, never
		// through a proxy named by the environment.
		h.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
		h.links = map[*link]struct{}{}
		h.kept = map[Target]context.CancelFunc{}
		h.dialing = map[string]chan struct{}{}
		if h.Idle == 0 {
			h.Idle = DefaultIdle
		}
		if h.MaxBackoff == 0 {
			h.MaxBackoff = maxBackoff
		}
		if h.WriteTimeout == 0 {
			h.WriteTimeout = DefaultWriteTimeout
		}
	})
}

// Run serves links until the context ends or Close is called, and returns when
// all goroutines of the hub have ended.
func (h *Hub) Run(ctx context.Context) error {
	h.init()
	if !h.track() {
		return errors.New("hub is closed")
	}
	stop := context.AfterFunc(ctx, h.cancel)
	defer stop()
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, h.accept)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(h.Listener) }()
	ticker := time.NewTicker(max(h.Idle/8, 10*time.Millisecond))
	defer ticker.Stop()
	var err error
	for running := true; running; {
		select {
		case now := <-ticker.C:
			h.sweep(now)
		case err = <-served:
			served <- err
			running = false
		case <-h.ctx.Done():
			running = false
		}
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	_ = srv.Close() // Links are closed by their context.
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	h.wg.Done()
	h.wg.Wait()
	h.client.CloseIdleConnections()
	return errors.Annotate(err, "serve peer links")
}

// Close ends all links and waits until they have ended.
func (h *Hub) Close() {
	h.init()
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.wg.Wait()
}

// track registers a goroutine for which Close waits.
func (h *Hub) track() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.wg.Add(1)
	return true
}

// register adds a link whose peer has said Hello. Of two links to the same peer
// both ends retire the same one: that of an earlier start of the peer, else the
// one dialed by the daemon with the higher id, else the older one.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		l.end()
		_ = l.conn.CloseNow() // The hub ends.
		return false
	}
	first := true
	for other := range h.links {
		if other.peer.Daemon != l.peer.Daemon {
			continue
		}
		first = false
		worse := other
		if l.peer.Start < other.peer.Start ||
			l.peer.Start == other.peer.Start && l.initiator() > other.initiator() {
			worse = l
		}
		worse.mu.Lock()
		worse.retired = true
		worse.mu.Unlock()
	}
	h.links[l] = struct{}{}
	h.mu.Unlock()
	if first && h.Up != nil {
		h.Up(l.peer)
	}
	return true
}

func (h *Hub) unregister(l *link) {
	h.mu.Lock()
	delete(h.links, l)
	last := true
	for other := range h.links {
		last = last && other.peer.Daemon != l.peer.Daemon
	}
	h.mu.Unlock()
	if last && h.Down != nil {
		h.Down(l.peer)
	}
}

// lookup returns the link to use for a new message, nil when there is none. A
// retired link is used only while there is no other.
func (h *Hub) lookup(match func(*link) bool) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found *link
	for l := range h.links {
		if !match(l) {
			continue
		}
		l.mu.Lock()
		closed, retired := l.closed, l.retired
		l.mu.Unlock()
		if closed {
			continue
		}
		if !retired {
			return l
		}
		found = l
	}
	return found
}

func (l *link) leadsTo(address string) bool {
	return l.peer.PeerAddress == address || l.address == address
}

// sweep closes links that were opened on demand and are unused, and retired ones.
// Only the daemon that dialed closes a link.
func (h *Hub) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		kept := false
		for t := range h.kept {
			kept = kept || l.leadsTo(t.Address)
		}
		l.mu.Lock()
		retired := l.retired
		l.mu.Unlock()
		idle := l.idle(now)
		if l.dialed && (!kept && idle >= h.Idle || retired && idle >= min(retiredFor, h.Idle)) {
			l.end()
		}
	}
}

// Flushed tells whether all calls of peers were answered and all messages that
// were queued have been written.
func (h *Hub) Flushed() bool {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		l.mu.Lock()
		serving := len(l.serving)
		l.mu.Unlock()
		if serving > 0 || !l.queue.empty() {
			return false
		}
	}
	return true
}

// Peers returns the daemons that have a link.
func (h *Hub) Peers() []message.Hello {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	var peers []message.Hello
	for l := range h.links {
		if !seen[l.peer.Daemon] {
			seen[l.peer.Daemon] = true
			peers = append(peers, l.peer)
		}
	}
	return peers
}

// ErrNoLink reports that there is no link to the peer.
const ErrNoLink = errors.ConstError("no link to the peer")

// Send encodes a message and queues it for a peer that has a link.
func Send[B message.Body](h *Hub, peer string, kind message.Kind, body B) error {
	data, err := message.Encode(kind, body)
	if err != nil {
		return err
	}
	return h.Send(peer, kind, data)
}

// Send queues an encoded message for a peer that has a link, so that a message to
// several peers is encoded once. It returns ErrNoLink or ErrQueueFull when the
// message is not sent; state that peers compare by digest is then repaired.
func (h *Hub) Send(peer string, kind message.Kind, data []byte) error {
	h.init()
	l := h.lookup(func(l *link) bool { return l.peer.Daemon == peer })
	if l == nil {
		return errors.Annotate(ErrNoLink, peer)
	}
	err := l.queue.push(&item{kind: kind, data: data})
	if err != nil {
		h.counters.count("refused", kind, len(data))
		return errors.Annotatef(err, "send %s to %s", kind, peer)
	}
	l.touch()
	return nil
}

// Forward sends a request to the daemon at an address and returns when part 0 of
// the response is there. The context bounds the whole response. An error is a
// *CallError.
func (h *Hub) Forward(ctx context.Context, address string, f message.Forward) (*Response, error) {
	f.Hops++
	c, err := h.call(ctx, address, message.KindForward, func(number uint64) ([]byte, error) {
		f.Call = number
		return message.Encode(message.KindForward, f)
	})
	if err != nil {
		return nil, err
	}
	first, err := c.next(ctx)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: first.Status, Headers: first.Headers, ctx: ctx, call: c}
	if len(first.Body) > 0 {
		r.first = first.Body
	}
	return r, nil
}

// Handover gives a request to the daemon at an address. After a nil error that
// daemon answers for it; after a *CallError with Started set it may.
func (h *Hub) Handover(ctx context.Context, address string, m message.Handover) error {
	c, err := h.call(ctx, address, message.KindHandover, func(number uint64) ([]byte, error) {
		m.Call = number
		return message.Encode(message.KindHandover, m)
	})
	if err != nil {
		return err
	}
	if _, err = c.next(ctx); errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (h *Hub) call(ctx context.Context, address string, kind message.Kind, encode func(uint64) ([]byte, error)) (*call, error) {
	h.init()
	l, err := h.linkTo(ctx, address)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	c, err := l.start(kind, encode)
	if err != nil {
		h.counters.count("refused", kind, 0)
		return nil, &CallError{Err: errors.Annotatef(err, "%s to %s", kind, address)}
	}
	return c, nil
}
