// Package peer implements links between daemons: WebSocket connections that carry CBOR
// envelopes. It keeps configured links open, opens others on demand, and carries calls
// whose errors state whether the peer may have started the request.
package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/intake"
	"apricotbridge/internal/message"
)

// Defaults of a Hub.
const (
	// DefaultIdleTimeout is the time after which an unused on-demand link is closed.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultWriteTimeout exceeds the 2.2 s that the largest message needs on a link of
	// 30 Mbit/s, even while other traffic takes most of the link.
	DefaultWriteTimeout = 10 * time.Second

	// leavePoll is the period at which Leave checks for unanswered calls, and
	// leaveTimeout how long it waits for peers to close the links.
	leavePoll    = 5 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
)

// Target is a peer to which a link is kept open.
type Target struct {
	// ID is the daemon's id, or empty if only the address is known.
	ID      string
	Address string
}

// Hub manages the links of a daemon. Exported fields must be set before Run.
type Hub struct {
	// Self is the first message sent on each link and has the shared token. Run sets
	// its Version.
	Self message.Hello
	// Listener accepts links. The hub closes it.
	Listener net.Listener
	// Gate bounds the connections before they are links; nil means the defaults of package intake.
	Gate *intake.Gate
	// Handler serves the calls of peers. If nil, calls are refused.
	Handler Handler
	// OnMessage processes all other messages, one at a time per link. It must not block,
	// because the link's reader waits for it.
	OnMessage func(from message.Hello, e message.Envelope)
	// OnPeerUp is called when the first link to a peer opens, OnPeerDown when its last
	// link ends. The calls for one peer may overlap; Peers returns the current state.
	// OnUnreachable is called when a kept link can't be opened. The callbacks must not
	// block and may be nil.
	OnPeerUp, OnPeerDown func(peer message.Hello)
	OnUnreachable        func(t Target, err error)
	// Log receives link events, never the contents of messages.
	Log logr.Logger
	// Metrics is the registry of the counters; nil means a private registry.
	Metrics metrics.Registry
	// IdleTimeout is the time after which an unused on-demand link is closed; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxBackoff limits the backoff between attempts to open a kept link; 0 means 10 s.
	MaxBackoff time.Duration
	// WriteTimeout is the time after which a link whose peer does not read is closed; 0
	// means DefaultWriteTimeout.
	WriteTimeout time.Duration

	once     sync.Once
	counters *counters
	client   *http.Client
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	// leaving is set when no further calls of peers are served.
	leaving atomic.Bool
	// handshakes is the number of links that are being opened.
	handshakes atomic.Int64

	mu      sync.Mutex
	closed  bool
	links   map[*link]struct{}
	keepers map[Target]context.CancelFunc // Each ends the maintainLink of its target.
	dialing map[string]chan struct{}      // By address; closed when the dial ends.
}

// init sets up the hub, since other methods may be called before Run.
func (h *Hub) init() {
	h.once.Do(func() {
		h.Self.Version = message.ProtocolVersion
		if h.Metrics == nil {
			h.Metrics = metrics.NewRegistry()
		}
		h.counters = newCounters(h.Metrics)
		h.ctx, h.cancel = context.WithCancel(context.Background())
		// Links go to addresses from the settings and the key-value service, never
		// through a proxy named by the environment.
		h.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
		h.links = map[*link]struct{}{}
		h.keepers = map[Target]context.CancelFunc{}
		h.dialing = map[string]chan struct{}{}
		if h.Gate == nil {
			h.Gate = &intake.Gate{}
		}
		if h.IdleTimeout == 0 {
			h.IdleTimeout = DefaultIdleTimeout
		}
		if h.MaxBackoff == 0 {
			h.MaxBackoff = maxBackoff
		}
		if h.WriteTimeout == 0 {
			h.WriteTimeout = DefaultWriteTimeout
		}
	})
}

// Run serves links until the context ends or Close is called. It returns after all
// goroutines of the hub have ended.
func (h *Hub) Run(ctx context.Context) error {
	h.init()
	if !h.addGoroutine() {
		return errors.New("hub is closed")
	}
	stop := context.AfterFunc(ctx, h.cancel)
	defer stop()
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, h.accept)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout, IdleTimeout: handshakeTimeout}
	h.Gate.Prepare(srv)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(h.Gate.Listener(h.Listener)) }()
	ticker := time.NewTicker(max(h.IdleTimeout/8, 10*time.Millisecond))
	defer ticker.Stop()
	var err error
	for running := true; running; {
		select {
		case now := <-ticker.C:
			h.closeUnusedLinks(now)
		case err = <-served:
			served <- err // Received again below.
			running = false
		case <-h.ctx.Done():
			running = false
		}
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	_ = srv.Close() // Does not close links; their context does.
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

// addGoroutine registers a goroutine that Close waits for. It reports false if the hub
// is closed.
func (h *Hub) addGoroutine() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.wg.Add(1)
	return true
}

