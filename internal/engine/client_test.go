package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/standin"
)

func chunk(id, text, finish string) string {
	return "id: " + id + "\ndata: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":" + finish + "}]}\n\n"
}

// Guards against an incomplete stream that counts as complete, and against tokens
// that are delivered twice or out of order, when an engine misbehaves.
func TestStreamTakesTokensInOrderOnly(t *testing.T) {
	const stop = `"stop"`
	for _, c := range []struct {
		name, stream, want string
		err                error
	}{
		{"complete", chunk("1", "a", "null") + chunk("2", "b", stop) + "data: [DONE]\n\n", "ab", nil},
		{"repeated", chunk("1", "a", "null") + chunk("1", "a", "null") + chunk("2", "b", stop) + "data: [DONE]\n\n", "ab", nil},
		{"gap", chunk("1", "a", "null") + chunk("3", "c", stop) + "data: [DONE]\n\n", "a", engine.ErrBroken},
		{"cut off", chunk("1", "a", "null"), "a", engine.ErrBroken},
		{"end without a finish reason", chunk("1", "a", "null") + "data: [DONE]\n\n", "a", engine.ErrBroken},
		{"end without [DONE]", chunk("1", "a", stop), "a", engine.ErrBroken},
		{"not JSON", "id: 1\ndata: {\n\n", "", engine.ErrBroken},
		{"no number", "id: x\ndata: {}\n\n", "", engine.ErrBroken},
		{"no choice", "id: 1\ndata: {\"choices\":[]}\n\n", "", engine.ErrBroken},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.stream) }))
		var got strings.Builder
		err := (&engine.Client{}).Stream(t.Context(), strings.TrimPrefix(s.URL, "http://"), engine.Request{Body: []byte("{}")}, func(k engine.Token) error {
			got.WriteString(k.Text)
			return nil
		})
		s.Close()
		if got.String() != c.want || !errors.Is(err, c.err) && err != c.err { //nolint:errorlint // A nil error is compared as well.
			t.Errorf("%s: %q and %v, want %q and %v", c.name, got.String(), err, c.want, c.err)
		}
	}
}

// Guards against a stream that never ends because the engine hangs, and against a
// refused connection that counts as a request that may have run.
func TestSilenceAndClosedPort(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, chunk("1", "a", "null"))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	address := strings.TrimPrefix(s.URL, "http://")
	c := &engine.Client{IdleTimeout: 50 * time.Millisecond}
	ignore := func(engine.Token) error { return nil }
	if err := c.Stream(t.Context(), address, engine.Request{Body: []byte("{}")}, ignore); !errors.Is(err, engine.ErrBroken) {
		t.Errorf("silence: %v", err)
	}
	close(release)
	s.Close()
	if err := c.Stream(t.Context(), address, engine.Request{Body: []byte("{}")}, ignore); !errors.Is(err, engine.ErrNotStarted) {
		t.Errorf("closed port: %v", err)
	}
}

// slowBody returns its parts one by one, each after a pause, and ignores that
// the request was canceled.
type slowBody struct {
	pause time.Duration
	parts []string
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

func (*slowBody) Close() error { return nil }

// RoundTrip responds with the body.
func (b *slowBody) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: b}, nil
}

// Guards against output that is passed on although it came after the idle timeout.
func TestTokenAfterTheIdleTimeoutIsNotUsed(t *testing.T) {
	b := &slowBody{pause: 100 * time.Millisecond, parts: []string{chunk("1", "late", "null")}}
	c := &engine.Client{HTTP: &http.Client{Transport: b}, IdleTimeout: 20 * time.Millisecond}
	var got []engine.Token
	err := c.Stream(t.Context(), "engine", engine.Request{Body: []byte("{}")}, func(k engine.Token) error {
		got = append(got, k)
		return nil
	})
	if len(got) != 0 || !errors.Is(err, engine.ErrBroken) {
		t.Errorf("%v and %v, want no token and %v", got, err, engine.ErrBroken)
	}
}

// Guards against a stream that is broken off because its reader is slow.
func TestSlowReaderIsNoSilence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, chunk("1", "a", "null"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, chunk("2", "b", `"stop"`)+"data: [DONE]\n\n")
	}))
	defer s.Close()
	c := &engine.Client{IdleTimeout: 500 * time.Millisecond}
	err := c.Stream(t.Context(), strings.TrimPrefix(s.URL, "http://"), engine.Request{Body: []byte("{}")}, func(engine.Token) error {
		time.Sleep(time.Second)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// Guards against output after a silence that falls into the time of a slow reader.
func TestSlowReaderHidesNoSilence(t *testing.T) {
	const idle = 200 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, chunk("1", "a", "null"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * idle)
		_, _ = io.WriteString(w, chunk("2", "late", `"stop"`)+"data: [DONE]\n\n")
	}))
	defer s.Close()
	c := &engine.Client{IdleTimeout: idle}
	var got []engine.Token
	err := c.Stream(t.Context(), strings.TrimPrefix(s.URL, "http://"), engine.Request{Body: []byte("{}")}, func(k engine.Token) error {
		got = append(got, k)
		time.Sleep(3 * idle)
		return nil
	})
	if len(got) != 1 || !errors.Is(err, engine.ErrBroken) {
		t.Errorf("%v and %v, want one token and %v", got, err, engine.ErrBroken)
	}
}

// Guards against commands of a former lease holder after a new one has taken over:
// an engine that checks fencing numbers refuses the lower number.
func TestOldFencingNumberIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := &standin.Engine{Slots: 1, ChecksFencing: checks}
		s := httptest.NewServer(e.Handler())
		address := strings.TrimPrefix(s.URL, "http://")
		c := &engine.Client{}
		command := func(fence int64) error {
			return c.Command(context.Background(), address, engine.Command{Fence: fence, Model: "m"})
		}
		if err := command(2); err != nil {
			t.Fatal(err)
		}
		if err := command(2); err != nil {
			t.Errorf("repeated command: %v", err)
		}
		if err := command(1); errors.Is(err, engine.ErrFenced) != checks {
			t.Errorf("checks %v: old number: %v", checks, err)
		}
		s.Close()
	}
}
