package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"

	"apricotbridge/internal/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHandler serves calls with functions set by a test.
type testHandler struct {
	forward  func(context.Context, message.Forward, ResponseWriter)
	handover func(message.Handover) error
}

func (h testHandler) ServeForward(ctx context.Context, f message.Forward, w ResponseWriter) {
	h.forward(ctx, f, w)
}

func (h testHandler) ServeHandover(_ context.Context, m message.Handover) error { return h.handover(m) }

// startHub runs a hub on loopback until the test ends.
func startHub(t *testing.T, id string, configure func(*Hub)) *Hub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &Hub{Listener: listener, Self: message.Hello{Daemon: id, PeerAddress: listener.Addr().String(), Token: "secret"}}
	if configure != nil {
		configure(h)
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Run(context.Background()) }()
	t.Cleanup(func() {
		h.Close()
		if err := <-ended; err != nil {
			t.Errorf("hub %s: %v", id, err)
		}
	})
	return h
}

func withForward(f func(context.Context, message.Forward, ResponseWriter)) func(*Hub) {
	return func(h *Hub) { h.Handler = testHandler{forward: f} }
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func readBody(r *Response) (string, error) {
	var all bytes.Buffer
	for {
		part, err := r.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.Write(part)
	}
}

// breakLinks closes the connections without a closing handshake and returns their
// links.
func breakLinks(h *Hub) (broken []*link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		_ = l.conn.CloseNow()
		broken = append(broken, l)
	}
	return broken
}

// mayHaveStarted returns the Started field of a call's error.
func mayHaveStarted(t *testing.T, err error) bool {
	t.Helper()
	var callErr *CallError
	if !errors.As(err, &callErr) {
		t.Fatalf("error %v is not a CallError", err)
	}
	return callErr.Started
}

// Guards against mixed-up, partial or endless responses of concurrent calls on one
// link, and against forwarding a request twice.
func TestForward(t *testing.T) {
	b := startHub(t, "b", withForward(func(_ context.Context, f message.Forward, w ResponseWriter) {
		w.WriteHeader(201, []message.Header{{Name: "X", Value: f.RequestID}})
		for i := range 50 {
			_, _ = fmt.Fprintf(w, "%s.%d ", f.Body, i)
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), 3*maxPartBytes))
	}))
	a := startHub(t, "a", nil)
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Go(func() {
			id := fmt.Sprint("r", n)
			r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{RequestID: id, Body: []byte(id)})
			if err != nil {
				t.Error(err)
				return
			}
			got, err := readBody(r)
			if err != nil || r.Status != 201 || r.Headers[0].Value != id ||
				strings.Count(got, id+".") != 50 || len(got) < 3*maxPartBytes {
				t.Errorf("call %d: status %d, %d bytes, error %v", n, r.Status, len(got), err)
			}
		})
	}
	wg.Wait()
	if n := len(a.Peers()); n != 1 {
		t.Errorf("%d peers", n)
	}
	_, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{Hops: 1})
	if !errors.Is(err, ErrRefused) || mayHaveStarted(t, err) {
		t.Errorf("second forward: %v", err)
	}
}

// Guards against reporting a truncated response as complete, or a started request as
// not started, after a link breaks.
func TestBrokenLink(t *testing.T) {
	cut := make(chan struct{})
	b := startHub(t, "b", withForward(func(ctx context.Context, _ message.Forward, w ResponseWriter) {
		_, _ = w.Write([]byte("half"))
		<-cut
		<-ctx.Done()
	}))
	a := startHub(t, "a", nil)
	r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{})
	if err != nil {
		t.Fatal(err)
	}
	if part, err := r.Next(); string(part) != "half" || err != nil {
		t.Fatalf("got %q, %v", part, err)
	}
	breakLinks(a)
	close(cut)
	if _, err = r.Next(); !errors.Is(err, ErrLinkBroken) || !mayHaveStarted(t, err) {
		t.Errorf("after the cut: %v", err)
	}
	if _, err = a.Forward(testContext(t), "127.0.0.1:1", message.Forward{}); mayHaveStarted(t, err) {
		t.Errorf("no peer: %v", err)
	}
}

// Guards against calls whose outcome is unknown because their peer ended in the
// ordinary way, and against calls that ran although they count as not started.
func TestCallsOfAPeerThatLeaves(t *testing.T) {
	for round := range 10 {
		var mu sync.Mutex
		ran := map[string]bool{}
		b := startHub(t, "b", withForward(func(_ context.Context, f message.Forward, w ResponseWriter) {
			mu.Lock()
			ran[f.RequestID] = true
			mu.Unlock()
			time.Sleep(time.Millisecond)
			_, _ = w.Write([]byte("done"))
		}))
		a := startHub(t, "a", nil)
		var wg sync.WaitGroup
		left := make(chan struct{})
		for c := range 16 {
			wg.Go(func() {
				for n := 0; ; n++ {
					// A test in another process may reach b after its own hub has freed the port.
					id := fmt.Sprintf("%d.%d.%d.%d", os.Getpid(), round, c, n)
					r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{RequestID: id})
					if err == nil {
						_, err = readBody(r)
					}
					mu.Lock()
					if err != nil && (mayHaveStarted(t, err) || ran[id]) {
						t.Errorf("request %s, ran: %v: %v", id, ran[id], err)
					}
					mu.Unlock()
					select {
					case <-left:
						return
					default:
					}
				}
			})
		}
		for answered := false; !answered; time.Sleep(10 * time.Millisecond) {
			mu.Lock()
			answered = len(ran) > 16
			mu.Unlock()
		}
		b.Leave(testContext(t))
		b.Close()
		close(left)
		wg.Wait()
		a.Close()
	}
}

