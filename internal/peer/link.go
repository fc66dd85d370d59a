package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// Periods and timeouts of a link.
const (
	// pingInterval and pingTimeout detect a dead peer within 10 s, well before its
	// registration lease of 30 s expires.
	pingInterval = 5 * time.Second
	pingTimeout  = 5 * time.Second
	// retiredLinger is how long an unused duplicate link stays open, so that calls can
	// finish that the peer started before it saw the other link.
	retiredLinger = 5 * time.Second
)

// maxServedCalls limits the concurrent calls of one peer.
const maxServedCalls = 1024

// link is an open connection to a peer.
type link struct {
	hub     *Hub
	conn    *websocket.Conn
	peer    message.Hello
	dialed  bool
	address string // The dialed address; empty on an accepted link.
	queue   *queue
	done    chan struct{}
	ctx     context.Context
	end     context.CancelFunc

	mu       sync.Mutex
	closed   bool
	retired  bool // Replaced by another link to the same peer; see Hub.register.
	left     bool // The peer has been notified that this daemon leaves.
	lastUse  time.Time
	lastCall uint64                        // Number of the last call to the peer.
	calls    map[uint64]*call              // Calls to the peer by number.
	serving  map[uint64]context.CancelFunc // Calls of the peer by number.
}

// run reads the link until it ends, then waits for the goroutines of the link.
func (l *link) run() {
	ctx, cancel := l.ctx, l.end
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { defer cancel(); l.write(ctx) })
	wg.Go(func() { defer cancel(); l.ping(ctx) })
	err := l.read(ctx, &wg)
	cancel()
	l.queue.close()
	l.mu.Lock()
	l.closed = true
	calls := make([]*call, 0, len(l.calls))
	for _, c := range l.calls {
		calls = append(calls, c)
	}
	l.mu.Unlock()
	for _, c := range calls {
		c.fail(errors.Annotatef(ErrLinkBroken, "to %s: %v", l.peer.Daemon, err))
	}
	_ = l.conn.CloseNow() // Already closed if the peer or the reader closed it.
	wg.Wait()
	l.hub.Log.V(1).Info("link ended", "peer", l.peer.Daemon, "reason", err.Error())
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.queue.ready:
		}
		for {
			queued, ok := l.queue.pop()
			if !ok {
				break
			}
			writeCtx, cancel := context.WithTimeout(ctx, l.hub.WriteTimeout)
			err := l.conn.Write(writeCtx, websocket.MessageBinary, queued.data)
			cancel()
			if err != nil {
				return
			}
			l.hub.counters.count("sent", queued.kind, len(queued.data))
		}
	}
}

func (l *link) ping(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := l.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return
		}
	}
}

// read handles messages until the link ends. A message that can't be decoded ends the
// link, because the state of the peer is unknown from then on.
func (l *link) read(ctx context.Context, wg *sync.WaitGroup) error {
	for {
		kind, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		e, err := message.DecodeEnvelope(data)
		if err == nil && kind != websocket.MessageBinary {
			err = errors.New("message is not binary")
		}
		if err == nil {
			l.hub.counters.count("received", e.Kind, len(data))
			l.recordUse()
			err = l.handle(ctx, wg, e)
		}
		if errors.Is(err, errPeerLeft) {
			return err
		}
		if err != nil {
			l.hub.Log.Info("malformed message", "peer", l.peer.Daemon, "error", err.Error())
			_ = l.conn.Close(websocket.StatusInvalidFramePayloadData, "malformed message")
			return err
		}
	}
}

