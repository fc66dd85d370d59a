package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// linkPath is the HTTP path of links.
const linkPath = "/v1/peer"

// handshakeTimeout limits the exchange of Hello messages.
const handshakeTimeout = 5 * time.Second

// maxHelloBytes limits the first message, whose sender has not yet proved that it has
// the token.
const maxHelloBytes = 16 << 10

// Backoff between attempts to open a kept link.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Close codes of refused links, from the range for private use.
const (
	closeVersionMismatch websocket.StatusCode = 4001
	closeWrongToken      websocket.StatusCode = 4002
)

// Errors of a refused link.
const (
	// ErrVersionMismatch reports a peer with a different protocol version.
	ErrVersionMismatch = errors.ConstError("peer has another protocol version")
	// ErrWrongToken reports a peer that does not have the shared token.
	ErrWrongToken = errors.ConstError("peer does not have the shared token")
)

// checkHello validates the peer's Hello and returns the close code if it is refused.
func (h *Hub) checkHello(peer message.Hello) (websocket.StatusCode, error) {
	switch {
	case subtle.ConstantTimeCompare([]byte(peer.Token), []byte(h.Self.Token)) != 1:
		return closeWrongToken, ErrWrongToken
	case peer.Version != h.Self.Version:
		return closeVersionMismatch, errors.Annotatef(ErrVersionMismatch, "%d", peer.Version)
	case peer.Daemon == "" || peer.Daemon == h.Self.Daemon:
		return websocket.StatusPolicyViolation, errors.Errorf("peer has the id %q", peer.Daemon)
	}
	return 0, nil
}

// readHello reads the Hello of a peer and closes the link if it is refused.
func (h *Hub) readHello(ctx context.Context, conn *websocket.Conn) (message.Hello, error) {
	conn.SetReadLimit(maxHelloBytes)
	var hello message.Hello
	_, data, err := conn.Read(ctx)
	if err != nil {
		switch websocket.CloseStatus(err) {
		case closeVersionMismatch:
			return hello, errors.Annotate(ErrVersionMismatch, "refused by the peer")
		case closeWrongToken:
			return hello, errors.Annotate(ErrWrongToken, "refused by the peer")
		}
		return hello, errors.Annotate(err, "read Hello")
	}
	e, err := message.DecodeEnvelope(data)
	if err == nil && e.Kind != message.KindHello {
		err = errors.Errorf("first message is %q", e.Kind)
	}
	if err == nil {
		hello, err = message.Decode[message.Hello](e)
	}
	code := websocket.StatusInvalidFramePayloadData
	if err == nil {
		code, err = h.checkHello(hello)
	}
	if err != nil {
		_ = conn.Close(code, "link refused")
		return hello, err
	}
	h.counters.count("received", message.KindHello, len(data))
	conn.SetReadLimit(message.MaxBytes)
	hello.Token = "" // Keeps the token out of handlers and logs.
	return hello, nil
}

func (h *Hub) writeHello(ctx context.Context, conn *websocket.Conn) error {
	data, err := message.Encode(message.KindHello, h.Self)
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Annotate(err, "write Hello")
	}
	h.counters.count("sent", message.KindHello, len(data))
	return nil
}

// accept serves a link that a peer opened. The peer sends its Hello first, so that this
// daemon sends the token only to a peer that has it.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	if !h.addGoroutine() {
		http.Error(w, "daemon ends", http.StatusServiceUnavailable)
		return
	}
	defer h.wg.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the error response.
	}
	opened := h.beginHandshake()
	defer opened()
	ctx, cancel := context.WithTimeout(h.ctx, handshakeTimeout)
	defer cancel()
	hello, err := h.readHello(ctx, conn)
	if err == nil && h.leaving.Load() {
		err = errors.New("this daemon leaves")
	}
	if err == nil {
		err = h.writeHello(ctx, conn)
	}
	if err != nil {
		h.Log.Info("link refused", "remote", r.RemoteAddr, "peer", hello.Daemon, "error", err.Error())
		_ = conn.CloseNow() // Already closed unless the peer disconnected.
		return
	}
	if l := h.newLink(conn, hello, ""); h.register(l) {
		opened()
		h.serveLink(l)
	}
}

// beginHandshake counts a link that is being opened, so that Leave waits until it can
// notify its peer. The returned function ends the handshake; further calls have no
// effect.
func (h *Hub) beginHandshake() (end func()) {
	h.handshakes.Add(1)
	return sync.OnceFunc(func() { h.handshakes.Add(-1) })
}

