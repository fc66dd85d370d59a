package backend

import (
	"bytes"
	"io"
	"net"
	"testing"
)

// FuzzReadHead checks that a response is taken as that of a request only if it has the
// request's id or, on a new connection, states that the request did not run.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte(responseText("1", "", "body")), true)
	f.Add([]byte(refusalWithoutID+responseText("1", "Keep-Alive: timeout=9223372036854775807\r\n", "body")), true)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nContent-Length: -1\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 000 OK\r\n\r\n"+responseText("1", "", "body")), false)
	f.Add([]byte("HTTP/1.1 999 Odd\r\nX-Attempt: 1\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		own, other := net.Pipe()
		defer own.Close()
		defer other.Close()
		r := &Response{conn: &conn{Conn: own, reader: newBufferedReader(bytes.NewReader(data))}, pool: &Pool{}, connReused: reused}
		if err := r.readHead(request("1"), testNames); err != nil {
			return
		}
		if r.Status < 200 || r.Status > 599 {
			t.Errorf("status %d", r.Status)
		}
		if id := r.Header.Get(testNames.Attempt); id != "1" && (id != "" || reused || !r.NotRun) {
			t.Errorf("response with id %q, status %d, not run: %v, on a reused connection: %v", id, r.Status, r.NotRun, reused)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.body, 1<<20)) // Only a panic is a failure.
	})
}
