package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"apricotbridge/internal/message"
)

// severableListener is a listener whose connections can be cut.
type severableListener struct {
	net.Listener
	mu      sync.Mutex
	severed bool
	conns   []net.Conn
}

func (l *severableListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		severed := l.severed
		if !severed {
			l.conns = append(l.conns, c)
		}
		l.mu.Unlock()
		if !severed {
			return c, nil
		}
		_ = c.Close() // The other side sees the end.
	}
}

// sever cuts all connections, and those that are opened until it is called with false.
func (l *severableListener) sever(severed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.severed = severed
	for _, c := range l.conns {
		_ = c.Close() // The other side sees the end.
	}
	l.conns = nil
}

// isolate ends the links of a daemon, the last of those that listen at listeners, until its listener is no longer severed.
func isolate(gw *testGateway, listeners []*severableListener) {
	gw.hub.KeepLinks(nil) // It opens no links itself.
	for i, l := range listeners {
		l.sever(true)
		l.sever(i == len(listeners)-1)
	}
}

// listedDaemons returns how many daemons the list has that the daemon read from the store.
func (gw *testGateway) listedDaemons() int {
	n := make(chan int, 1)
	gw.post(func(c *control) { n <- len(c.registeredDaemons) })
	return <-n
}

// TestStreamsThatBeganWhileALinkWasDownAreTakenUp guards against refusing streams long after their daemons are linked again.
func TestStreamsThatBeganWhileALinkWasDownAreTakenUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		meshMax int
		// places are those of the daemons. Streams begin at the first and are taken up at the last.
		places string
	}{{"full mesh", 0, "aaa"}, {"links by place", 1, "aaa"}, {"delegates of two places", 1, "aab"}, {"three places", 1, "abc"}, {"not a delegate", 1, "aaaba"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			servers := []*backendServer{env.addVersion("s1", "model", "v1", breakingStream()), env.addVersion("s2", "model", "v2", breakingStream())}
			var listeners []*severableListener
			var gateways []*testGateway
			for i, place := range c.places {
				l := &severableListener{Listener: listen(t, "127.0.0.1:0")}
				listeners = append(listeners, l)
				gateways = append(gateways, env.startAt(fmt.Sprint("g", i+1), string(place), c.meshMax, listen(t, "127.0.0.1:0"), l))
			}
			first, last := gateways[0], gateways[len(gateways)-1]
			linked := func() bool {
				return slices.ContainsFunc(last.hub.Peers(), func(p message.Hello) bool { return p.Daemon == "g1" })
			}
			for _, gw := range gateways {
				waitFor(t, gw.Daemon+" is ready", gw.Ready)
				waitFor(t, gw.Daemon+" knows the others", func() bool {
					v := gw.view.Load()
					return len(v.Daemons) == len(gateways) && v.ByPlace == (c.meshMax > 0)
				})
				waitFor(t, gw.Daemon+" uses both versions", func() bool { return gw.begun.isRecorded("model", "v1") && gw.begun.isRecorded("model", "v2") })
			}
			waitFor(t, "the daemons are linked", linked)
			// A later list of daemons would make the daemon open its links again.
			waitFor(t, "all daemons are listed", func() bool { return last.listedDaemons() == len(gateways) })
			isolate(last, listeners)
			waitFor(t, "one daemon has no links", func() bool { return len(last.hub.Peers()) == 0 })
			waitFor(t, "the others have links", func() bool {
				return slices.ContainsFunc(first.hub.Peers(), func(p message.Hello) bool { return p.Daemon == "g2" })
			})
			const streams = 24
			for i := range streams {
				first.begin(t, fmt.Sprint("began", i))
			}
			time.Sleep(2 * farStatusEvery * statusInterval)
			listeners[len(listeners)-1].sever(false)
			waitFor(t, "the daemons are linked again", linked)
			time.Sleep(2 * time.Second)
			refused := 0
			for i := range streams {
				if got := last.takeUp(t, fmt.Sprint("began", i)); got.status != http.StatusOK || got.body != events(3, 8) {
					refused++
				}
			}
			if refused > 0 {
				t.Errorf("%d of %d streams were refused", refused, streams)
			}
			if len(beganAt(servers[0])) == 0 || len(beganAt(servers[1])) == 0 {
				t.Error("one version got all streams")
			}
		})
	}
}
