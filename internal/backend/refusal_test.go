package backend

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
)

const (
	refusalWithID    = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// TestRepeatedRefusal guards against taking a second copy of an earlier refusal as the
// response to a later request on the same connection, which would then be reported as not
// run although the server runs it.
func TestRepeatedRefusal(t *testing.T) {
	for name, copied := range map[string]string{
		"with the id of the earlier request": fmt.Sprintf(refusalWithID, "1"),
		"503 without an id":                  refusalWithoutID,
		"400 without an id":                  "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"421 without an id":                  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(c net.Conn, readRequest func() string) {
				fmt.Fprintf(c, refusalWithID, readRequest())
				id := readRequest()
				fmt.Fprint(c, copied+responseText(id, "", "ran"))
			})
			p := &Pool{Names: testNames}
			defer p.Close()
			checkRefused(t, p, s.address, request("1"), true)
			checkRefused(t, p, s.address, request("2"), false)
		})
	}
}

// TestRepeatedRefusalOfResentRequest guards against taking a second copy of the refusal of
// an attempt as the response to the next attempt with the same id at the same server.
func TestRepeatedRefusalOfResentRequest(t *testing.T) {
	const idle = 50 * time.Millisecond
	s := startServer(t,
		func(c net.Conn, readRequest func() string) {
			id := readRequest()
			fmt.Fprintf(c, refusalWithID, id)
			_ = c.SetReadDeadline(time.Now().Add(idle)) // The next connection is accepted after this one.
			if readRequest() != "" {
				fmt.Fprintf(c, refusalWithID+"%s", id, responseText(id, "", "ran"))
			}
		},
		func(c net.Conn, readRequest func() string) {
			if id := readRequest(); id != "" {
				fmt.Fprint(c, responseText(id, "", "ran"))
			}
		})
	p := &Pool{Names: testNames}
	defer p.Close()
	checkRefused(t, p, s.address, request("1"), true)
	resent := request("1")
	resent.Resent = true
	checkRefused(t, p, s.address, resent, false)
}

// checkRefused sends a request and checks whether it is reported as not run.
func checkRefused(t *testing.T, p *Pool, address string, q *Request, refused bool) {
	t.Helper()
	res, err := p.Do(t.Context(), time.Now(), address, q)
	if err != nil {
		if refused || errors.Is(err, ErrNotSent) {
			t.Errorf("request %s: %v", q.Attempt, err)
		}
		return
	}
	defer res.Close()
	if _, err := res.ReadBody(1 << 10); err != nil {
		t.Errorf("request %s: %v", q.Attempt, err)
	}
	if res.NotRun != refused {
		t.Errorf("request %s: status %d, not run: %v, want %v", q.Attempt, res.Status, res.NotRun, refused)
	}
}