func (h *Hub) newLink(conn *websocket.Conn, peer message.Hello, address string) *link {
	ctx, end := context.WithCancel(h.ctx)
	return &link{
		ctx: ctx, end: end,
		hub: h, conn: conn, peer: peer, dialed: address != "", address: address,
		queue:   newQueue(func(k message.Kind) { h.counters.count("dropped", k, 0) }),
		done:    make(chan struct{}),
		lastUse: time.Now(),
		calls:   map[uint64]*call{}, serving: map[uint64]context.CancelFunc{},
	}
}

// serveLink runs a registered link until it ends.
func (h *Hub) serveLink(l *link) {
	h.Log.V(1).Info("link opened", "peer", l.peer.Daemon, "dialed", l.dialed)
	l.run()
	h.unregister(l)
	close(l.done)
}

// linkTo returns a link to an address and opens one if there is none. It does not use
// an accepted link close to its idle timeout, because the peer may be about to close
// it.
func (h *Hub) linkTo(ctx context.Context, address string) (*link, error) {
	for {
		l := h.findLink(func(l *link) bool {
			return l.connectsTo(address) && (l.dialed || l.idleTime(time.Now()) < h.IdleTimeout*3/4)
		})
		if l != nil {
			return l, nil
		}
		h.mu.Lock()
		dialEnded, busy := h.dialing[address]
		if !busy {
			dialEnded = make(chan struct{})
			h.dialing[address] = dialEnded
		}
		h.mu.Unlock()
		if !busy {
			l, err := h.dial(ctx, address)
			h.mu.Lock()
			delete(h.dialing, address)
			h.mu.Unlock()
			close(dialEnded)
			return l, err
		}
		select {
		case <-dialEnded:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// dial opens a link and serves it in the background until the link or the hub ends.
func (h *Hub) dial(ctx context.Context, address string) (*link, error) {
	if !h.addGoroutine() {
		return nil, errors.New("hub is closed")
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+linkPath, &websocket.DialOptions{HTTPClient: h.client}) //nolint:bodyclose // Dial closes it.
	if err != nil {
		h.wg.Done()
		return nil, errors.Annotatef(err, "open link to %s", address)
	}
	defer h.beginHandshake()()
	var hello message.Hello
	if h.leaving.Load() {
		err = errors.New("this daemon leaves")
	}
	if err == nil {
		err = h.writeHello(ctx, conn)
	}
	if err == nil {
		hello, err = h.readHello(ctx, conn)
	}
	if err != nil {
		_ = conn.CloseNow() // Already closed unless the peer disconnected.
		h.wg.Done()
		return nil, errors.Annotatef(err, "open link to %s", address)
	}
	l := h.newLink(conn, hello, address)
	if !h.register(l) {
		h.wg.Done()
		return nil, errors.New("hub is closed")
	}
	go func() {
		defer h.wg.Done()
		h.serveLink(l)
	}()
	return l, nil
}

// KeepLinks replaces the set of peers to which links are kept open. Links to other
// peers are closed once they are idle.
func (h *Hub) KeepLinks(targets []Target) {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	wanted := map[Target]bool{}
	for _, t := range targets {
		wanted[t] = true
		if h.keepers[t] != nil || h.closed || t.Address == h.Self.PeerAddress {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		h.keepers[t] = cancel
		h.wg.Go(func() {
			defer cancel()
			h.maintainLink(ctx, t)
		})
	}
	for t, cancel := range h.keepers {
		if !wanted[t] {
			cancel()
			delete(h.keepers, t)
		}
	}
}

// maintainLink keeps a link to a target open until the context ends.
func (h *Hub) maintainLink(ctx context.Context, t Target) {
	policy := backoff.NewExponentialBackOff()
	// Jitter changes the interval by up to half, so that the first wait is at least
	// minBackoff.
	policy.InitialInterval, policy.MaxInterval = 2*minBackoff, h.MaxBackoff
	for ctx.Err() == nil {
		l := h.findLink(func(l *link) bool { return l.connectsTo(t.Address) })
		if l == nil {
			var err error
			if l, err = h.dial(ctx, t.Address); err != nil && ctx.Err() == nil {
				h.Log.V(1).Info("link not opened", "peer", t.ID, "address", t.Address, "error", err.Error())
				if h.OnUnreachable != nil {
					h.OnUnreachable(t, err)
				}
			}
		}
		if l != nil {
			opened := time.Now()
			select {
			case <-l.done:
			case <-ctx.Done():
				return
			}
			if time.Since(opened) > h.MaxBackoff {
				policy.Reset()
			}
		}
		select {
		case <-time.After(min(policy.NextBackOff(), h.MaxBackoff)):
		case <-ctx.Done():
		}
	}
}
