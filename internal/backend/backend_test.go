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

var testNames = HeaderNames{Attempt: "X-Attempt", Signature: "X-Signature", NotRun: "X-Not-Run"}

// server accepts connections and plays one script on each, in order.
type server struct {
	address  string
	accepted atomic.Int32
}

// script plays one connection. readRequest reads the next request and returns its
// attempt id, or "" at the end.
type script func(c net.Conn, readRequest func() string)

func startServer(t *testing.T, scripts ...script) *server {
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
				_, _ = io.Copy(io.Discard, r.Body) // Scripts check short bodies themselves.
				return r.Header.Get(testNames.Attempt)
			})
			_ = c.Close() // Some scripts close it themselves.
		}
	}()
	t.Cleanup(func() {
		_ = l.Close() // Ends the remaining scripts.
		<-done
	})
	return s
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Attempt: id, Header: http.Header{"X-Attempt": {id}}, Body: []byte("body")}
}

func responseText(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// fetch sends a request and returns the whole response body.
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

func checkBody(t *testing.T, p *Pool, address, id, body string) {
	t.Helper()
	got, err := fetch(t, p, address, id)
	if err != nil || got != body {
		t.Errorf("request %s: body %q, error %v; want %q", id, got, err, body)
	}
}

// TestConnectionReuse guards against opening a new connection for each request.
func TestConnectionReuse(t *testing.T) {
	s := startServer(t, func(c net.Conn, readRequest func() string) {
		for id := readRequest(); id != ""; id = readRequest() {
			fmt.Fprint(c, responseText(id, "", "for "+id))
		}
	})
	p := &Pool{Names: testNames}
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		checkBody(t, p, s.address, id, "for "+id)
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections for 3 requests", n)
	}
}

// TestForeignAnswers guards against passing a duplicate, late or unsolicited response
// on as the response to the next request.
func TestForeignAnswers(t *testing.T) {
	secondRead := make(chan struct{})
	s := startServer(t,
		func(c net.Conn, readRequest func() string) {
			id := readRequest()
			fmt.Fprint(c, responseText(id, "", "first")+responseText(id, "", "again"))
			readRequest()
		},
		func(c net.Conn, readRequest func() string) {
			fmt.Fprint(c, responseText(readRequest(), "", "second"))
			<-secondRead
			id := readRequest()
			fmt.Fprint(c, responseText("2", "", "late")+responseText(id, "", "third"))
			readRequest()
		})
	p := &Pool{Names: testNames}
	defer p.Close()
	checkBody(t, p, s.address, "1", "first")
	time.Sleep(50 * time.Millisecond) // Lets the second response arrive on the idle connection.
	checkBody(t, p, s.address, "2", "second")
	close(secondRead)
	checkBody(t, p, s.address, "3", "third")
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestIncomplete guards against reporting a truncated, reset or malformed response as
// complete, or its request as not sent.
func TestIncomplete(t *testing.T) {
	for name, response := range map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nabc",
		"short chunks":  "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"nothing":       "",
		"no HTTP":       "hello\r\n\r\n",
		"short head":    "HTTP/1.1 200 OK\r\nX-Att",
		"no id":         "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nabc",
		"other request": responseText("9", "", "abc"),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(c net.Conn, readRequest func() string) {
				readRequest()
				fmt.Fprint(c, response)
			})
			p := &Pool{Names: testNames}
			defer p.Close()
			if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrIncomplete) {
				t.Errorf("body %q, error %v, want ErrIncomplete", body, err)
			}
		})
	}
	t.Run("close-delimited and reset", func(t *testing.T) {
		s := startServer(t, func(c net.Conn, readRequest func() string) {
			readRequest()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n\r\nabc")
			_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection.
		})
		p := &Pool{Names: testNames}
		defer p.Close()
		if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrIncomplete) {
			t.Errorf("body %q, error %v, want ErrIncomplete", body, err)
		}
	})
	t.Run("close-delimited and closed", func(t *testing.T) {
		s := startServer(t, func(c net.Conn, readRequest func() string) {
			readRequest()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n\r\nabc")
		})
		p := &Pool{Names: testNames}
		defer p.Close()
		checkBody(t, p, s.address, "1", "abc")
	})
}

