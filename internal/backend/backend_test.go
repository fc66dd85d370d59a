package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = Names{Attempt: "X-Attempt", Signature: "X-Signature", NotRun: "X-Not-Run"}

// server answers the connections of a test, one script for each, in order.
type server struct {
	address  string
	accepted atomic.Int32
}

// script plays one connection. read reads the next request and returns its id.
type script func(c net.Conn, read func() string)

func serve(t *testing.T, scripts ...script) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, play := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			br := bufio.NewReader(c)
			play(c, func() string {
				r, err := http.ReadRequest(br)
				if err != nil {
					return ""
				}
				_, _ = io.Copy(io.Discard, r.Body) // The script decides what a short body means.
				return r.Header.Get(names.Attempt)
			})
			_ = c.Close() // Some scripts close it themselves.
		}
	}()
	t.Cleanup(func() {
		_ = l.Close() // Ends the scripts that are left.
		<-done
	})
	return s
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Attempt: id, Header: http.Header{"X-Attempt": {id}}, Body: []byte("body")}
}

func answer(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// fetch sends a request and returns its whole body.
func fetch(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := p.Do(ctx, time.Now(), address, request(id))
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := res.ReadBody(1 << 20)
	return string(body), err
}

func want(t *testing.T, p *Pool, address, id, body string) {
	t.Helper()
	got, err := fetch(t, p, address, id)
	if err != nil || got != body {
		t.Errorf("request %s: body %q, error %v; want %q", id, got, err, body)
	}
}

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	s := serve(t, func(c net.Conn, read func() string) {
		for id := read(); id != ""; id = read() {
			fmt.Fprint(c, answer(id, "", "for "+id))
		}
	})
	p := &Pool{Names: names}
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		want(t, p, s.address, id, "for "+id)
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections for 3 requests", n)
	}
}

// TestForeignAnswers guards against passing a second, late or unasked answer on as
// the answer to the next request.
func TestForeignAnswers(t *testing.T) {
	second := make(chan struct{})
	s := serve(t,
		func(c net.Conn, read func() string) {
			id := read()
			fmt.Fprint(c, answer(id, "", "first")+answer(id, "", "again"))
			read()
		},
		func(c net.Conn, read func() string) {
			fmt.Fprint(c, answer(read(), "", "second"))
			<-second
			id := read()
			fmt.Fprint(c, answer("2", "", "late")+answer(id, "", "third"))
			read()
		})
	p := &Pool{Names: names}
	defer p.Close()
	want(t, p, s.address, "1", "first")
	time.Sleep(50 * time.Millisecond) // Lets the second answer arrive on the idle connection.
	want(t, p, s.address, "2", "second")
	close(second)
	want(t, p, s.address, "3", "third")
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestIncomplete guards against a truncated, reset or malformed answer that looks
// complete, and against a report that the request was not sent.
func TestIncomplete(t *testing.T) {
	for name, bytes := range map[string]string{
		"short body":      "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nabc",
		"short chunks":    "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"nothing":         "",
		"no HTTP":         "hello\r\n\r\n",
		"short head":      "HTTP/1.1 200 OK\r\nX-Att",
		"no id":           "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nabc",
		"of another only": answer("9", "", "abc"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, read func() string) {
				read()
				fmt.Fprint(c, bytes)
			})
			p := &Pool{Names: names}
			defer p.Close()
			if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrBroken) {
				t.Errorf("body %q, error %v, want ErrBroken", body, err)
			}
		})
	}
	t.Run("unframed and reset", func(t *testing.T) {
		s := serve(t, func(c net.Conn, read func() string) {
			read()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n\r\nabc")
			_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection.
		})
		p := &Pool{Names: names}
		defer p.Close()
		if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrBroken) {
			t.Errorf("body %q, error %v, want ErrBroken", body, err)
		}
	})
	t.Run("unframed and closed", func(t *testing.T) {
		s := serve(t, func(c net.Conn, read func() string) {
			read()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n\r\nabc")
		})
		p := &Pool{Names: names}
		defer p.Close()
		want(t, p, s.address, "1", "abc")
	})
}