func (l *link) handle(ctx context.Context, wg *sync.WaitGroup, e message.Envelope) error {
	switch e.Kind {
	case message.KindForward:
		f, err := message.Decode[message.Forward](e)
		if err != nil {
			return err
		}
		l.serve(ctx, wg, f.Call, &responder{link: l, call: f.Call}, func(ctx context.Context, w *responder) {
			if f.Hops > 1 {
				w.Fail(false, "request was forwarded already")
				return
			}
			l.hub.Handler.ServeForward(ctx, f, w)
		})
	case message.KindHandover:
		h, err := message.Decode[message.Handover](e)
		if err != nil {
			return err
		}
		l.serve(ctx, wg, h.Call, &responder{link: l, call: h.Call, handover: true}, func(ctx context.Context, w *responder) {
			if err := l.hub.Handler.ServeHandover(ctx, h); err != nil {
				w.Fail(false, err.Error())
			}
		})
	case message.KindForwardAnswer:
		a, err := message.Decode[message.ForwardAnswer](e)
		if err != nil {
			return err
		}
		if c := l.findCall(a.Call); c != nil {
			c.addPart(a)
		} else if !a.Last && !a.Failed {
			// The queue may have been too full for the first cancel.
			l.cancelCall(a.Call)
		}
	case message.KindHandoverAccepted:
		a, err := message.Decode[message.HandoverAccepted](e)
		if err != nil {
			return err
		}
		if c := l.findCall(a.Call); c != nil {
			c.finishHandover(a)
		}
	case message.KindLeft:
		if _, err := message.Decode[message.Left](e); err != nil {
			return err
		}
		l.refuseCalls()
		return errPeerLeft
	case message.KindCancel:
		c, err := message.Decode[message.Cancel](e)
		if err != nil {
			return err
		}
		l.mu.Lock()
		if cancel := l.serving[c.Call]; cancel != nil {
			cancel()
		}
		l.mu.Unlock()
	default:
		if l.hub.OnMessage != nil {
			l.hub.OnMessage(l.peer, e)
		}
	}
	return nil
}

// serve runs a call of the peer in its own goroutine.
func (l *link) serve(ctx context.Context, wg *sync.WaitGroup, number uint64, w *responder, run func(context.Context, *responder)) {
	ctx, cancel := context.WithCancel(ctx)
	w.ctx = ctx
	l.mu.Lock()
	refused := l.hub.leaving.Load() || len(l.serving) >= maxServedCalls || l.serving[number] != nil || l.hub.Handler == nil
	if !refused {
		l.serving[number] = cancel
	}
	l.mu.Unlock()
	wg.Go(func() {
		defer cancel()
		if refused {
			w.Fail(false, "daemon takes no call now")
			return
		}
		defer func() {
			if p := recover(); p != nil {
				l.hub.Log.Info("handler of a call panicked", "peer", l.peer.Daemon, "panic", p)
				w.Fail(true, "internal fault")
			}
			w.end()
			l.mu.Lock()
			delete(l.serving, number)
			l.lastUse = time.Now()
			l.mu.Unlock()
		}()
		run(ctx, w)
	})
}

// errPeerLeft ends a link whose peer has left.
const errPeerLeft = errors.ConstError("peer has left")

// refuseCalls ends the calls to a peer that has answered all that it has started, and
// allows no further ones.
func (l *link) refuseCalls() {
	l.mu.Lock()
	l.closed = true
	calls := slices.Collect(maps.Values(l.calls))
	l.mu.Unlock()
	for _, c := range calls {
		c.refuse(errors.Annotatef(ErrRefused, "%s has left", l.peer.Daemon))
	}
}

// startCall queues a call to the peer. If it returns an error, nothing was sent.
func (l *link) startCall(kind message.Kind, encode func(number uint64) ([]byte, error)) (*call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errLinkClosed
	}
	l.lastCall++
	data, err := encode(l.lastCall)
	if err != nil {
		return nil, err
	}
	if len(data) > message.MaxBytes {
		return nil, errors.Errorf("%s has %d bytes, the limit is %d", kind, len(data), message.MaxBytes)
	}
	c := &call{number: l.lastCall, link: l, request: &queuedMessage{kind: kind, data: data}, changed: make(chan struct{}, 1)}
	if err := l.queue.push(c.request); err != nil {
		return nil, err
	}
	l.calls[c.number] = c
	l.lastUse = time.Now()
	return c, nil
}

func (l *link) findCall(number uint64) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[number]
}

func (l *link) removeCall(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, number)
	l.lastUse = time.Now()
}

// cancelCall cancels a call at the peer. If the queue is full, the next part of the
// response triggers another cancel.
func (l *link) cancelCall(number uint64) {
	if data, err := message.Encode(message.KindCancel, message.Cancel{Call: number}); err == nil {
		_ = l.queue.push(&queuedMessage{kind: message.KindCancel, data: data})
	}
}

func (l *link) recordUse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUse = time.Now()
}

// idleTime returns how long the link has had no message and no call.
func (l *link) idleTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.calls)+len(l.serving) > 0 {
		return 0
	}
	return now.Sub(l.lastUse)
}

// initiator returns the id of the daemon that dialed the link.
func (l *link) initiator() string {
	if l.dialed {
		return l.hub.Self.Daemon
	}
	return l.peer.Daemon
}
