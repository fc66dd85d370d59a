package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
)

// handOverSuspect moves a request that is suspected of crashing servers to the daemon
// that runs all suspects of its service, so that one daemon sees the outcome of each
// run. It reports false when the request runs here: it is not a suspect, this daemon
// is the owner, or the owner does not accept it.
func (d *Daemon) handOverSuspect(ctx context.Context, call *modelCall, a *answer, w *dispatch.Work) bool {
	if call.suspect || call.durable {
		return false // The owner runs it here already, or the ledger runs it.
	}
	verdict := d.dispatcher.Verdict(time.Now(), w.Fingerprint)
	if verdict != quarantine.Apart && verdict != quarantine.Alone {
		return false
	}
	owner, ok := d.suspectOwner(call.service.Name)
	if !ok {
		return false
	}
	return d.handOverTo(ctx, call, a, []membership.Daemon{owner}, d.dispatcher.SuspectsOf(w.Fingerprint))
}

// suspectOwner returns the daemon that runs the suspects of a service, and false when
// that is this daemon.
func (d *Daemon) suspectOwner(service string) (membership.Daemon, bool) {
	v := d.view.Load()
	var ids []string
	for _, other := range v.Daemons {
		if v.reachable[other.ID] && !other.Draining {
			ids = append(ids, other.ID)
		}
	}
	owner := quarantine.Owner(service, ids)
	if owner == d.Settings.Daemon {
		return membership.Daemon{}, false
	}
	return v.daemonByID(owner)
}

// relayAnswer relays the answer of a suspect from the daemon that runs it, after the
// given event. It reports false when that daemon is unreachable; the caller is then
// sent the address of the answer.
func (d *Daemon) relayAnswer(w http.ResponseWriter, r *http.Request, a *answer, owner string, after int64, headerSent bool) bool {
	target, ok := d.view.Load().daemonByID(owner)
	if !ok {
		return false
	}
	headers := []message.Header{{Name: "Accept", Value: "application/json"}}
	if headerSent || after > 0 || a.streaming {
		headers = []message.Header{
			{Name: "Accept", Value: "text/event-stream"},
			{Name: "Last-Event-ID", Value: strconv.FormatInt(after, 10)},
		}
	}
	res, err := d.hub.Forward(r.Context(), target.PeerAddress, message.Forward{
		RequestID: a.id, Organisation: a.organisation, Method: http.MethodGet, Path: "/v1/requests/" + a.id, Headers: headers,
	})
	if err != nil {
		d.Log.Info("answer of a suspect not relayed", "RequestID", a.id, "Peer", owner, "Error", err.Error())
		return false
	}
	defer res.Close()
	if !headerSent {
		copyResponse(w, res)
		return true
	}
	if res.Status != http.StatusOK {
		// The response has begun, so the problem is sent as an event.
		_, _ = io.WriteString(w, "event: error\ndata: ") // Write errors mean that the caller disconnected.
		defer func() { _, _ = fmt.Fprint(w, "\n\n") }()  // Write errors mean that the caller disconnected.
	}
	copyBody(w, res.Next)
	return true
}

// copyBody writes the parts of a response. When the response breaks off, the
// connection is aborted, so that the answer never looks complete.
func copyBody(w http.ResponseWriter, next func() ([]byte, error)) {
	flush := http.NewResponseController(w)
	for {
		part, err := next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		_ = flush.Flush() // The next write reports a disconnected caller.
	}
}
