package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"

	"apricotbridge/pkg/problem"
)

// breakingStream serves one response and breaks it after random tokens.
type breakingStream struct {
	r      *rand.Rand
	tokens int
	breaks int
	other  string // The entry named by moved events.
}

func (s *breakingStream) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // A missing header counts as 0.
	w.Header().Set("Content-Type", "text/event-stream")
	if s.breaks > 0 {
		// An entry may start before or after the requested token.
		after = max(0, after+s.r.IntN(5)-3)
	}
	for n := after + 1; n <= s.tokens; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", n, n)
		if s.breaks > 0 && s.r.IntN(4) == 0 {
			s.breaks--
			if s.r.IntN(2) == 0 {
				_, _ = fmt.Fprintf(w, "event: moved\ndata: {\"Entry\":%q}\n\n", s.other)
				return
			}
			_, _ = io.WriteString(w, "id: 99\ndata: {\"choi")
			_ = http.NewResponseController(w).Flush() // Sends the written events before the abort.
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// readText reads a stream to its end.
func readText(s *Stream) (string, error) {
	var b strings.Builder
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(t.Text)
	}
}

// TestStreamResumes guards against missing or repeated tokens after streams
// that break, move to another entry, or resume too early or too late.
func TestStreamResumes(t *testing.T) {
	want := ""
	for n := 1; n <= 40; n++ {
		want += fmt.Sprintf("t%d ", n)
	}
	resumed := 0
	for seed := uint64(1); seed <= 60; seed++ {
		b := newEntry(t)
		s := &breakingStream{r: rand.New(rand.NewPCG(seed, 2)), tokens: 40, breaks: 6, other: b.address()}
		a := newEntry(t, slices.Repeat([]http.HandlerFunc{s.serve}, 100)...)
		b.script = slices.Repeat([]http.HandlerFunc{respondProblem(problem.NotFound, 0), s.serve, s.serve, s.serve}, 25)
		a.entries = []string{a.address(), b.address()}
		client, _ := newClient(t, a.address())
		client.Seed = seed
		stream, err := client.Stream(t.Context(), Prompt{Model: "m", Prompt: "p"})
		if err != nil {
			t.Fatal(err)
		}
		got, err := readText(stream)
		if err != nil || got != want {
			t.Errorf("seed %d: error %v after %d resumes, text %q", seed, err, stream.Resumed(), got)
		}
		resumed += stream.Resumed()
		if err := stream.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if resumed < 100 {
		t.Errorf("only %d resumes in 60 streams; too few to test resuming", resumed)
	}
}

// checkEntryReplacedDuringStream reads a stream of one token from an entry that ends
// thereafter, and checks that the caller reaches another one.
func checkEntryReplacedDuringStream(t *testing.T, before *scriptedEntry) {
	t.Helper()
	client, _ := newClient(t, before.address())
	stream, err := client.Stream(t.Context(), Prompt{Model: "m", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if text, err := readText(stream); err != nil || text != "t1 " {
		t.Fatalf("error %v, text %q", err, text)
	}
	if err := stream.Close(); err != nil {
		t.Fatal(err)
	}
	before.Close()
	if _, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/"}); err != nil {
		t.Error(err)
	}
}

// Guards against a caller that reaches no entry because all those it has listed were
// replaced during a stream, although the stream has moved to one that it can use.
func TestEntryOfAMovedStreamIsUsed(t *testing.T) {
	after := newEntry(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "data: [DONE]\n\n") })
	before := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: {\"choices\":[{\"text\":\"t1 \"}]}\n\nevent: moved\ndata: {\"Entry\":%q}\n\n", after.address())
	})
	checkEntryReplacedDuringStream(t, before)
}

// Guards against a caller that reaches no entry because all those it has listed were
// replaced during a stream that did not move.
func TestListIsFetchedDuringAStream(t *testing.T) {
	after := newEntry(t)
	var before *scriptedEntry
	before = newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"text\":\"t1 \"}]}\n\n")
		_ = http.NewResponseController(w).Flush() // Sends the token before the pause.
		before.mu.Lock()
		before.entries = []string{after.address()}
		before.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	before.keepSeconds = 0.05
	checkEntryReplacedDuringStream(t, before)
}