// TestEndlessAnswer guards against reading an answer without end until the request's
// deadline, which fills the memory.
func TestEndlessAnswer(t *testing.T) {
	const status, answered = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n"
	// maxSent is what may be sent before the connection is closed, with the buffers of the
	// sockets.
	const maxSent = 32 << 20
	for _, c := range []struct{ name, begin, repeat string }{
		{"no HTTP", "", "noise"},
		{"status line", "HTTP/1.1 200 ", "noise"},
		{"header name", status, "noise"},
		{"header value", status + "X-Other: ", "noise"},
		{"headers", status, "X-Other: noise\r\n"},
		{"different headers", status, "X-%d: noise\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"answers to other requests", "", responseText("9", "", "abc")},
		{"body", answered + "\r\n", "noise"},
		{"body of another request", "HTTP/1.1 200 OK\r\nX-Attempt: 9\r\n\r\n", "noise"},
		{"chunk size", answered + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", answered + "Transfer-Encoding: chunked\r\n\r\n5;", "noise"},
		{"trailers", answered + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Other: noise\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int, 1)
			s := startServer(t, func(conn net.Conn, readRequest func() string) {
				readRequest()
				n, err := fmt.Fprint(conn, c.begin)
				for i := 0; err == nil && n <= maxSent; i++ {
					text := c.repeat
					if strings.Contains(text, "%d") {
						text = fmt.Sprintf(text, i)
					}
					var written int
					written, err = fmt.Fprint(conn, strings.Repeat(text, 1000))
					n += written
				}
				sent <- n
			})
			p := &Pool{Names: testNames}
			defer p.Close()
			if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrIncomplete) {
				t.Errorf("%d bytes of body, error %v, want ErrIncomplete", len(body), err)
			}
			if n := <-sent; n > maxSent {
				t.Errorf("the server sent %d bytes", n)
			}
		})
	}
}

// TestNotRun guards against overlooking the server's statement that it did not run the
// request.
func TestNotRun(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		s := startServer(t, func(c net.Conn, readRequest func() string) {
			readRequest()
			fmt.Fprint(c, head)
			readRequest()
		})
		p := &Pool{Names: testNames}
		res, err := p.Do(t.Context(), time.Now(), s.address, request("1"))
		if err != nil {
			t.Fatal(err)
		}
		if !res.NotRun {
			t.Errorf("status %d is not reported as not run", res.Status)
		}
		res.Close()
		p.Close()
	}
}

// TestNotSent guards against reporting that a request may have run although no server
// received it.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	p := &Pool{Names: testNames}
	if _, err := fetch(t, p, address, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// TestClosedIdleConnection guards against sending on a connection that the server has
// closed or is about to close.
func TestClosedIdleConnection(t *testing.T) {
	for name, first := range map[string]string{
		"closed":          responseText("1", "", "one"),
		"announced":       responseText("1", "Connection: close\r\n", "one"),
		"times out first": responseText("1", "Keep-Alive: timeout=0\r\n", "one"),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t,
				func(c net.Conn, readRequest func() string) {
					readRequest()
					fmt.Fprint(c, first)
				},
				func(c net.Conn, readRequest func() string) { fmt.Fprint(c, responseText(readRequest(), "", "two")) })
			p := &Pool{Names: testNames}
			defer p.Close()
			checkBody(t, p, s.address, "1", "one")
			time.Sleep(50 * time.Millisecond) // Lets the close arrive.
			checkBody(t, p, s.address, "2", "two")
		})
	}
}

// TestDroppedWithoutNotice guards against sending a request that must not be sent twice
// on an idle connection that the server may have dropped without notice: the request is
// reset, but may have run. It also guards against opening a new connection for each
// such request.
func TestDroppedWithoutNotice(t *testing.T) {
	s := startServer(t, func(c net.Conn, readRequest func() string) {
		for id := readRequest(); id != ""; id = readRequest() {
			fmt.Fprint(c, responseText(id, "Keep-Alive: timeout=60\r\n", id))
		}
	})
	p := &Pool{Names: testNames}
	defer p.Close()
	checkBody(t, p, s.address, "1", "1")
	now := time.Now()
	for _, c := range []struct {
		idle       time.Duration
		atMostOnce bool
		reused     bool
	}{{2 * maxIdleForAtMostOnce, true, false}, {maxIdleForAtMostOnce / 2, true, true}, {2 * maxIdleForAtMostOnce, false, true}} {
		conn := p.takeIdle(now.Add(c.idle), s.address, c.atMostOnce)
		if (conn != nil) != c.reused {
			t.Errorf("connection reused: %v, after %v idle, at most once: %v", conn != nil, c.idle, c.atMostOnce)
		}
		if conn != nil {
			p.addIdle(conn)
		}
	}
}

