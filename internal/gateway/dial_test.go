package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fullListener returns a listener whose queue of connections is full, so that the kernel of a client
// repeats its first packet after a second, and a function that empties the queue.
func fullListener(t *testing.T) (l net.Listener, empty func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	l, err = net.FileListener(f)
	_ = f.Close() // The listener has a copy of the descriptor.
	if err != nil {
		t.Fatal(err)
	}
	var waiting []net.Conn
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		waiting = append(waiting, c)
	}
	return l, func() {
		for _, c := range waiting {
			_ = c.Close()
			if accepted, err := l.Accept(); err == nil {
				_ = accepted.Close()
			}
		}
	}
}

// TestRequestIsNotSentToServerThatLeftWhileConnecting guards against a request to a server that left, or paused, while its connection was opened.
func TestRequestIsNotSentToServerThatLeftWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		name   string
		refuse func(*testEnv, *testGateway, *backendServer)
	}{
		{"leaves", func(env *testEnv, _ *testGateway, b *backendServer) { env.register(b, "plain", true) }},
		{"ends", func(env *testEnv, _ *testGateway, b *backendServer) { env.store.remove("servers/" + b.id) }},
		{"pauses", func(_ *testEnv, gw *testGateway, b *backendServer) {
			server, _ := gw.view.Load().table.Server(b.id)
			now := time.Now()
			gw.dispatcher.PauseServer(now, now.Add(time.Minute), server)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			leaving := env.addServer("s1", "plain", signedAnswer("ok"))
			gw := env.startReady("g1")
			queue, empty := fullListener(t)
			served := make(chan error, 1)
			server := &http.Server{Handler: leaving.Config.Handler, ReadHeaderTimeout: time.Second}
			leaving.URL = "http://" + queue.Addr().String()
			env.register(leaving, "plain", false)
			waitFor(t, "the new address is known", func() bool { return gw.view.Load().Members["s1"].Address == queue.Addr().String() })
			var staying *backendServer
			changed := make(chan struct{})
			go func() {
				defer close(changed)
				time.Sleep(100 * time.Millisecond) // The request has been granted.
				staying = env.addServer("s2", "plain", signedAnswer("ok"))
				c.refuse(env, gw, leaving)
				waitFor(t, "the other server is used", func() bool { return gw.accepting("s2") })
				if c.name != "pauses" {
					waitFor(t, "the first is not", func() bool { return !gw.accepting("s1") })
				}
				empty()
				go func() { served <- server.Serve(queue) }()
			}()
			got := gw.send(t.Context(), http.MethodPost, "/unsafe/")
			<-changed
			if got.status != http.StatusOK || leaving.requests() > 0 || staying.requests() != 1 {
				t.Errorf("got %+v; the server that left got %d requests, the other %d", got, leaving.requests(), staying.requests())
			}
			_ = server.Close()
			if err := <-served; !errors.Is(err, http.ErrServerClosed) {
				t.Error(err)
			}
		})
	}
}
