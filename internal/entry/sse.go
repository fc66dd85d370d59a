package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"apricotbridge/pkg/problem"
)

// sendStream sends the tokens after the given number as server-sent events. The
// id of each event is the number of its token, for Last-Event-ID. Before the
// first event a problem is a plain answer; after it, it is an event of its own
// and the stream ends without "[DONE]".
func (d *Daemon) sendStream(w http.ResponseWriter, r *http.Request, a *answer, after int) *problem.Problem {
	flush := http.NewResponseController(w)
	begun := false
	for {
		tokens, done, p, changed := a.read(after)
		if !begun && (len(tokens) > 0 || done && p == nil) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
			begun = true
		}
		for _, t := range tokens {
			data, err := json.Marshal(chunkBody(a, t))
			if err != nil {
				return problem.New(problem.Internal, "encode chunk: %v", err)
			}
			if !sendEvent(w, t.Number, data) {
				return nil
			}
			after = t.Number
		}
		if done {
			return endStream(w, begun, p, a.id)
		}
		if begun {
			_ = flush.Flush() // A caller that has gone ends its context.
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil // The caller is gone and may resume.
		}
	}
}

// sendEvent reports whether the caller is still there. One that has gone may
// resume.
func sendEvent(w http.ResponseWriter, id int, data []byte) bool {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err == nil
}

func endStream(w http.ResponseWriter, begun bool, p *problem.Problem, id string) *problem.Problem {
	if p == nil {
		_, _ = io.WriteString(w, "data: [DONE]\n\n") // A caller that has gone may resume.
		return nil
	}
	if !begun {
		return p
	}
	p.RequestID = id
	data, err := json.Marshal(p)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data) // A caller that has gone may resume.
	return nil
}

// serveAnswer sends the answer of an earlier request of the same organisation,
// from the token after Last-Event-ID on.
func (d *Daemon) serveAnswer(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
	id := r.PathValue("id")
	a := d.answers.find(id)
	if a == nil || a.organisation != c.organisation.Name {
		return problem.New(problem.NotFound, "request %q is not known here", id)
	}
	after := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			return problem.New(problem.BadRequest, "header Last-Event-ID is not a number")
		}
		after = n
	}
	if r.Header.Get("Accept") == "application/json" {
		return d.sendWhole(w, r, a)
	}
	return d.sendStream(w, r, a, after)
}