// Guards against a drain that is held up by a peer that does not respond.
func TestLeaveDoesNotWaitForASilentPeer(t *testing.T) {
	b := startHub(t, "b", nil)
	_ = dialRaw(t, b, encodedHello(t)) // Reads nothing, so it does not confirm the close.
	ctx := testContext(t)
	for len(b.Peers()) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	b.Leave(ctx)
	if took := time.Since(began); took > 2*leaveTimeout {
		t.Errorf("took %v, want at most %v", took, leaveTimeout)
	}
}

// Guards against a handler that keeps running after its caller cancelled, and against
// reporting a handler's failure as a complete response.
func TestCancelledAndFailedCalls(t *testing.T) {
	cancelled := make(chan struct{})
	b := startHub(t, "b", withForward(func(ctx context.Context, f message.Forward, w ResponseWriter) {
		switch f.Path {
		case "/refuse":
			w.Fail(false, "no")
		case "/panic":
			panic("fault")
		case "/cut":
			_, _ = w.Write([]byte("x"))
			w.Fail(true, "engine failed")
		default:
			_, _ = w.Write([]byte("x"))
			<-ctx.Done()
			close(cancelled)
		}
	}))
	a := startHub(t, "a", nil)
	for path, want := range map[string]bool{"/refuse": false, "/panic": true, "/cut": true} {
		r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{Path: path})
		if err == nil {
			_, err = readBody(r)
		}
		if err == nil || mayHaveStarted(t, err) != want {
			t.Errorf("%s: %v", path, err)
		}
	}
	r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{})
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	<-cancelled
}

// Guards against a slow reader that blocks other calls on the link, and against
// unlimited buffering for it.
func TestSlowReader(t *testing.T) {
	b := startHub(t, "b", withForward(func(_ context.Context, f message.Forward, w ResponseWriter) {
		for err := error(nil); err == nil && f.Path == "/large"; {
			_, err = w.Write(make([]byte, maxPartBytes))
		}
	}))
	a := startHub(t, "a", nil)
	slow, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{Path: "/large"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{}); err != nil {
		t.Errorf("other call: %v", err)
	}
	for len(a.Peers()) > 0 && !isDone(slow) { // The response is not read meanwhile.
		time.Sleep(time.Millisecond)
	}
	_, err = readBody(slow)
	if !errors.Is(err, ErrSlowReader) || !mayHaveStarted(t, err) {
		t.Errorf("slow reader: %v", err)
	}
}

func isDone(r *Response) bool {
	r.call.mu.Lock()
	defer r.call.mu.Unlock()
	return r.call.done
}

