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

// sendStream sends the events after the given sequence as server-sent events, with
// the sequence as id for Last-Event-ID. A problem before the first event is sent as a
// plain response. After it, the problem is sent as an event and the stream ends
// without "[DONE]".
func (d *Daemon) sendStream(w http.ResponseWriter, r *http.Request, a *answer, after int64) *problem.Problem {
	defer a.addReader()()
	flush := http.NewResponseController(w)
	headerSent := false
	for {
		result := a.read(after)
		if !headerSent && result.problem != nil && len(result.events) == 0 {
			return result.problem
		}
		if !headerSent && (len(result.events) > 0 || result.complete || result.movedTo != "" && result.quarantineOwner == "") {
			beginStream(w)
			headerSent = true
		}
		for _, e := range result.events {
			data, err := json.Marshal(chunkBody(a, e))
			if err != nil {
				return problem.New(problem.Internal, "encode chunk: %v", err)
			}
			if !sendEvent(w, e.Sequence, data) {
				return nil
			}
			after = e.Sequence
		}
		if result.quarantineOwner != "" && d.relayAnswer(w, r, a, result.quarantineOwner, after, headerSent) {
			return nil
		}
		if result.complete || result.problem != nil || result.movedTo != "" {
			if !headerSent {
				beginStream(w) // The daemon that runs the request is unreachable.
			}
			return endStream(w, result, a.id)
		}
		if headerSent {
			_ = flush.Flush() // The request context ends when the caller disconnects.
		}
		select {
		case <-result.changed:
		case <-r.Context().Done():
			return nil // The caller disconnected and may resume.
		}
	}
}

func beginStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// sendEvent reports whether the event was written. A disconnected caller may resume.
func sendEvent(w http.ResponseWriter, id int64, data []byte) bool {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err == nil
}

// endStream ends a stream: with "[DONE]" when the answer is complete, with an event
// "moved" when another daemon continues it, and otherwise with an event "error".
func endStream(w http.ResponseWriter, result readResult, id string) *problem.Problem {
	if result.complete {
		_, _ = io.WriteString(w, "data: [DONE]\n\n") // A disconnected caller may resume.
		return nil
	}
	name, body := "error", any(result.problem)
	if result.problem == nil {
		name, body = "moved", acceptedBody{RequestID: id, Entry: result.movedTo}
	} else {
		result.problem.RequestID = id
	}
	data, err := json.Marshal(body)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data) // A disconnected caller may resume.
	return nil
}

// serveAnswer sends the answer of an earlier request of the same organisation,
// starting after Last-Event-ID. If another daemon accepted the request, it forwards
// there.
func (d *Daemon) serveAnswer(w http.ResponseWriter, r *http.Request, c *callerRequest) *problem.Problem {
	id := r.PathValue("id")
	if strings.HasPrefix(id, draftPrefix) {
		return d.serveDraftAnswer(w, r, c, id)
	}
	if a := d.answers.find(id, c.organisation.Name); a != nil {
		return d.sendAnswer(w, r, a)
	}
	acceptedBy, _, _ := strings.Cut(id, ".")
	if acceptedBy != d.Settings.Daemon && d.isReachable(acceptedBy) {
		return d.forward(w, r, c, acceptedBy, nil, nil)
	}
	if _, known := c.view.daemonByID(acceptedBy); known && acceptedBy != d.Settings.Daemon {
		return ledgerUnavailable("the daemon that took the request is not reached") // The daemon may become reachable again.
	}
	return problem.New(problem.NotFound, "request %q is not known", id)
}

// sendAnswer sends an answer as JSON or as a stream, starting after Last-Event-ID.
func (d *Daemon) sendAnswer(w http.ResponseWriter, r *http.Request, a *answer) *problem.Problem {
	if r.Header.Get("Accept") == "application/json" {
		return d.sendCompleteAnswer(w, r, a)
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
