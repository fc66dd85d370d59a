package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
)

// resetDuringUpload reads the head of a request, answers without a length and resets the connection while
// the body is still being written.
func resetDuringUpload(after time.Duration) script {
	return func(c net.Conn, _ func() string) {
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt: " + r.Header.Get(testNames.Attempt) + "\r\nX-Signature: s\r\n\r\n0123456789"))
		time.Sleep(after)
		_ = c.(*net.TCPConn).SetLinger(0) // The close resets the connection.
	}
}

func TestAnswerCutByResetDuringUploadIsIncomplete(t *testing.T) {
	for name, size := range map[string]int{"300 KB": 300 << 10, "1 MB": 1 << 20, "3 MB": 3 << 20} {
		for _, after := range []time.Duration{0, 3 * time.Millisecond} {
			t.Run(name+" after "+after.String(), func(t *testing.T) {
				const tries = 30
				var scripts []script
				for range tries {
					scripts = append(scripts, resetDuringUpload(after))
				}
				s, p := startServer(t, scripts...), &Pool{Names: testNames}
				defer p.Close()
				complete := 0
				for range tries {
					q := request("1")
					q.Body = make([]byte, size)
					res, err := p.Do(t.Context(), time.Now(), s.address, q)
					if err != nil {
						continue
					}
					if _, err := res.ReadBody(1 << 20); err == nil {
						complete++
					}
					res.Close()
				}
				if complete > 0 {
					t.Errorf("%d of %d answers that were cut were taken for complete ones", complete, tries)
				}
			})
		}
	}
}

// A server may answer before it has read a long body, and read on after the end of its answer.
func TestAnswerWithoutLengthBeforeTheBodyIsReadIsComplete(t *testing.T) {
	s, p := startServer(t, func(c net.Conn, _ func() string) {
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n\r\nwhole"))
		_ = c.(*net.TCPConn).CloseWrite()
		buffer := make([]byte, 64<<10)
		for err == nil {
			_, err = r.Body.Read(buffer)
		}
	}), &Pool{Names: testNames}
	defer p.Close()
	q := request("1")
	q.Body = make([]byte, 3<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := p.Do(ctx, time.Now(), s.address, q)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Close()
	if body, err := res.ReadBody(1 << 20); err != nil || string(body) != "whole" {
		t.Errorf("body %q, error %v", body, err)
	}
}

func TestStatusLines(t *testing.T) {
	const rest = "\r\nX-Attempt: 1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
	tests := map[string]struct {
		line string
		// status is that of the answer; 0 means that there is none.
		status int
	}{
		"success":                      {"HTTP/1.1 200 OK", 200},
		"no reason":                    {"HTTP/1.1 200", 200},
		"earlier version":              {"HTTP/1.0 200 OK", 200},
		"failure":                      {"HTTP/1.1 599 Odd", 599},
		"000":                          {"HTTP/1.1 000 OK", 0},
		"below 100":                    {"HTTP/1.1 099 OK", 0},
		"above 599":                    {"HTTP/1.1 600 OK", 0},
		"999":                          {"HTTP/1.1 999 OK", 0},
		"sign":                         {"HTTP/1.1 +20 OK", 0},
		"two digits":                   {"HTTP/1.1 20 OK", 0},
		"four digits":                  {"HTTP/1.1 2000 OK", 0},
		"no number":                    {"HTTP/1.1 abc OK", 0},
		"no protocol":                  {"200 OK", 0},
		"switches the protocol":        {"HTTP/1.1 101 Switching Protocols", 0},
		"interim answer, then success": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200},
		"000, then success":            {"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, p := startServer(t, func(c net.Conn, readRequest func() string) {
				readRequest()
				_, _ = c.Write([]byte(tc.line + rest))
			}), &Pool{Names: testNames}
			defer p.Close()
			res, err := p.Do(t.Context(), time.Now(), s.address, request("1"))
			status := 0
			if err == nil {
				status = res.Status
				res.Close()
			} else if !errors.Is(err, ErrIncomplete) {
				t.Errorf("error %v, want an incomplete answer", err)
			}
			if status != tc.status {
				t.Errorf("status %d, want %d (error %v)", status, tc.status, err)
			}
		})
	}
}