// TestStreamEnds guards against streams that hang, and against incomplete
// streams that end without a problem.
func TestStreamEnds(t *testing.T) {
	part := func(rest string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"+rest)
			if rest == "" {
				_ = http.NewResponseController(w).Flush() // Sends the token before the stream falls silent.
				<-r.Context().Done()
			}
		}
	}
	failed := "event: error\ndata: {\"type\":\"urn:apricotbridge:problem:BackendFailed\",\"Kind\":\"BackendFailed\"}\n\n"
	for name, c := range map[string]struct {
		script []http.HandlerFunc
		want   string
		kind   problem.Kind
	}{
		"whole":            {script: []http.HandlerFunc{part("data: [DONE]\n\n")}, want: "a"},
		"error event":      {script: []http.HandlerFunc{part(failed)}, want: "a", kind: problem.BackendFailed},
		"silent":           {script: []http.HandlerFunc{part(""), part("data: [DONE]\n\n")}, want: "a"},
		"never whole":      {script: slices.Repeat([]http.HandlerFunc{part("data")}, 100), want: "a", kind: problem.OutcomeUnknown},
		"forgotten":        {script: append([]http.HandlerFunc{part("data")}, slices.Repeat([]http.HandlerFunc{respondProblem(problem.NotFound, 0)}, 100)...), want: "a", kind: problem.NotFound},
		"ended meanwhile":  {script: []http.HandlerFunc{part("data"), respondProblem(problem.Poisonous, 0)}, want: "a", kind: problem.Poisonous},
		"shard taken over": {script: []http.HandlerFunc{part("data"), respondProblem(problem.LedgerUnavailable, 0), part("data: [DONE]\n\n")}, want: "a"},
		"refused at first": {script: []http.HandlerFunc{respondProblem(problem.UnknownModel, 0)}, kind: problem.UnknownModel},
		"lost at first":    {script: []http.HandlerFunc{abortConnection, part("data: [DONE]\n\n")}, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, c.script...)
			client, _ := newClient(t, e.address())
			client.Idle = 100 * time.Millisecond
			stream, err := client.Stream(t.Context(), Prompt{Model: "m", Messages: []Message{{Role: "user", Content: "p"}}})
			got := ""
			if err == nil {
				defer stream.Close()
				got, err = readText(stream)
			}
			var p *problem.Problem
			if got != c.want || errors.As(err, &p) != (c.kind != "") || p != nil && p.Kind != c.kind {
				t.Errorf("text %q, error %v; want %q, kind %q", got, err, c.want, c.kind)
			}
		})
	}
}

// TestComplete guards against completions that are lost when another entry
// continues the request or when they are fetched later.
func TestComplete(t *testing.T) {
	whole := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"r1","model":"m","choices":[{"message":{"role":"assistant","content":"hello"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":1}}`)
	}
	finished := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		whole(w, r)
	}
	other := newEntry(t, respondProblem(problem.NotFound, 0), whole, whole, finished)
	moved := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "http://"+other.address()+"/v1/requests/r1")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"RequestID":"r1","Entry":"`+other.address()+`"}`)
	}
	first := newEntry(t, moved, respondProblem(problem.NotFound, 0), moved)
	client, _ := newClient(t, first.address())
	got, err := client.Complete(t.Context(), Prompt{Model: "m", Prompt: "p"})
	if err != nil || got.Text != "hello" || got.Finish != "stop" || got.Usage.PromptTokens != 3 {
		t.Errorf("completion is %+v, error %v", got, err)
	}
	draft, err := client.Submit(t.Context(), Prompt{Model: "m", Prompt: "p"})
	if err != nil || draft.ID != "r1" || draft.Completion != nil {
		t.Fatalf("draft is %+v, error %v", draft, err)
	}
	if sent := first.requests()[2]; len(strings.TrimPrefix(sent, "POST /v1/completions ")) != 36 {
		t.Errorf("the draft was sent without a key: %q", sent)
	}
	if got, err = client.await(t.Context(), draft.ID, other.address()); err != nil || got.Text != "hello" {
		t.Errorf("completion is %+v, error %v", got, err)
	}
	client.Entries = []string{other.address()}
	client.directory.set([]string{other.address()}, time.Now().Add(time.Minute))
	stream, err := client.Follow(t.Context(), draft.ID, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if got, err := readText(stream); err != nil || got != "hello" {
		t.Errorf("a finished draft is followed as %q, error %v", got, err)
	}
}

// FuzzEventReader guards against panics, unbounded memory, and events that
// depend on how the input is split into reads.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n", "data: a\r\ndata: b\r\n\r\nevent: x\rdata:\r\r", ": comment\n\n\n",
		"\ufeffdata: x\n\n", "id: \x00\ndata\n\nid\ndata: y\n\n", "event: error\ndata: {}\n\ndata: cut", "\xef\xbb",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, err := readEvents(NewEventReader(strings.NewReader(string(input))))
		single, errSingle := readEvents(NewEventReader(iotest.OneByteReader(strings.NewReader(string(input)))))
		if !slices.Equal(whole, single) || !errors.Is(errSingle, err) {
			t.Fatalf("events depend on the size of reads: %q, %v and %q, %v", whole, err, single, errSingle)
		}
		var rewritten strings.Builder
		for _, e := range whole {
			if strings.Contains(e.ID+e.Name+e.Data, "\r") || strings.ContainsAny(e.ID, "\n\x00") || strings.Contains(e.Name, "\n") {
				t.Fatalf("event %q contains a line break", e)
			}
			fmt.Fprintf(&rewritten, "id: %s\nevent: %s\ndata: %s\n\n", e.ID, e.Name, strings.ReplaceAll(e.Data, "\n", "\ndata: "))
		}
		reread, _ := readEvents(NewEventReader(strings.NewReader(rewritten.String())))
		if !slices.Equal(whole, reread) {
			t.Fatalf("events differ after rewriting: %q and %q", whole, reread)
		}
	})
}

func readEvents(r *EventReader) ([]Event, error) {
	var events []Event
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}