// TestNotRun guards against missing that a server states that it did not run the
// request.
func TestNotRun(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		s := serve(t, func(c net.Conn, read func() string) {
			read()
			fmt.Fprint(c, head)
			read()
		})
		p := &Pool{Names: names}
		res, err := p.Do(t.Context(), time.Now(), s.address, request("1"))
		if err != nil {
			t.Fatal(err)
		}
		if !res.NotRun {
			t.Errorf("status %d is not taken for not run", res.Status)
		}
		res.Close()
		p.Close()
	}
}

// TestNotSent guards against reporting that a request may have run that no server
// got.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	p := &Pool{Names: names}
	if _, err := fetch(t, p, address, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// TestIdleClosed guards against sending on a connection that the server has closed or
// is about to close.
func TestIdleClosed(t *testing.T) {
	for name, first := range map[string]string{
		"closed":          answer("1", "", "one"),
		"announced":       answer("1", "Connection: close\r\n", "one"),
		"times out first": answer("1", "Keep-Alive: timeout=0\r\n", "one"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t,
				func(c net.Conn, read func() string) {
					read()
					fmt.Fprint(c, first)
				},
				func(c net.Conn, read func() string) { fmt.Fprint(c, answer(read(), "", "two")) })
			p := &Pool{Names: names}
			defer p.Close()
			want(t, p, s.address, "1", "one")
			time.Sleep(50 * time.Millisecond) // Lets the close arrive.
			want(t, p, s.address, "2", "two")
		})
	}
}

// TestDroppedWithoutNotice guards against an order on a connection that its server may
// have dropped without notice, where what is sent next is reset, and against a new
// connection for each order.
func TestDroppedWithoutNotice(t *testing.T) {
	s := serve(t, func(c net.Conn, read func() string) {
		for id := read(); id != ""; id = read() {
			fmt.Fprint(c, answer(id, "Keep-Alive: timeout=60\r\n", id))
		}
	})
	p := &Pool{Names: names}
	defer p.Close()
	want(t, p, s.address, "1", "1")
	now := time.Now()
	for _, c := range []struct {
		idle time.Duration
		once bool
		kept bool
	}{{2 * onceIdle, true, false}, {onceIdle / 2, true, true}, {2 * onceIdle, false, true}} {
		conn := p.get(now.Add(c.idle), s.address, c.once)
		if (conn != nil) != c.kept {
			t.Errorf("connection kept %v after %v, once %v", conn != nil, c.idle, c.once)
		}
		if conn != nil {
			p.put(conn)
		}
	}
}

// TestEarlyAnswer guards against reusing a connection whose server may still read the
// body of the request before.
func TestEarlyAnswer(t *testing.T) {
	s := serve(t,
		func(c net.Conn, _ func() string) {
			// Answers after the head and does not read the body.
			br := bufio.NewReader(c)
			for line := "-"; strings.TrimSpace(line) != ""; {
				line, _ = br.ReadString('\n')
			}
			fmt.Fprint(c, answer("1", "", "early"))
			time.Sleep(200 * time.Millisecond)
		},
		func(c net.Conn, read func() string) { fmt.Fprint(c, answer(read(), "", "two")) })
	p := &Pool{Names: names}
	defer p.Close()
	q := request("1")
	q.Body = make([]byte, 16<<20) // More than the buffers of the connection hold.
	res, err := p.Do(t.Context(), time.Now(), s.address, q)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := res.ReadBody(100); err != nil || string(body) != "early" {
		t.Errorf("body %q, error %v", body, err)
	}
	res.Close()
	want(t, p, s.address, "2", "two")
}

// TestCancel guards against a server that works on after its caller has left.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, read func() string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", read())
		read()
		close(closed)
	})
	p := &Pool{Names: names}
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	res, err := p.Do(ctx, time.Now(), s.address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Close()
	cancel()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the server's connection stays open")
	}
	if _, err := io.ReadAll(res); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v, want ErrBroken", err)
	}
}