// Guards against a handler that is blocked forever by a peer that does not read.
func TestPeerReadsNothing(t *testing.T) {
	ended := make(chan error)
	b := startHub(t, "b", func(h *Hub) {
		h.WriteTimeout = 100 * time.Millisecond
		h.Handler = testHandler{forward: func(_ context.Context, _ message.Forward, w ResponseWriter) {
			var err error
			for err == nil {
				_, err = w.Write(make([]byte, maxPartBytes))
			}
			ended <- err
		}}
	})
	conn := dialRaw(t, b, encodedHello(t))
	forward, err := message.Encode(message.KindForward, message.Forward{Call: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Write(testContext(t), websocket.MessageBinary, forward); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("the response was sent to a peer that does not read")
	}
}

func encodedHello(t *testing.T) []byte {
	data, err := message.Encode(message.KindHello, message.Hello{Version: message.ProtocolVersion, Daemon: "x", Token: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// dialRaw opens a connection to a hub and sends frames on it.
func dialRaw(t *testing.T, h *Hub, frames ...[]byte) *websocket.Conn {
	conn, _, err := websocket.Dial(testContext(t), "ws://"+h.Self.PeerAddress+linkPath, nil) //nolint:bodyclose // Dial closes it.
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	for _, f := range frames {
		if err := conn.Write(testContext(t), websocket.MessageBinary, f); err != nil {
			t.Fatal(err)
		}
	}
	return conn
}

// Guards against a full queue that drops anything but the oldest digest, and against
// reporting a sent request as not started.
func TestQueueFull(t *testing.T) {
	var dropped []message.Kind
	q := newQueue(func(k message.Kind) { dropped = append(dropped, k) })
	for i := range maxQueued {
		kind := message.KindForwardAnswer
		if i == 3 || i == 9 {
			kind = message.KindDigest
		}
		if err := q.push(&queuedMessage{kind: kind, data: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	forward := &queuedMessage{kind: message.KindForward}
	for i, want := range []error{nil, nil, ErrQueueFull} {
		if err := q.push(forward); !errors.Is(err, want) {
			t.Errorf("push %d to a full queue: %v", i, err)
		}
	}
	if len(dropped) != 2 || dropped[0] != message.KindDigest || q.messages[3].data[0] != 4 {
		t.Errorf("dropped %v", dropped)
	}
	if !q.withdraw(forward) {
		t.Error("a queued message counts as sent")
	}
	popped, _ := q.pop()
	if q.withdraw(popped) {
		t.Error("a dequeued message counts as not sent")
	}
}

// Guards against accepting a peer with a different version or token, and against
// sending the token to such a peer.
func TestRefusedLinks(t *testing.T) {
	b := startHub(t, "b", nil)
	wrongToken := startHub(t, "a", func(h *Hub) { h.Self.Token = "guess" })
	_, err := wrongToken.Forward(testContext(t), b.Self.PeerAddress, message.Forward{})
	if !errors.Is(err, ErrWrongToken) || mayHaveStarted(t, err) {
		t.Errorf("wrong token: %v", err)
	}
	otherVersion := startHub(t, "c", nil)
	otherVersion.init()
	otherVersion.Self.Version = message.ProtocolVersion + 1
	if _, err = otherVersion.Forward(testContext(t), b.Self.PeerAddress, message.Forward{}); !errors.Is(err, ErrVersionMismatch) || mayHaveStarted(t, err) {
		t.Errorf("wrong version: %v", err)
	}
	if n := len(b.Peers()); n != 0 {
		t.Errorf("%d links with refused daemons", n)
	}
}

// Guards against malformed bytes that crash the daemon or leave the link open.
func TestMalformedBytes(t *testing.T) {
	b := startHub(t, "b", nil)
	badBody, _ := message.Encode(message.KindForward, message.Hello{Version: 1})
	badBody[len(badBody)-1] ^= 0xff
	for name, frames := range map[string][][]byte{
		"first message":  {{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"second message": {encodedHello(t), {0xff, 0x00}},
		"body":           {encodedHello(t), badBody},
	} {
		conn := dialRaw(t, b, frames...)
		var err error
		for err == nil {
			_, _, err = conn.Read(testContext(t))
		}
		if got := websocket.CloseStatus(err); got != websocket.StatusInvalidFramePayloadData {
			t.Errorf("%s: link ended with %v", name, err)
		}
	}
}

// Guards against an undetected gap in the parts of a response.
func TestMissingPart(t *testing.T) {
	b := startHub(t, "b", withForward(func(_ context.Context, _ message.Forward, w ResponseWriter) {
		_, _ = w.Write([]byte("x"))
		w.(*responder).nextPart++
		_, _ = w.Write([]byte("z"))
	}))
	a := startHub(t, "a", nil)
	r, err := a.Forward(testContext(t), b.Self.PeerAddress, message.Forward{})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readBody(r); got != "x" || !errors.Is(err, ErrMissingPart) || !mayHaveStarted(t, err) {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against a broken kept link that is not reopened, duplicate links when both
// daemons dial, and an unused on-demand link that is not closed.
func TestKeptAndIdleLinks(t *testing.T) {
	messages := make(chan string, 100)
	configure := func(h *Hub) {
		h.IdleTimeout = 100 * time.Millisecond
		h.Handler = testHandler{handover: func(m message.Handover) error {
			if m.Rank == "" {
				return errors.New("no room")
			}
			return nil
		}}
		h.OnMessage = func(from message.Hello, e message.Envelope) { messages <- from.Daemon + " " + string(e.Kind) }
	}
	a, b := startHub(t, "a", configure), startHub(t, "b", configure)
	a.KeepLinks([]Target{{ID: "b", Address: b.Self.PeerAddress}})
	b.KeepLinks([]Target{{ID: "a", Address: a.Self.PeerAddress}})
	exchange := func() { // Retries, since a digest sent on a link that just broke is lost.
		for {
			_ = Send(b, "a", message.KindDigest, message.Digest{Revision: 1})
			select {
			case got := <-messages:
				if got != "b Digest" {
					t.Errorf("got %q", got)
				}
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	links := func(h *Hub) int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.links)
	}
	exchange()
	for links(a) != 1 || links(b) != 1 {
		time.Sleep(5 * time.Millisecond)
	}
	for _, l := range breakLinks(a) {
		<-l.done
	}
	for len(messages) > 0 {
		<-messages
	}
	exchange()
	a.KeepLinks(nil)
	b.KeepLinks(nil)
	for links(a) != 0 || links(b) != 0 {
		time.Sleep(5 * time.Millisecond)
	}
	if err := a.Handover(testContext(t), b.Self.PeerAddress, message.Handover{Rank: "urgent"}); err != nil {
		t.Error(err)
	}
	if err := a.Handover(testContext(t), b.Self.PeerAddress, message.Handover{}); !errors.Is(err, ErrRefused) || mayHaveStarted(t, err) {
		t.Errorf("refused hand-over: %v", err)
	}
}
