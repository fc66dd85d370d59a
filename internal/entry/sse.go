package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"apricotbridge/pkg/problem"
)

// sendStream sends the events after the given sequence as server-sent events.
// The id of each event is its sequence, for Last-Event-ID. Before the first event
// a problem is a plain answer; after it, it is an event of its own and the stream
// ends without "[DONE]".
func (d *Daemon) sendStream(w http.ResponseWriter, r *http.Request, a *answer, after int64) *problem.Problem {
	defer a.attach()()
	flush := http.NewResponseController(w)
	begun := false
	for {
		got := a.read(after)
		if !begun && got.problem != nil && len(got.events) == 0 {
			return got.problem
		}
		if !begun && (len(got.events) > 0 || got.whole || got.moved != "" && got.owner == "") {
			beginStream(w)
			begun = true
		}
		for _, e := range got.events {
			data, err := json.Marshal(chunkBody(a, e))
			if err != nil {
				return problem.New(problem.Internal, "encode chunk: %v", err)
			}
			if !sendEvent(w, e.Sequence, data) {
				return nil
			}
			after = e.Sequence
		}
		if got.owner != "" && d.relay(w, r, a, got.owner, after, begun) {
			return nil
		}
		if got.whole || got.problem != nil || got.moved != "" {
			if !begun {
				beginStream(w) // The daemon that runs the request was not reached.
			}
			return endStream(w, got, a.id)
		}
		if begun {
			_ = flush.Flush() // A caller that has gone ends its context.
		}
		select {
		case <-got.changed:
		case <-r.Context().Done():
			return nil // The caller is gone and may resume.
		}
	}
}

func beginStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// sendEvent reports whether the caller is still there. One that has gone may
// resume.
func sendEvent(w http.ResponseWriter, id int64, data []byte) bool {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err == nil
}

// endStream ends a stream that has begun: with "[DONE]" when the answer is
// complete, with an event "moved" when another daemon continues it, and with an
// event "error" otherwise.
func endStream(w http.ResponseWriter, got reading, id string) *problem.Problem {
	if got.whole {
		_, _ = io.WriteString(w, "data: [DONE]\n\n") // A caller that has gone may resume.
		return nil
	}
	name, body := "error", any(got.problem)
	if got.problem == nil {
		name, body = "moved", acceptedBody{RequestID: id, Entry: got.moved}
	} else {
		got.problem.RequestID = id
	}
	data, err := json.Marshal(body)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data) // A caller that has gone may resume.
	return nil
}

// serveAnswer sends the answer of an earlier request of the same organisation,
// from the event after Last-Event-ID on. A request that another daemon took is
// forwarded there.
func (d *Daemon) serveAnswer(w http.ResponseWriter, r *http.Request, c *caller) *problem.Problem {
	id := r.PathValue("id")
	if strings.HasPrefix(id, draftPrefix) {
		return d.serveDraftAnswer(w, r, c, id)
	}
	if a := d.answers.find(id, c.organisation.Name); a != nil {
		return d.sendFrom(w, r, a)
	}
	taker, _, _ := strings.Cut(id, ".")
	if taker != d.Settings.Daemon && d.alive(taker) {
		return d.forward(w, r, c, taker, nil, nil)
	}
	if _, known := c.view.daemon(taker); known && taker != d.Settings.Daemon {
		return notHere("the daemon that took the request is not reached") // It may be again.
	}
	return problem.New(problem.NotFound, "request %q is not known", id)
}

// sendFrom sends an answer from the event that the request names.
func (d *Daemon) sendFrom(w http.ResponseWriter, r *http.Request, a *answer) *problem.Problem {
	if r.Header.Get("Accept") == "application/json" {
		return d.sendWhole(w, r, a)
	}
	after := int64(0)
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := strconv.ParseInt(last, 10, 64)
		if err != nil || n < 0 {
			return problem.New(problem.BadRequest, "header Last-Event-ID is not a number")
		}
		after = n
	}
	return d.sendStream(w, r, a, after)
}