// TestEarlyResponse guards against reusing a connection on which the server may still
// read the body of the previous request.
func TestEarlyResponse(t *testing.T) {
	s := startServer(t,
		func(c net.Conn, _ func() string) {
			// Responds after the head without reading the body.
			br := bufio.NewReader(c)
			for line := "-"; strings.TrimSpace(line) != ""; {
				line, _ = br.ReadString('\n')
			}
			fmt.Fprint(c, responseText("1", "", "early"))
			time.Sleep(200 * time.Millisecond)
		},
		func(c net.Conn, readRequest func() string) { fmt.Fprint(c, responseText(readRequest(), "", "two")) })
	p := &Pool{Names: testNames}
	defer p.Close()
	q := request("1")
	q.Body = make([]byte, 16<<20) // More than fits into the buffers of the connection.
	res, err := p.Do(t.Context(), time.Now(), s.address, q)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := res.ReadBody(100); err != nil || string(body) != "early" {
		t.Errorf("body %q, error %v", body, err)
	}
	res.Close()
	checkBody(t, p, s.address, "2", "two")
}

// TestCancel guards against a server that keeps working after its caller has left.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(c net.Conn, readRequest func() string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", readRequest())
		readRequest()
		close(closed)
	})
	p := &Pool{Names: testNames}
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
	if _, err := io.ReadAll(res); !errors.Is(err, ErrIncomplete) {
		t.Errorf("error %v, want ErrIncomplete", err)
	}
}

// TestServerEndsWithItsAnswer guards against taking an answer without a length for complete
// that its server cut off when it crashed.
func TestServerEndsWithItsAnswer(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nConnection: close\r\n\r\nbody"
	for _, c := range []struct {
		name    string
		crashes bool
		want    error
	}{
		{"server runs on", false, nil},
		{"server crashes", true, ErrConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			served := make(chan struct{})
			go func() {
				defer close(served)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn)) // The answer is the same for all.
				fmt.Fprint(conn, text)
				if c.crashes {
					_ = l.Close()
				}
				_ = conn.Close()
			}()
			p := &Pool{Names: testNames}
			defer p.Close()
			body, err := fetch(t, p, l.Addr().String(), "1")
			if !errors.Is(err, c.want) || body != "body" && c.want == nil {
				t.Errorf("body %q, error %v, want %v", body, err, c.want)
			}
			<-served
		})
	}
}

func TestRequestRate(t *testing.T) {
	for value, want := range map[string]RequestRate{
		"":                  {},
		"4":                 {Stated: true, PerSecond: 4},
		" 0.25 ":            {Stated: true, PerSecond: 0.25},
		"0":                 {Stated: true},
		"-1":                {Unreadable: true},
		"NaN":               {Unreadable: true},
		"Inf":               {Unreadable: true},
		"1e999":             {Unreadable: true},
		"4 a second":        {Unreadable: true},
		"9007199254740993.": {Stated: true, PerSecond: 9007199254740992},
	} {
		if got := requestRate(value); got != want {
			t.Errorf("%q: got %+v, want %+v", value, got, want)
		}
	}
}

// TestHeadCutAnywhereIsIncomplete guards against taking a head that ends early for a whole answer
// without a body.
func TestHeadCutAnywhereIsIncomplete(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
	} {
		for n := range len(head) {
			s := startServer(t, func(c net.Conn, readRequest func() string) {
				readRequest()
				fmt.Fprint(c, head[:n])
			})
			p := &Pool{Names: testNames}
			if body, err := fetch(t, p, s.address, "1"); !errors.Is(err, ErrIncomplete) {
				t.Errorf("after %q: body %q, error %v, want ErrIncomplete", head[:n], body, err)
			}
			p.Close()
		}
	}
}