// register adds a link after the exchange of Hello messages. If there are two links to
// a peer, both ends retire the same one: the link of an earlier start of the peer, else
// the one dialed by the daemon with the higher id, else the older one.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		l.end()
		_ = l.conn.CloseNow() // The hub is closed.
		return false
	}
	first := true
	for other := range h.links {
		if other.peer.Daemon != l.peer.Daemon {
			continue
		}
		first = false
		retiring := other
		if l.peer.Start < other.peer.Start ||
			l.peer.Start == other.peer.Start && l.initiator() > other.initiator() {
			retiring = l
		}
		retiring.mu.Lock()
		retiring.retired = true
		retiring.mu.Unlock()
	}
	h.links[l] = struct{}{}
	h.mu.Unlock()
	if first && h.OnPeerUp != nil {
		h.OnPeerUp(l.peer)
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
	if last && h.OnPeerDown != nil {
		h.OnPeerDown(l.peer)
	}
}

// findLink returns a matching link for a new message, or nil. It returns a retired link
// only if there is no other.
func (h *Hub) findLink(match func(*link) bool) *link {
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

func (l *link) connectsTo(address string) bool {
	return l.peer.PeerAddress == address || l.address == address
}

// closeUnusedLinks closes unused on-demand links and retired links. Only the daemon
// that dialed closes a link.
func (h *Hub) closeUnusedLinks(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		kept := false
		for t := range h.keepers {
			kept = kept || l.connectsTo(t.Address)
		}
		l.mu.Lock()
		retired := l.retired
		l.mu.Unlock()
		idle := l.idleTime(now)
		if l.dialed && (!kept && idle >= h.IdleTimeout || retired && idle >= min(retiredLinger, h.IdleTimeout)) {
			l.end()
		}
	}
}

// Flushed reports whether all calls of peers are answered and all queued messages are
// written.
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

// Leave refuses further calls of peers, waits until the calls that were started are
// answered and notifies the peers, which then know that the rest did not start and
// close the links. It notifies nobody if the context ends before, and does not wait
// longer than leaveTimeout for the links to end.
func (h *Hub) Leave(ctx context.Context) {
	h.init()
	h.leaving.Store(true)
	for !h.Flushed() {
		if !sleep(ctx, leavePoll) {
			return
		}
	}
	h.KeepLinks(nil)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for h.handshakes.Load() > 0 || h.notifyLeft() > 0 {
		if !sleep(ctx, leavePoll) {
			return
		}
	}
}

// notifyLeft notifies the peers of links that were not notified yet, and returns the
// number of open links.
func (h *Hub) notifyLeft() int {
	data, err := message.Encode(message.KindLeft, message.Left{Daemon: h.Self.Daemon})
	if err != nil {
		h.Log.Error(err, "peers not notified")
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		l.mu.Lock()
		if !l.left {
			l.left = l.queue.push(&queuedMessage{kind: message.KindLeft, data: data}) == nil
		}
		l.mu.Unlock()
	}
	return len(h.links)
}

// sleep waits, and reports false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Peers returns the daemons with an open link.
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

// Send encodes a message and queues it for a linked peer.
func Send[B message.Body](h *Hub, peer string, kind message.Kind, body B) error {
	data, err := message.Encode(kind, body)
	if err != nil {
		return err
	}
	return h.Send(peer, kind, data)
}

// Send queues an encoded message for a linked peer, so that a message to several peers
// is encoded once. ErrNoLink and ErrQueueFull mean that the message is not sent; state
// that peers compare by digest is repaired later.
func (h *Hub) Send(peer string, kind message.Kind, data []byte) error {
	h.init()
	l := h.findLink(func(l *link) bool { return l.peer.Daemon == peer })
	if l == nil {
		return errors.Annotate(ErrNoLink, peer)
	}
	err := l.queue.push(&queuedMessage{kind: kind, data: data})
	if err != nil {
		h.counters.count("refused", kind, len(data))
		return errors.Annotatef(err, "send %s to %s", kind, peer)
	}
	l.recordUse()
	return nil
}

// Forward sends a request to the daemon at an address and returns when part 0 of the
// response has arrived. The context bounds the whole response. Errors are of type
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
		r.firstPart = first.Body
	}
	return r, nil
}

// Handover hands a request over to the daemon at an address. On success, that daemon is
// responsible for the request; after a *CallError with Started set, it may be.
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
	c, err := l.startCall(kind, encode)
	if err != nil {
		h.counters.count("refused", kind, 0)
		return nil, &CallError{Err: errors.Annotatef(err, "%s to %s", kind, address)}
	}
	return c, nil
}
